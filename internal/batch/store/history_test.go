package store

import (
	"fmt"
	"testing"

	"lemonarch/internal/batch/replicalog"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// jobsPerTerm is the number of jobs that are submitted, end and are forgotten in each term.
const jobsPerTerm = 4

// catchUpCost is the cost of bringing a store up to date after a history of takeovers: the
// records, bytes and time of the copy, and the size of its file and memory afterwards.
type catchUpCost struct {
	records, bytes, fileBytes, recordsInMemory int
	duration                                   clock.Duration
}

func (c catchUpCost) String() string {
	return fmt.Sprintf("%d records, %d bytes, %.0f ms; file %d bytes, %d records in memory", c.records, c.bytes, clock.ToMilliseconds(c.duration), c.fileBytes, c.recordsInMemory)
}

// maximum returns the larger value of each field.
func (c catchUpCost) maximum(other catchUpCost) catchUpCost {
	return catchUpCost{records: max(c.records, other.records), bytes: max(c.bytes, other.bytes), fileBytes: max(c.fileBytes, other.fileBytes),
		recordsInMemory: max(c.recordsInMemory, other.recordsInMemory), duration: max(c.duration, other.duration)}
}

// runTerm plays one term: a member takes over, and jobs are finished and forgotten.
func (s *simFleet) runTerm() {
	if s.leader != nil {
		// The old leader learns from the register that its term is over.
		s.leader.fenced = true
	}
	s.electAny()
	for number := 0; number < jobsPerTerm; number++ {
		s.awaitAcknowledged()
	}
	s.world.Run(s.world.Now.Add(clock.Milliseconds(300)))
}

// catchUp waits until a store has all records and returns what that cost.
func (s *simFleet) catchUp(name string, before traffic) catchUpCost {
	identity := register.Identity(s.stores[name].member)
	start, leader := s.world.Now, s.leader
	for attempt := 0; leader.replicator.MatchIndex(identity) < leader.replicator.Last(); attempt++ {
		if attempt > 400 {
			s.t.Fatal("the store did not catch up within 4 s")
		}
		s.world.Run(s.world.Now.Add(clock.Milliseconds(10)))
	}
	log := s.stores[name].log
	bytes, records := log.Size()
	return catchUpCost{records: s.sent[name].records - before.records, bytes: s.sent[name].bytes - before.bytes,
		fileBytes: int(bytes), recordsInMemory: records, duration: s.world.Now.Sub(start)}
}

// A store that was down during hundreds of takeovers, whose jobs have ended and been forgotten, or
// that comes back with an empty disk, is sent only what is still relevant. Records, bytes, time,
// file size and memory must be about the same after 20 and after 400 takeovers.
func TestCatchUpCostIndependentOfHistoryLength(t *testing.T) {
	measure := func(takeovers int, wipe bool) catchUpCost {
		fleet := newSimFleet(t, 11, 3)
		for _, store := range fleet.stores {
			compaction := replicalog.DefaultCompaction()
			compaction.Records = 40
			store.log.SetCompaction(compaction)
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
		result := fleet.catchUp("s2", before)
		if wipe {
			fleet.replaceMember(old, away.member)
		}
		fleet.startTakeover("s2")
		fleet.world.Run(fleet.world.Now.Add(clock.Milliseconds(400)))
		if fleet.leader.address != "s2" || !fleet.leader.ready {
			t.Fatal("the store that came back could not take over")
		}
		fleet.checkJobs(fleet.leader)
		return result
	}
	for _, wipe := range []bool{false, true} {
		// The log grows until each compaction, so the maximum over several lengths is compared.
		worst := func(takeovers int) catchUpCost {
			worstCost := catchUpCost{}
			for extra := range 5 {
				worstCost = worstCost.maximum(measure(takeovers+extra, wipe))
			}
			return worstCost
		}
		few, many := worst(20), worst(400)
		t.Logf("wiped %v, 20 to 24 takeovers: %v", wipe, few)
		t.Logf("wiped %v, 400 to 404 takeovers: %v", wipe, many)
		if many.records > 2*few.records || many.bytes > 2*few.bytes || many.fileBytes > 2*few.fileBytes || many.recordsInMemory > 2*few.recordsInMemory || many.duration > 2*few.duration {
			t.Errorf("catching up costs %v after 20 to 24 takeovers and %v after 400 to 404, want at most twice as much",
				few, many)
		}
	}
}

// traffic is the number of records and bytes sent to a store.
type traffic struct{ records, bytes int }

func (s *simFleet) countTraffic(to string, req *messages.AppendRequest) {
	total := s.sent[to]
	total.records += len(req.Records)
	total.bytes += req.Msgsize()
	s.sent[to] = total
}
