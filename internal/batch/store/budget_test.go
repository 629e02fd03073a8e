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

// slowly carries an order; a slow store takes longer over it.
func (s *simFleet) sendAppend(from, to string, function func()) {
	lag := s.appendDelay[to]
	if lag == 0 {
		s.world.Send(from, to, function)
		return
	}
	s.world.Send(from, to, func() { s.world.After(lag, function) })
}

// slowTwo makes two members of the set slow, and nobody else.
func (s *simFleet) slowTwoMembers() {
	s.appendDelay = map[string]clock.Duration{}
	for _, i := range s.world.Random.Perm(len(s.set))[:2] {
		s.appendDelay[s.set[i].Address] = clock.Milliseconds(120)
	}
}

// pair draws two members of the set; half of the time those that have most.
func (s *simFleet) randomPair() []messages.Member {
	order := s.world.Random.Perm(len(s.set))
	if s.world.Random.Intn(2) == 0 {
		has := func(i int) int64 {
			return s.stores[s.set[i].Address].store.Extent().Last
		}
		sort.SliceStable(order, func(left, right int) bool { return has(order[left]) > has(order[right]) })
	}
	return []messages.Member{s.set[order[0]], s.set[order[1]]}
}

// fresh gives a store outside the set.
func (s *simFleet) spareStore() messages.Member {
	inSet := map[string]bool{}
	for _, member := range s.set {
		inSet[member.Address] = true
	}
	for _, name := range simulation.Keys(s.stores) {
		if !inSet[name] && !s.stores[name].down {
			return s.stores[name].member
		}
	}
	s.t.Fatal("no store stands by")
	return messages.Member{}
}

// awaitAcknowledged runs until the leader has told one more result: the fault that follows
// strikes right after an acknowledgement.
func (s *simFleet) awaitAcknowledged() {
	before := s.acknowledgements
	for step := 0; step < 4000 && s.acknowledgements == before; step++ {
		if step%30 == 0 {
			s.jobNumber++
			id := fmt.Sprintf("lot%d", s.jobNumber)
			packed, _ := (&messages.JobBody{Path: "/p/", Items: []messages.JobItem{{ID: id + "-0", Tokens: 1}}}).MarshalMsg(nil)
			s.leader.submit(messages.Record{Kind: messages.RecordJob, Job: id, Body: packed})
			s.leader.submit(messages.Record{Kind: messages.RecordOutput, Job: id, Item: id + "-0"})
			s.leader.forget()
		}
		s.world.Run(s.world.Now.Add(clock.Milliseconds(1)))
	}
	if s.acknowledgements == before {
		s.t.Fatal("nothing was told any more")
	}
}

// wipeBack brings a machine back with an empty disk.
func (s *simFleet) restartWiped(store *simStore, disk string) {
	store.down = true
	store.disk.PowerLoss()
	store.disk.Wipe()
	store.member.Disk = disk
	s.open(store)
}

// newBudgetFleet makes a fleet with a fault budget of two, whose set is complete.
func newBudgetFleet(t *testing.T, seed int64) *simFleet {
	t.Helper()

	fleet := newSimFleetOf(t, seed, 9, 2, 5)
	if seed%4 == 0 {
		// The first set is smaller than the budget asks, and grows under load.
		fleet = newSimFleetOf(t, seed, 9, 2, 3)
	}
	fleet.world.Loss, fleet.world.Double = 0.04, 0.04
	fleet.electAny()
	for len(fleet.set) < 5 {
		fleet.awaitAcknowledged()
		fleet.replaceMember(messages.Member{}, fleet.spareStore())
	}
	return fleet
}

// losePowerAndDisks takes everybody's power, and the disks of some.
func (s *simFleet) losePowerAndDisks(lost []messages.Member, disk func(i int) string) {
	for _, name := range simulation.Keys(s.stores) {
		s.stores[name].down = true
		s.stores[name].disk.PowerLoss()
	}
	for _, name := range simulation.Keys(s.stores) {
		s.open(s.stores[name])
	}
	for i, member := range lost {
		s.restartWiped(s.stores[member.Address], disk(i))
	}
	s.electAny()
	for _, member := range lost {
		s.replaceMember(member, s.stores[member.Address].member)
	}
	// Somebody takes over at the very moment of the change.
	s.electAny()
}

// losePowerOf takes the power of some for a while.
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

// loseForGood replaces some by others; they come back with empty disks later.
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

// loseTwo strikes two stores right after an acknowledgement, in one of three ways.
func (s *simFleet) loseTwoStores(round int) {
	if len(s.appendDelay) == 0 {
		s.slowTwoMembers()
	}
	s.awaitAcknowledged()
	// Slow stores count as lost: they recover as the others are struck.
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
		// A member is emptied under load, two others slow; the next fault follows.
		s.slowTwoMembers()
		if out := s.randomPair()[1]; out.Address != s.leader.address {
			s.replaceMember(out, s.spareStore())
		}
	}
}

// Records outlast the loss of any two of five stores right after they were acknowledged:
// disks lost while all others lose power, kills, and machines gone for good.
func TestJobsUnderLossOfTwo(t *testing.T) {
	acknowledged := 0
	for seed := int64(1); seed <= int64(simulation.Seeds(40)); seed++ {
		fleet := newBudgetFleet(t, seed)
		for round := 0; round < 5; round++ {
			fleet.loseTwoStores(round)
		}
		for _, member := range fleet.set {
			if register.Identity(fleet.stores[member.Address].member) != register.Identity(member) {
				t.Fatalf("seed %d: the set names a disk that is gone", seed)
			}
		}
		acknowledged += fleet.acknowledgements
	}
	if acknowledged < 300 {
		t.Fatalf("only %d results were acknowledged in all", acknowledged)
	}
}
