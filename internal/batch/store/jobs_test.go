package store

import (
	"fmt"
	"testing"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// work submits jobs and lists their items, as a leader does.
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
			packed, _ := body.MarshalMsg(nil)
			leader.submit(messages.Record{Kind: messages.RecordJob, Job: id, Body: packed})
			leader.forget()
			// The items end in another order each time.
			for position, item := range s.world.Random.Perm(3) {
				leader.submit(messages.Record{Kind: messages.RecordOutput, Job: id, Position: position, Item: fmt.Sprintf("%s-%d", id, item)})
			}
		}
		s.world.Run(s.world.Now.Add(clock.Milliseconds(60)))
	}
}

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

// electAny lets a random live member take over and checks what it knows.
func (s *simFleet) electAny() {
	partitioned := s.anyPartitioned()
	if s.tryTakeovers() {
		return
	}
	// One that is cut off and one that is down are more than the budget: nobody need be
	// able to take over before the cut ends.
	if partitioned {
		s.healMembers()
		if s.tryTakeovers() {
			return
		}
	}
	s.t.Fatal("nobody could take over although the budget was kept")
}

// tryTakeovers lets live members ask for the leadership in turn; false where none gets it.
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

// isolate cuts a machine off from all others, or joins it.
func (s *simFleet) isolate(name string, others []string, partitioned bool) {
	s.isolated[name] = partitioned
	s.world.Isolate(name, others, partitioned)
}

// anyPartitioned tells whether a member of the set is cut off.
func (s *simFleet) anyPartitioned() bool {
	for _, member := range s.set {
		if s.isolated[member.Address] {
			return true
		}
	}
	return false
}

// joinMembers ends the cuts of members of the set.
func (s *simFleet) healMembers() {
	for _, member := range s.set {
		s.isolate(member.Address, simulation.Keys(s.stores), false)
	}
}

// swapBegin has the leader send everything to a joiner.
func (s *simFleet) feedJoiner(joiner messages.Member) {
	if s.leader.nextIndex[register.Identity(joiner)] == 0 {
		s.leader.nextIndex[register.Identity(joiner)] = 1
		s.leader.feed(joiner)
	}
}

// replaceMember replaces a member by another store, as the leader's changeSet does.
func (s *simFleet) replaceMember(out, joiner messages.Member) {
	leader := s.leader
	var next []messages.Member
	for _, member := range s.set {
		if register.Identity(member) != register.Identity(out) {
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
		s.t.Fatal("the set to come never had everything")
	}
	s.set = next
	leader.replicator.Members, leader.replicator.Next = next, nil
}

func TestJobsUnderFaults(t *testing.T) {
	acknowledged := 0
	for seed := int64(1); seed <= int64(simulation.Seeds(60)); seed++ {
		fleet := newSimFleet(t, seed, 4)
		fleet.world.Loss, fleet.world.Double = 0.05, 0.05
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
		t.Fatalf("only %d results were acknowledged in all", acknowledged)
	}
}

func TestSameSeedSameHistory(t *testing.T) {
	sum := func() uint64 {
		fleet := newSimFleet(t, 5, 3)
		fleet.world.Loss = 0.1
		fleet.electAny()
		fleet.submitJobs(10)
		fleet.electAny()
		fleet.submitJobs(10)
		return fleet.world.Sum()
	}
	if first, second := sum(), sum(); first != second {
		t.Fatal("one seed gave two histories")
	}
}
