package store

import (
	"fmt"
	"testing"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// submitJobs submits jobs and appends the outputs of their items, as a leader does.
func (s *simFleet) submitJobs(rounds int) {
	for round := 0; round < rounds; round++ {
		leader := s.leader
		if leader != nil && leader.ready && !s.stores[leader.address].down {
			s.jobNumber++
			id := fmt.Sprintf("lot%d", s.jobNumber)
			body := &messages.JobBody{Path: "/p/"}
			for item := 0; item < 3; item++ {
				body.Items = append(body.Items, messages.JobItem{ID: fmt.Sprintf("%s-%d", id, item), Tokens: 10})
			}
			encoded, _ := body.MarshalMsg(nil)
			leader.submit(messages.Record{Kind: messages.RecordJob, Job: id, Body: encoded})
			leader.forget()
			// The items of each job finish in a random order.
			for position, item := range s.world.Random.Perm(3) {
				leader.submit(messages.Record{Kind: messages.RecordOutput, Job: id, Position: position, Item: fmt.Sprintf("%s-%d", id, item)})
			}
		}
		s.world.Run(s.world.Now.Add(clock.Milliseconds(60)))
	}
}

// liveMembers returns the members of the set that run on the disk named in the set.
func (s *simFleet) liveMembers() []string {
	var names []string
	for _, member := range s.set {
		store := s.stores[member.Address]
		if !store.down && !store.faulty && register.Identity(store.member) == register.Identity(member) {
			names = append(names, member.Address)
		}
	}
	return names
}

// electAny makes a random live member take over and checks the state that it recovered.
func (s *simFleet) electAny() {
	partitioned := s.anyPartitioned()
	if s.tryTakeovers() {
		return
	}
	// A partitioned member and one that is down exceed the budget, so a takeover need not be
	// possible before the partition ends.
	if partitioned {
		s.healMembers()
		if s.tryTakeovers() {
			return
		}
	}
	s.t.Fatal("no member could take over although the losses were within the fault budget")
}

// tryTakeovers makes random live members try to take over, up to 12 times. It reports whether
// one succeeded.
func (s *simFleet) tryTakeovers() bool {
	names := s.liveMembers()
	for attempt := 0; attempt < 12; attempt++ {
		epoch := s.epoch + 1
		s.startTakeover(names[s.world.Random.Intn(len(names))])
		s.world.Run(s.world.Now.Add(clock.Milliseconds(400)))
		if s.leader != nil && s.leader.epoch == epoch && s.leader.ready {
			s.checkJobs(s.leader)
			return true
		}
	}
	return false
}

// isolate partitions a machine from all others, or ends the partition.
func (s *simFleet) isolate(name string, others []string, partitioned bool) {
	s.isolated[name] = partitioned
	s.world.Isolate(name, others, partitioned)
}

// anyPartitioned reports whether a member of the set is partitioned.
func (s *simFleet) anyPartitioned() bool {
	for _, member := range s.set {
		if s.isolated[member.Address] {
			return true
		}
	}
	return false
}

// healMembers ends the partitions of all members of the set.
func (s *simFleet) healMembers() {
	for _, member := range s.set {
		s.isolate(member.Address, simulation.SortedKeys(s.stores), false)
	}
}

// feedJoiner makes the leader start to send all records to a joiner.
func (s *simFleet) feedJoiner(joiner messages.Member) {
	if s.leader.nextIndex[register.Identity(joiner)] == 0 {
		s.leader.nextIndex[register.Identity(joiner)] = 1
		s.leader.feed(joiner)
	}
}

// replaceMember replaces a member by another store, as leader.Term.changeSet does. If leaving is the
// zero value, the joiner is added.
func (s *simFleet) replaceMember(leaving, joiner messages.Member) {
	leader := s.leader
	var next []messages.Member
	for _, member := range s.set {
		if register.Identity(member) != register.Identity(leaving) {
			next = append(next, member)
		}
	}
	next = append(next, joiner)
	s.feedJoiner(joiner)
	target := leader.replicator.Last()
	for attempt := 0; attempt < 200 && leader.replicator.MatchIndex(register.Identity(joiner)) < target; attempt++ {
		s.world.Run(s.world.Now.Add(clock.Milliseconds(30)))
	}
	leader.replicator.Next = next
	index := leader.submit(messages.Record{Kind: messages.RecordNoop})
	for attempt := 0; attempt < 200 && !leader.replicator.InNextSet(index); attempt++ {
		s.world.Run(s.world.Now.Add(clock.Milliseconds(30)))
	}
	if !leader.replicator.InNextSet(index) {
		s.t.Fatal("the next set did not get all records within 6 s")
	}
	s.set = next
	leader.replicator.Members, leader.replicator.Next = next, nil
}

// Positions that were acknowledged survive loss of power or disk, partitions of the leader and
// retirement of members, as long as the losses are within the fault budget of one.
func TestJobsUnderFaults(t *testing.T) {
	acknowledged := 0
	for seed := int64(1); seed <= int64(simulation.Seeds(60)); seed++ {
		fleet := newSimFleet(t, seed, 4)
		fleet.world.LossProbability, fleet.world.DuplicateProbability = 0.05, 0.05
		fleet.electAny()
		for round := 0; round < 6; round++ {
			fleet.submitJobs(6)
			victim := fleet.set[fleet.world.Random.Intn(len(fleet.set))]
			switch fleet.world.Random.Intn(4) {
			case 0:
				fleet.losePower(fleet.stores[victim.Address])
			case 1:
				store := fleet.stores[victim.Address]
				fleet.loseDisk(victim, fmt.Sprintf("%s-%d", store.member.Name, round+1))
			case 2:
				fleet.partitionLeader()
			case 3:
				fleet.retire(victim)
			}
			fleet.submitJobs(3)
		}
		fleet.loseAll()
		acknowledged += fleet.acknowledgements
	}
	if acknowledged < 1000 {
		t.Fatalf("%d outputs were acknowledged in total, want at least 1000", acknowledged)
	}
}

// A seed must reproduce its history. Otherwise a failure that one seed shows could not be repeated.
func TestSameSeedSameHistory(t *testing.T) {
	historySum := func() uint64 {
		fleet := newSimFleet(t, 5, 3)
		fleet.world.LossProbability = 0.1
		fleet.electAny()
		fleet.submitJobs(10)
		fleet.electAny()
		fleet.submitJobs(10)
		return fleet.world.HistoryHash()
	}
	if first, second := historySum(), historySum(); first != second {
		t.Fatal("two runs with the same seed differ")
	}
}
