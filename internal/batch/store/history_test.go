package store

import (
	"fmt"
	"testing"

	"lemonarch/internal/batch/replicalog"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// jobsPerTerm is how many jobs come, end and are forgotten in each term of a history.
const jobsPerTerm = 4

// cost is what a store takes to be complete again after a history of takeovers.
type catchUpCost struct {
	records, bytes, fileBytes, recordsInMemory int
	duration                                   clock.Duration
}

func (c catchUpCost) String() string {
	return fmt.Sprintf("%d records, %d bytes, %.0f ms; file %d bytes, %d records in memory", c.records, c.bytes, clock.ToMilliseconds(c.duration), c.fileBytes, c.recordsInMemory)
}

// worse takes the larger of each.
func (c catchUpCost) maximum(other catchUpCost) catchUpCost {
	return catchUpCost{records: max(c.records, other.records), bytes: max(c.bytes, other.bytes), fileBytes: max(c.fileBytes, other.fileBytes),
		recordsInMemory: max(c.recordsInMemory, other.recordsInMemory), duration: max(c.duration, other.duration)}
}

// term plays one term: a member takes the leadership, jobs are done and forgotten.
func (s *simFleet) runTerm() {
	if s.leader != nil {
		// It learns from the register that its term is over.
		s.leader.fenced = true
	}
	s.electAny()
	for number := 0; number < jobsPerTerm; number++ {
		s.awaitAcknowledged()
	}
	s.world.Run(s.world.Now.Add(clock.Milliseconds(300)))
}

// bringBack feeds a store until it has all and gives what that took.
func (s *simFleet) catchUp(name string, before traffic) catchUpCost {
	identity := register.Identity(s.stores[name].member)
	start, leader := s.world.Now, s.leader
	for attempt := 0; leader.replicator.MatchIndex(identity) < leader.replicator.Last(); attempt++ {
		if attempt > 400 {
			s.t.Fatal("never caught up")
		}
		s.world.Run(s.world.Now.Add(clock.Milliseconds(10)))
	}
	store := s.stores[name].store
	bytes, records := store.Size()
	return catchUpCost{records: s.sent[name].records - before.records, bytes: s.sent[name].bytes - before.bytes,
		fileBytes: int(bytes), recordsInMemory: records, duration: s.world.Now.Sub(start)}
}

// After hundreds of takeovers, and jobs that were ended and forgotten, a store that was
// away for all of them, or comes with an empty disk, is made complete with what counts now:
// records, bytes, time, file and memory are the same after 20 and after 400 changes.
func TestCatchUpIsFlatInThePast(t *testing.T) {
	measure := func(takeovers int, wipe bool) catchUpCost {
		fleet := newSimFleet(t, 11, 3)
		for _, store := range fleet.stores {
			compaction := replicalog.DefaultCompaction()
			compaction.Records = 40
			store.store.SetCompaction(compaction)
		}
		away := fleet.stores["s2"]
		fleet.runTerm()
		away.down = true
		for number := 0; number < takeovers; number++ {
			fleet.runTerm()
		}
		old, before := away.member, fleet.sent["s2"]
		if wipe {
			fleet.restartWiped(away, "again")
			fleet.feedJoiner(away.member)
		} else {
			fleet.open(away)
		}
		took := fleet.catchUp("s2", before)
		if wipe {
			fleet.replaceMember(old, away.member)
		}
		fleet.startTakeover("s2")
		fleet.world.Run(fleet.world.Now.Add(clock.Milliseconds(400)))
		if fleet.leader.address != "s2" || !fleet.leader.ready {
			t.Fatal("the store that came back can't take the duty")
		}
		fleet.checkJobs(fleet.leader)
		return took
	}
	for _, wipe := range []bool{false, true} {
		// What there is grows up to each rewrite: the worst of some instants is compared.
		worst := func(takeovers int) catchUpCost {
			most := catchUpCost{}
			for more := range 5 {
				most = most.maximum(measure(takeovers+more, wipe))
			}
			return most
		}
		few, many := worst(20), worst(400)
		t.Logf("wiped %v, 20 changes and a few: %v", wipe, few)
		t.Logf("wiped %v, 400 changes and a few: %v", wipe, many)
		if many.records > 2*few.records || many.bytes > 2*few.bytes || many.fileBytes > 2*few.fileBytes || many.recordsInMemory > 2*few.recordsInMemory || many.duration > 2*few.duration {
			t.Error("the past is carried along")
		}
	}
}

// traffic is what a store was sent.
type traffic struct{ records, bytes int }

func (s *simFleet) countTraffic(to string, req *messages.AppendRequest) {
	traffic := s.sent[to]
	traffic.records += len(req.Records)
	traffic.bytes += req.Msgsize()
	s.sent[to] = traffic
}
