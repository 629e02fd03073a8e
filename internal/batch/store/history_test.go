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
type cost struct {
	records, bytes, file, slots int
	span                        clock.Duration
}

func (c cost) String() string {
	return fmt.Sprintf("%d records, %d bytes, %.0f ms; file %d bytes, %d records in memory", c.records, c.bytes, clock.ToMilliseconds(c.span), c.file, c.slots)
}

// worse takes the larger of each.
func (c cost) worse(other cost) cost {
	return cost{records: max(c.records, other.records), bytes: max(c.bytes, other.bytes), file: max(c.file, other.file),
		slots: max(c.slots, other.slots), span: max(c.span, other.span)}
}

// term plays one term: a member takes the leadership, jobs are done and forgotten.
func (s *simFleet) term() {
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
func (s *simFleet) bringBack(name string, before traffic) cost {
	identity := register.Identity(s.stores[name].member)
	start, leader := s.world.Now, s.leader
	for attempt := 0; leader.replicator.MatchIndex(identity) < leader.replicator.Last(); attempt++ {
		if attempt > 400 {
			s.test.Fatal("never caught up")
		}
		s.world.Run(s.world.Now.Add(clock.Milliseconds(10)))
	}
	store := s.stores[name].store
	bytes, records := store.Size()
	return cost{records: s.sent[name].records - before.records, bytes: s.sent[name].bytes - before.bytes,
		file: int(bytes), slots: records, span: s.world.Now.Sub(start)}
}

// After hundreds of takeovers, and jobs that were ended and forgotten, a store that was
// away for all of them, or comes with an empty disk, is made complete with what counts now:
// records, bytes, time, file and memory are the same after 20 and after 400 changes.
func TestCatchUpIsFlatInThePast(t *testing.T) {
	measure := func(takeovers int, wipe bool) cost {
		fleet := newSimFleet(t, 11, 3)
		for _, store := range fleet.stores {
			compaction := replicalog.DefaultCompaction()
			compaction.Records = 40
			store.store.SetCompaction(compaction)
		}
		away := fleet.stores["s2"]
		fleet.term()
		away.down = true
		for number := 0; number < takeovers; number++ {
			fleet.term()
		}
		old, before := away.member, fleet.sent["s2"]
		if wipe {
			fleet.wipeBack(away, "again")
			fleet.swapBegin(away.member)
		} else {
			fleet.open(away)
		}
		took := fleet.bringBack("s2", before)
		if wipe {
			fleet.replaceMember(old, away.member)
		}
		fleet.take("s2")
		fleet.world.Run(fleet.world.Now.Add(clock.Milliseconds(400)))
		if fleet.leader.at != "s2" || !fleet.leader.ready {
			t.Fatal("the store that came back can't take the duty")
		}
		fleet.check(fleet.leader)
		return took
	}
	for _, wipe := range []bool{false, true} {
		// What there is grows up to each rewrite: the worst of some instants is compared.
		worst := func(takeovers int) cost {
			most := cost{}
			for more := range 5 {
				most = most.worse(measure(takeovers+more, wipe))
			}
			return most
		}
		few, many := worst(20), worst(400)
		t.Logf("wiped %v, 20 changes and a few: %v", wipe, few)
		t.Logf("wiped %v, 400 changes and a few: %v", wipe, many)
		if many.records > 2*few.records || many.bytes > 2*few.bytes || many.file > 2*few.file || many.slots > 2*few.slots || many.span > 2*few.span {
			t.Error("the past is carried along")
		}
	}
}

// traffic is what a store was sent.
type traffic struct{ records, bytes int }

func (s *simFleet) count(to string, req *messages.AppendRequest) {
	traffic := s.sent[to]
	traffic.records += len(req.Records)
	traffic.bytes += req.Msgsize()
	s.sent[to] = traffic
}
