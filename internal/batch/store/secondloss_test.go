package store

import (
	"fmt"
	"slices"
	"testing"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// markLost marks, at a leader, the members whose machines now have another disk, as
// leader.Term.markLostDisks does. It returns the remaining members.
func (s *simLeader) markLost() (remaining []messages.Member) {
	for _, member := range s.replicator.Members {
		store := s.fleet.stores[member.Address]
		if store.down || register.Identity(store.member) == register.Identity(member) {
			remaining = append(remaining, member)
			continue
		}
		if s.replicator.MarkLost(register.Identity(member)) {
			s.applyCommitted()
		}
	}
	return remaining
}

// removeLost replaces the set in the register by one without the lost disks, as
// leader.Term.removeLostDisks does.
func (s *simFleet) removeLost() {
	leader := s.leader
	next := leader.markLost()
	leader.replicator.Next = next
	index := leader.submit(messages.Record{Kind: messages.RecordNoop})
	if !s.runUntil(func() bool { return leader.replicator.InNextSet(index) }) {
		s.t.Fatal("the set without the lost disks was not agreed on within 6 s")
	}
	s.set = next
	leader.replicator.Members, leader.replicator.Next = next, nil
}

// electAfterLosses makes a member take over after losses that may leave too few disks for the
// usual number of copies.
func (s *simFleet) electAfterLosses() {
	names := s.liveMembers()
	for attempt := 0; attempt < 12; attempt++ {
		epoch := s.epoch + 1
		s.startTakeover(names[s.world.Random.Intn(len(names))])
		s.world.Run(s.world.Now.Add(clock.Milliseconds(300)))
		if s.leader == nil || s.leader.epoch != epoch {
			continue
		}
		s.leader.markLost()
		if s.runUntil(func() bool { return s.leader.ready }) {
			s.checkJobs(s.leader)
			return
		}
	}
	s.t.Fatal("no member could take over")
}

// wipeMembers wipes the disks of some members. Half of the time all stores lose power before.
func (s *simFleet) wipeMembers(members []messages.Member, round string) {
	if s.world.Random.Intn(2) == 0 {
		for _, name := range simulation.SortedKeys(s.stores) {
			s.stores[name].disk.PowerLoss()
			s.open(s.stores[name])
		}
		s.leader = nil
	}
	for _, member := range members {
		if s.leader != nil && s.leader.address == member.Address {
			s.leader.fenced = true
			s.leader = nil
		}
		s.restartWiped(s.stores[member.Address], member.Name+round)
	}
}

// Two of five disks are lost, and two more before the copies that replace the first two are
// complete. Everything that was acknowledged must survive: the last member that has it takes over
// and still returns it.
func TestAcknowledgedRecordsSurviveSecondLoss(t *testing.T) {
	for seed := int64(1); seed <= int64(simulation.Seeds(60)); seed++ {
		fleet := newSimFleetOf(t, seed, 9, 2, 5)
		fleet.world.LossProbability, fleet.world.DuplicateProbability = 0.03, 0.03
		fleet.electAny()
		for round := 0; round < 3; round++ {
			fleet.awaitAcknowledged()
			first := fleet.randomPair()
			fleet.wipeMembers(first, fmt.Sprint("-a", round))
			if fleet.leader == nil {
				fleet.electAfterLosses()
			}
			fleet.removeLost()
			// The copying starts, and is not complete when the second loss occurs.
			for _, member := range first {
				fleet.feedJoiner(fleet.stores[member.Address].member)
			}
			fleet.awaitAcknowledged()
			second := fleet.randomPair()
			if slices.ContainsFunc(second, func(member messages.Member) bool { return slices.Contains(first, member) }) {
				t.Fatal("a lost disk is still a member of the set")
			}
			fleet.wipeMembers(second, fmt.Sprint("-b", round))
			if fleet.leader == nil {
				fleet.electAfterLosses()
			}
			fleet.removeLost()
			fleet.awaitAcknowledged()
			for len(fleet.set) < 5 {
				fleet.replaceMember(messages.Member{}, fleet.spareStore())
			}
		}
	}
}
