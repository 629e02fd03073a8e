package store

// randomPair draws two machines, mostly from the store set.
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

// numberOf returns the number of the machine with a name.
func (f *recoveryFleet) numberOf(name string) int {
	for number := 1; number <= len(f.disks); number++ {
		if storeName(number) == name {
			return number
		}
	}
	f.t.Fatal("unknown machine ", name)
	return 0
}

// leaderNumber returns the number of the machine that leads.
func (f *recoveryFleet) leaderNumber() int {
	leading := f.leader()
	if leading == nil {
		f.t.Fatal("no store leads")
	}
	return f.numberOf(leading.Node.Self.Name)
}

// memberBesidesLeader returns the number of a machine in the set that does not lead.
func (f *recoveryFleet) memberBesidesLeader() int {
	leader := f.leaderNumber()
	for _, member := range f.storeSet() {
		if number := f.numberOf(member.Name); number != leader {
			return number
		}
	}
	f.t.Fatal("the store set has no member besides the leader")
	return 0
}

// loseDisks cuts the power of all machines, wipes the disks of two, and restarts all.
func (f *recoveryFleet) loseDisks(first, second int) {
	f.logf("all stores lose power, %s and %s also their disks; %d jobs accepted, %d stores in the set", storeName(first), storeName(second), len(f.acceptedJobs()), len(f.storeSet()))
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

// loseDisksInTurn wipes the disks of machines one after the other while the others keep running.
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
