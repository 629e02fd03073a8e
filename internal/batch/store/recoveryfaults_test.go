package store

// pairOfStores draws two machines, mostly of the store set.
func (f *recoveryFleet) randomPair() []int {
	members := map[string]bool{}
	if f.random.Intn(4) > 0 {
		for _, member := range f.storeSet() {
			members[member.Name] = true
		}
	}
	var pair, others []int
	for _, i := range f.random.Perm(len(f.disks)) {
		if members[storeName(i+1)] && len(pair) < 2 {
			pair = append(pair, i+1)
		} else {
			others = append(others, i+1)
		}
	}
	return append(pair, others...)[:2]
}

// numberOf gives a machine by its name.
func (f *recoveryFleet) numberOf(name string) int {
	for number := 1; number <= len(f.disks); number++ {
		if storeName(number) == name {
			return number
		}
	}
	f.t.Fatal("no machine ", name)
	return 0
}

// leadingNumber is the machine that leads.
func (f *recoveryFleet) leaderNumber() int {
	leading := f.leader()
	if leading == nil {
		f.t.Fatal("nobody leads")
	}
	return f.numberOf(leading.Node.Self.Name)
}

// memberBesidesLeader gives a machine of the set that does not lead.
func (f *recoveryFleet) memberBesidesLeader() int {
	leader := f.leaderNumber()
	for _, member := range f.storeSet() {
		if number := f.numberOf(member.Name); number != leader {
			return number
		}
	}
	f.t.Fatal("a set of one")
	return 0
}

// loseDisks takes the power from all machines and the disks from two, and starts all again.
func (f *recoveryFleet) loseDisks(first, second int) {
	f.logf("all lose power, %s and %s their disks; %d jobs accepted, %d stores in the set", storeName(first), storeName(second), len(f.acceptedJobs()), len(f.storeSet()))
	for number := 1; number <= len(f.disks); number++ {
		f.powerOff(number, number == first || number == second)
	}
	sleepMs(800 + f.random.Float64()*700)
	for number := 1; number <= len(f.disks); number++ {
		f.start(number)
		if f.random.Intn(4) == 0 {
			sleepMs(f.random.Float64() * 200)
		}
	}
}

// loseDisksOneAfterTheOther takes the disks of machines while the others go on.
func (f *recoveryFleet) loseDisksInTurn(machines []int) {
	f.logf("stores %v lose their disks", machines)
	for _, number := range machines {
		f.powerOff(number, true)
		sleepMs(f.random.Float64() * 400)
	}
	sleepMs(500 + f.random.Float64()*2500)
	for _, number := range machines {
		f.start(number)
		sleepMs(f.random.Float64() * 1500)
	}
}
