package store

import (
	"fmt"
	"sort"
	"testing"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// sendAppend delivers an append request; a slow store processes it later.
func (s *simFleet) sendAppend(from, to string, function func()) {
	delay := s.appendDelay[to]
	if delay == 0 {
		s.world.Send(from, to, function)
		return
	}
	s.world.Send(from, to, func() { s.world.After(delay, function) })
}

// slowTwoMembers makes two members of the set slow, and no other store.
func (s *simFleet) slowTwoMembers() {
	s.appendDelay = map[string]clock.Duration{}
	for _, i := range s.world.Random.Perm(len(s.set))[:2] {
		s.appendDelay[s.set[i].Address] = clock.Milliseconds(120)
	}
}

// randomPair draws two members of the set, half of the time those with the most records.
func (s *simFleet) randomPair() []messages.Member {
	order := s.world.Random.Perm(len(s.set))
	if s.world.Random.Intn(2) == 0 {
		lastIndex := func(i int) int64 {
			return s.stores[s.set[i].Address].log.Extent().Last
		}
		sort.SliceStable(order, func(left, right int) bool { return lastIndex(order[left]) > lastIndex(order[right]) })
	}
	return []messages.Member{s.set[order[0]], s.set[order[1]]}
}

// spareStore returns a running store outside the set.
func (s *simFleet) spareStore() messages.Member {
	inSet := map[string]bool{}
	for _, member := range s.set {
		inSet[member.Address] = true
	}
	for _, name := range simulation.SortedKeys(s.stores) {
		if !inSet[name] && !s.stores[name].down {
			return s.stores[name].member
		}
	}
	s.t.Fatal("no spare store is running")
	return messages.Member{}
}

// awaitAcknowledged runs the world until the leader has acknowledged another output, so that the
// next fault occurs right after an acknowledgement.
func (s *simFleet) awaitAcknowledged() {
	before := s.acknowledgements
	for step := 0; step < 4000 && s.acknowledgements == before; step++ {
		if step%30 == 0 {
			s.jobNumber++
			id := fmt.Sprintf("lot%d", s.jobNumber)
			encoded, _ := (&messages.JobBody{Path: "/p/", Items: []messages.JobItem{{ID: id + "-0", Tokens: 1}}}).MarshalMsg(nil)
			s.leader.submit(messages.Record{Kind: messages.RecordJob, Job: id, Body: encoded})
			s.leader.submit(messages.Record{Kind: messages.RecordOutput, Job: id, Item: id + "-0"})
			s.leader.forget()
		}
		s.world.Run(s.world.Now.Add(clock.Milliseconds(1)))
	}
	if s.acknowledgements == before {
		s.t.Fatal("no further output was acknowledged within 4 s")
	}
}

// restartWiped restarts a machine with an empty disk.
func (s *simFleet) restartWiped(store *simStore, disk string) {
	store.down = true
	store.disk.PowerLoss()
	store.disk.Wipe()
	store.member.Disk = disk
	s.open(store)
}

// newBudgetFleet creates a fleet with a fault budget of two and a complete store set.
func newBudgetFleet(t *testing.T, seed int64) *simFleet {
	t.Helper()

	fleet := newSimFleetOf(t, seed, 9, 2, 5)
	if seed%4 == 0 {
		// The first set is smaller than the budget requires, and grows under load.
		fleet = newSimFleetOf(t, seed, 9, 2, 3)
	}
	fleet.world.LossProbability, fleet.world.DuplicateProbability = 0.04, 0.04
	fleet.electAny()
	for len(fleet.set) < 5 {
		fleet.awaitAcknowledged()
		fleet.replaceMember(messages.Member{}, fleet.spareStore())
	}
	return fleet
}

// losePowerAndDisks cuts the power of all stores and wipes the disks of some.
func (s *simFleet) losePowerAndDisks(lost []messages.Member, disk func(i int) string) {
	for _, name := range simulation.SortedKeys(s.stores) {
		s.stores[name].down = true
		s.stores[name].disk.PowerLoss()
	}
	for _, name := range simulation.SortedKeys(s.stores) {
		s.open(s.stores[name])
	}
	for i, member := range lost {
		s.restartWiped(s.stores[member.Address], disk(i))
	}
	s.electAny()
	for _, member := range lost {
		s.replaceMember(member, s.stores[member.Address].member)
	}
	// A store takes over at the moment of the set change.
	s.electAny()
}

// losePowerTemporarily cuts the power of some stores for a while.
func (s *simFleet) losePowerTemporarily(lost []messages.Member) {
	for _, member := range lost {
		s.stores[member.Address].down = true
		s.stores[member.Address].disk.PowerLoss()
	}
	s.electAny()
	s.awaitAcknowledged()
	for _, member := range lost {
		s.open(s.stores[member.Address])
	}
}

// losePermanently replaces some stores by others. The lost ones return later with empty disks.
func (s *simFleet) losePermanently(lost []messages.Member, disk func(i int) string) {
	for _, member := range lost {
		s.stores[member.Address].down = true
	}
	s.electAny()
	for _, member := range lost {
		s.replaceMember(member, s.spareStore())
	}
	for i, member := range lost {
		s.restartWiped(s.stores[member.Address], disk(i))
	}
}

// loseTwoStores makes two stores fail right after an acknowledgement, in one of three ways.
func (s *simFleet) loseTwoStores(round int) {
	if len(s.appendDelay) == 0 {
		s.slowTwoMembers()
	}
	s.awaitAcknowledged()
	// Slow stores count against the budget, so they recover before the others fail.
	s.appendDelay = nil
	lost := s.randomPair()
	disk := func(i int) string { return fmt.Sprintf("wiped-%d-%d", round, i) }
	switch s.world.Random.Intn(3) {
	case 0:
		s.losePowerAndDisks(lost, disk)
	case 1:
		s.losePowerTemporarily(lost)
	case 2:
		s.losePermanently(lost, disk)
	}
	s.electAny()
	s.awaitAcknowledged()
	if s.world.Random.Intn(2) == 0 {
		// A member is replaced under load while two members are slow; the next fault follows.
		s.slowTwoMembers()
		if leaving := s.randomPair()[1]; leaving.Address != s.leader.address {
			s.replaceMember(leaving, s.spareStore())
		}
	}
}

// Acknowledged records survive the loss of any two of five stores right after the
// acknowledgement: two disks lost while all other stores lose power, two stores down for a while,
// or two machines lost permanently.
func TestJobsUnderLossOfTwo(t *testing.T) {
	acknowledged := 0
	for seed := int64(1); seed <= int64(simulation.Seeds(40)); seed++ {
		fleet := newBudgetFleet(t, seed)
		for round := 0; round < 5; round++ {
			fleet.loseTwoStores(round)
		}
		for _, member := range fleet.set {
			if register.Identity(fleet.stores[member.Address].member) != register.Identity(member) {
				t.Fatalf("seed %d: the store set names a lost disk", seed)
			}
		}
		acknowledged += fleet.acknowledgements
	}
	if acknowledged < 300 {
		t.Fatalf("%d outputs were acknowledged in total, want at least 300", acknowledged)
	}
}
