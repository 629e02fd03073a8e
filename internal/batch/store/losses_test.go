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

// The steps of a change of the store set after which machines may be lost.
const (
	// stepCopying: the joiner has some of the records.
	stepCopying = iota
	// stepCopied: the joiner has all records, and its copies do not count yet.
	stepCopied
	// stepBothSets: records need copies in both sets, and none is in both yet.
	stepBothSets
	// stepDurable: enough members of the new set have the marker record; the register names the old
	// set.
	stepDurable
	// stepNamed: the register names the new set, and the leader does not know it yet.
	stepNamed
	// stepCommitted: the leader counts the new set only, and the operator who retired the
	// machine got the confirmation.
	stepCommitted
	stepCount
)

// lossKind is the way in which a machine is lost.
type lossKind int

const (
	lossDown lossKind = iota
	lossPower
	lossDisk
	// lossFull: the disk is full and rejects writes.
	lossFull
	// lossSync: the disk accepts writes, and syncs fail.
	lossSync
	lossKinds
)

// setChange is a change of the store set that is advanced step by step.
type setChange struct {
	fleet           *simFleet
	leaving, joiner messages.Member
	next            []messages.Member
	leader          *simLeader
	source          string
}

// runUntil runs the world until a condition is met, for up to 6 s. It reports whether it was met.
func (s *simFleet) runUntil(condition func() bool) bool {
	for attempt := 0; attempt < 3000 && !condition(); attempt++ {
		s.world.Run(s.world.Now.Add(clock.Milliseconds(2)))
	}
	return condition()
}

// advance carries out the change up to a step, as leader.Term.changeSet does. It reports whether
// the step was reached.
func (c *setChange) advance(step int) bool {
	fleet, leader, identity := c.fleet, c.leader, register.Identity(c.joiner)
	fleet.feedJoiner(c.joiner)
	target := leader.replicator.Last()
	reached := func() bool { return leader.replicator.MatchIndex(identity) >= target }
	if step == stepCopying {
		return fleet.runUntil(func() bool { return fleet.stores[c.joiner.Address].log.Extent().Last > 0 })
	}
	if !fleet.runUntil(reached) {
		return false
	}
	if step == stepCopied {
		return true
	}
	leader.replicator.Next = c.next
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
	fleet.set = c.next
	if step == stepNamed {
		return true
	}
	leader.replicator.Members, leader.replicator.Next = c.next, nil
	return true
}

// chooseVictims draws the machines whose loss is the worst at this step: as many members as the
// budget allows of the leader, the source of the copy, the joiner, the leaving member and the
// first member of the new set. Machines outside the set are lost in addition: from stepCommitted
// on always, before that half of the time.
func (c *setChange) chooseVictims(step int) []string {
	fleet := c.fleet
	roles := []string{c.leader.address, c.source, c.joiner.Address, c.leaving.Address, c.next[0].Address}
	inSet := func(name string) bool {
		return slices.ContainsFunc(fleet.set, func(member messages.Member) bool { return member.Address == name })
	}
	var lost []string
	for _, i := range fleet.world.Random.Perm(len(roles)) {
		name := roles[i]
		member := inSet(name)
		if slices.Contains(lost, name) || (member && len(lost) >= fleet.budget) {
			continue
		}
		if member {
			lost = append(lost, name)
		}
	}
	// Machines outside the set may be lost in any number.
	for _, name := range []string{c.joiner.Address, c.leaving.Address} {
		if !inSet(name) && (step >= stepCommitted || fleet.world.Random.Intn(2) == 0) && !slices.Contains(lost, name) {
			lost = append(lost, name)
		}
	}
	return lost
}

// loseMachines makes machines fail at once, each in a random way. Sometimes all other machines
// lose power too. It returns the machines whose disks were wiped.
func (s *simFleet) loseMachines(lost []string, round int) (wiped []string) {
	if s.world.Random.Intn(3) == 0 {
		for _, name := range simulation.SortedKeys(s.stores) {
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
			store.disk.FreeBytes = s.world.Random.Intn(300)
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

// repair restarts the lost machines. Members with a wiped disk get all records first and are then
// members again.
func (s *simFleet) repair(lost []string) {
	for _, name := range lost {
		store := s.stores[name]
		store.disk.FreeBytes, store.disk.Intercept, store.faulty = -1, nil, false
		s.open(store)
	}
	s.electAny()
	for _, member := range slices.Clone(s.set) {
		if current := s.stores[member.Address].member; register.Identity(current) != register.Identity(member) {
			s.replaceMember(member, current)
		}
	}
}

// playWorstLosses plays one seed. In each round a member is replaced, and at one step of the
// change the worst machines are lost, right after an acknowledgement or in the middle of one.
func playWorstLosses(t *testing.T, seed int64, lossesByStep map[int]int) {
	t.Helper()

	budget := 1 + int(seed%2)
	fleet := newSimFleetOf(t, seed, 2*budget+4, budget, 2*budget+1)
	fleet.world.LossProbability, fleet.world.DuplicateProbability = 0.03, 0.03
	fleet.electAny()
	for round := 0; round < 6; round++ {
		fleet.awaitAcknowledged()
		leader := fleet.leader
		candidates := slices.DeleteFunc(slices.Clone(fleet.set), func(member messages.Member) bool { return member.Address == leader.address })
		leaving, joiner := candidates[fleet.world.Random.Intn(len(candidates))], fleet.spareStore()
		change := &setChange{fleet: fleet, leaving: leaving, joiner: joiner, leader: leader, source: candidates[0].Address}
		for _, member := range fleet.set {
			if register.Identity(member) != register.Identity(leaving) {
				change.next = append(change.next, member)
			}
		}
		change.next = append(change.next, joiner)
		step := fleet.world.Random.Intn(stepCount)
		if !change.advance(step) {
			t.Fatalf("seed %d: the set change did not reach step %d", seed, step)
		}
		// In half of all rounds the loss occurs right after an output was acknowledged.
		if fleet.world.Random.Intn(2) == 0 {
			fleet.awaitAcknowledged()
		}
		lost := change.chooseVictims(step)
		fleet.loseMachines(lost, round)
		lossesByStep[step]++
		fleet.electAny()
		fleet.awaitAcknowledged()
		fleet.repair(lost)
	}
}

// Machines are lost at any step of a change of the store set, with or without their disks, up to
// the fault budget. Everything that was acknowledged must survive, and another leader must take
// over. LEMONARCH_SEEDS sets the number of seeds.
func TestSetChangesUnderWorstLosses(t *testing.T) {
	seeds := int64(simulation.Seeds(200))
	lossesByStep := map[int]int{}
	for seed := int64(1); seed <= seeds; seed++ {
		playWorstLosses(t, seed, lossesByStep)
	}
	for step := 0; step < stepCount; step++ {
		if int64(lossesByStep[step]) < seeds/4 {
			t.Fatalf("%d losses at step %d, want at least %d; losses by step: %v",
				lossesByStep[step], step, seeds/4, lossesByStep)
		}
	}
	t.Log("losses by step: ", lossesByStep)
}
