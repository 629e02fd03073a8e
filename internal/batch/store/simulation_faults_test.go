package store

import (
	"slices"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// losePower cuts a store's power for a while. Synced data survives.
func (s *simFleet) losePower(store *simStore) {
	store.down = true
	store.disk.PowerLoss()
	s.electAny()
	s.submitJobs(3)
	s.open(store)
}

// loseDisk wipes a member's disk. The machine comes back with another disk identity and becomes a
// member again once it has all records.
func (s *simFleet) loseDisk(victim messages.Member, disk string) {
	store := s.stores[victim.Address]
	store.down = true
	store.disk.Wipe()
	s.electAny()
	s.submitJobs(3)
	store.member.Disk = disk
	s.open(store)
	s.replaceMember(victim, store.member)
}

// partitionLeader partitions the leader, which does not learn that another store took over.
func (s *simFleet) partitionLeader() {
	if s.leader == nil {
		return
	}
	partitioned, old := s.leader.address, s.leader
	var names []string
	for name := range s.stores {
		names = append(names, name)
	}
	s.world.Isolate(partitioned, names, true)
	s.stores[partitioned].down = false
	others := s.liveMembers()
	if i := slices.Index(others, partitioned); i >= 0 {
		others = append(others[:i], others[i+1:]...)
	}
	for attempt := 0; attempt < 12 && (s.leader == old || !s.leader.ready); attempt++ {
		s.startTakeover(others[s.world.Random.Intn(len(others))])
		s.world.Run(s.world.Now.Add(clock.Milliseconds(400)))
	}
	s.checkJobs(s.leader)
	old.submit(messages.Record{Kind: messages.RecordOutput, Job: "lot1", Position: 9, Item: "stale"})
	s.submitJobs(3)
	s.world.Isolate(partitioned, names, false)
}

// retire replaces a member by the spare store. The leader is never retired.
func (s *simFleet) retire(victim messages.Member) {
	if victim.Address == s.leader.address {
		return
	}
	for _, name := range []string{"s0", "s1", "s2", "s3"} {
		inSet := slices.ContainsFunc(s.set, func(member messages.Member) bool { return member.Address == name })
		if !inSet {
			s.replaceMember(victim, s.stores[name].member)
			return
		}
	}
}

// loseAll cuts the power of all stores and wipes one member's disk.
func (s *simFleet) loseAll() {
	s.world.Run(s.world.Now.Add(clock.Milliseconds(500)))
	wiped := s.set[s.world.Random.Intn(3)].Address
	for name, store := range s.stores {
		store.down = true
		store.disk.PowerLoss()
		if name == wiped {
			store.disk.Wipe()
			store.member.Disk = "last"
		}
	}
	s.leader = nil
	for _, store := range s.stores {
		s.open(store)
	}
	s.electAny()
}
