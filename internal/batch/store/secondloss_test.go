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

// markLost notes at a leader which members' machines have another disk now, as
// Term.markLostDisks does, and gives the members that are left.
func (s *simLeader) markLost() (left []messages.Member) {
	for _, member := range s.replicator.Members {
		store := s.fleet.stores[member.Address]
		if store.down || register.Identity(store.member) == register.Identity(member) {
			left = append(left, member)
			continue
		}
		if s.replicator.MarkLost(register.Identity(member)) {
			s.applyCommitted()
		}
	}
	return left
}

// removeLost has the register name the set without the lost disks, as Term.removeLostDisks does.
func (s *simFleet) removeLost() {
	leader := s.leader
	next := leader.markLost()
	leader.replicator.Next = next
	index := leader.submit(messages.Record{Kind: messages.RecordNoop})
	if !s.runUntil(func() bool { return leader.replicator.InNextSet(index) }) {
		s.t.Fatal("the smaller set was never agreed on")
	}
	s.set = next
	leader.replicator.Members, leader.replicator.Next = next, nil
}

// electAfterLosses has somebody take over where too few disks may be left for as many copies
// as usual.
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
	s.t.Fatal("nobody could take over")
}

// wipeSome takes the disks of some members, and at times the power of all others.
func (s *simFleet) wipeMembers(members []messages.Member, round string) {
	if s.world.Random.Intn(2) == 0 {
		for _, name := range simulation.Keys(s.stores) {
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

// Two disks of five are lost, and two more before the copies of the first are complete: all
// that was told stands, and the last member that has it takes over and tells it.
func TestSecondLossBeforeTheCopiesAreComplete(t *testing.T) {
	for seed := int64(1); seed <= int64(simulation.Seeds(60)); seed++ {
		fleet := newSimFleetOf(t, seed, 9, 2, 5)
		fleet.world.Loss, fleet.world.Double = 0.03, 0.03
		fleet.electAny()
		for round := 0; round < 3; round++ {
			fleet.awaitAcknowledged()
			first := fleet.randomPair()
			fleet.wipeMembers(first, fmt.Sprint("-a", round))
			if fleet.leader == nil {
				fleet.electAfterLosses()
			}
			fleet.removeLost()
			// The copying begins, and is not complete when the second loss strikes.
			for _, member := range first {
				fleet.feedJoiner(fleet.stores[member.Address].member)
			}
			fleet.awaitAcknowledged()
			second := fleet.randomPair()
			if slices.ContainsFunc(second, func(member messages.Member) bool { return slices.Contains(first, member) }) {
				t.Fatal("a lost disk is a member still")
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
