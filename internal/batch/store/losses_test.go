package store

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// The steps of a change of the store set at which a loss may strike.
const (
	// stepCopying: the joiner has a part of the records.
	stepCopying = iota
	// stepCopied: the joiner has everything, and counts for nothing yet.
	stepCopied
	// stepBothSets: records need copies in both sets, and none has them yet.
	stepBothSets
	// stepDurable: the marker is durable in both sets; the register names the old one.
	stepDurable
	// stepNamed: the register names the new set, and the leader doesn't know it yet.
	stepNamed
	// stepCommitted: whoever retired the machine was told that it is settled.
	stepCommitted
	stepCount
)

// lossKind is what befalls a lost machine.
type lossKind int

const (
	lossDown lossKind = iota
	lossPower
	lossDisk
	// lossFull: the disk takes nothing any more; lossSync: it takes it and can't sync.
	lossFull
	lossSync
	lossKinds
)

// setChange is a change of the store set that is played a step at a time.
type setChange struct {
	fleet           *simFleet
	leaving, joiner messages.Member
	next            []messages.Member
	leader          *simLeader
	source          string
}

// until runs the world until something holds; false where it does not within a while.
func (s *simFleet) runUntil(condition func() bool) bool {
	for attempt := 0; attempt < 3000 && !condition(); attempt++ {
		s.world.Run(s.world.Now.Add(clock.Milliseconds(2)))
	}
	return condition()
}

// play carries the change up to a step, as changeSet does; false where it got stuck.
func (s *setChange) advance(step int) bool {
	fleet, leader, identity := s.fleet, s.leader, register.Identity(s.joiner)
	fleet.feedJoiner(s.joiner)
	target := leader.replicator.Last()
	reached := func() bool { return leader.replicator.MatchIndex(identity) >= target }
	if step == stepCopying {
		return fleet.runUntil(func() bool { return fleet.stores[s.joiner.Address].store.Extent().Last > 0 })
	}
	if !fleet.runUntil(reached) {
		return false
	}
	if step == stepCopied {
		return true
	}
	leader.replicator.Next = s.next
	index := leader.submit(messages.Record{Kind: messages.RecordNoop})
	if step == stepBothSets {
		return true
	}
	if !fleet.runUntil(func() bool { return leader.replicator.InNextSet(index) }) {
		return false
	}
	if step == stepDurable {
		return true
	}
	fleet.set = s.next
	if step == stepNamed {
		return true
	}
	leader.replicator.Members, leader.replicator.Next = s.next, nil
	return true
}

// victims draws the machines whose loss is the worst now: of the copier, the newest
// member, the one that leaves and the leader, as many as the budget allows. One that is
// settled is gone besides, with its disk.
func (s *setChange) victims(step int) []string {
	fleet := s.fleet
	roles := []string{s.leader.address, s.source, s.joiner.Address, s.leaving.Address, s.next[0].Address}
	inSet := func(name string) bool {
		return slices.ContainsFunc(fleet.set, func(member messages.Member) bool { return member.Address == name })
	}
	var lost []string
	for _, i := range fleet.world.Random.Perm(len(roles)) {
		name := roles[i]
		counts := inSet(name)
		if slices.Contains(lost, name) || (counts && len(lost) >= fleet.budget) {
			continue
		}
		if counts {
			lost = append(lost, name)
		}
	}
	// Who is no member may go in any number.
	for _, name := range []string{s.joiner.Address, s.leaving.Address} {
		if !inSet(name) && (step >= stepCommitted || fleet.world.Random.Intn(2) == 0) && !slices.Contains(lost, name) {
			lost = append(lost, name)
		}
	}
	return lost
}

// strike loses machines at once, each in one way; at times all others lose power too.
func (s *simFleet) loseMachines(lost []string, round int) (wiped []string) {
	if s.world.Random.Intn(3) == 0 {
		for _, name := range simulation.Keys(s.stores) {
			if !slices.Contains(lost, name) {
				s.stores[name].disk.PowerLoss()
				s.open(s.stores[name])
			}
		}
		s.leader = nil
	}
	for _, name := range lost {
		store := s.stores[name]
		store.faulty = true
		kind := lossKind(s.world.Random.Intn(int(lossKinds)))
		store.down = kind < lossFull
		switch kind {
		case lossFull:
			store.disk.Free = s.world.Random.Intn(300)
		case lossSync:
			store.disk.Intercept = func(operation simulation.Operation, _ string) error {
				if operation == simulation.OperationSync {
					return errors.New("input/output error")
				}
				return nil
			}
		case lossPower:
			store.disk.PowerLoss()
		case lossDisk:
			store.disk.PowerLoss()
			store.disk.Wipe()
			store.member.Disk = fmt.Sprintf("%s-r%d", name, round)
			wiped = append(wiped, name)
		}
	}
	return wiped
}

// repair brings everything back, emptied members first copied to and then named again.
func (s *simFleet) repair(lost []string) {
	for _, name := range lost {
		store := s.stores[name]
		store.disk.Free, store.disk.Intercept, store.faulty = -1, nil, false
		s.open(store)
	}
	s.electAny()
	for _, member := range slices.Clone(s.set) {
		if now := s.stores[member.Address].member; register.Identity(now) != register.Identity(member) {
			s.replaceMember(member, now)
		}
	}
}

// worstLosses plays one seed: in each round a member is replaced, and the worst losses
// strike at a step of it, right after or in the middle of an acknowledgement.
func playWorstLosses(t *testing.T, seed int64, outcomes map[int]int) {
	t.Helper()

	budget := 1 + int(seed%2)
	fleet := newSimFleetOf(t, seed, 2*budget+4, budget, 2*budget+1)
	fleet.world.Loss, fleet.world.Double = 0.03, 0.03
	fleet.electAny()
	for round := 0; round < 6; round++ {
		fleet.awaitAcknowledged()
		leader := fleet.leader
		candidates := slices.DeleteFunc(slices.Clone(fleet.set), func(member messages.Member) bool { return member.Address == leader.address })
		out, in := candidates[fleet.world.Random.Intn(len(candidates))], fleet.spareStore()
		change := &setChange{fleet: fleet, leaving: out, joiner: in, leader: leader, source: candidates[0].Address}
		for _, member := range fleet.set {
			if register.Identity(member) != register.Identity(out) {
				change.next = append(change.next, member)
			}
		}
		change.next = append(change.next, in)
		step := fleet.world.Random.Intn(stepCount)
		if !change.advance(step) {
			t.Fatalf("seed %d: the change got stuck before step %d", seed, step)
		}
		// In half of all rounds the loss strikes right after a result was told.
		if fleet.world.Random.Intn(2) == 0 {
			fleet.awaitAcknowledged()
		}
		lost := change.victims(step)
		fleet.loseMachines(lost, round)
		outcomes[step]++
		fleet.electAny()
		fleet.awaitAcknowledged()
		fleet.repair(lost)
	}
}

// Whatever the budget allows to be lost at whatever step of a change of the store set,
// with or without disks, all that was told stands and another leader takes over.
// LEMONARCH_SEEDS sets the number of seeds.
func TestSetChangesUnderWorstLosses(t *testing.T) {
	seeds := int64(simulation.Seeds(200))
	outcomes := map[int]int{}
	for seed := int64(1); seed <= seeds; seed++ {
		playWorstLosses(t, seed, outcomes)
	}
	for step := 0; step < stepCount; step++ {
		if int64(outcomes[step]) < seeds/4 {
			t.Fatal("too few losses at a step: ", outcomes)
		}
	}
	t.Log("losses by step: ", outcomes)
}
