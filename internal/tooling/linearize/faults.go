package linearize

import "lemonarch/internal/platform/clock"

// scheduleFaults injects faults until stopAt, each only while all machines are up and the acceptor
// set is complete. This keeps the loss of disks within a fault budget of one machine. A partition or
// a pending crash of a proposer may coincide with the next fault.
func (f *Fleet) scheduleFaults(stopAt clock.Instant) {
	f.afterRandom(100, 700, func() {
		if f.world.Now > stopAt {
			return
		}
		if f.healthy() {
			f.injectFault()
		}
		f.scheduleFaults(stopAt)
	})
}

func (f *Fleet) injectFault() {
	victim := f.any()
	switch f.world.Random.Intn(7) {
	case 0:
		f.partition(victim, true, true)
	case 1:
		f.partition(victim, true, false)
	case 2:
		f.partition(victim, false, true)
	case 3:
		f.restart(victim, f.world.Random.Intn(2) == 0)
	case 4:
		// All machines lose power, or all processes are killed.
		power := f.world.Random.Intn(2) == 0
		for _, name := range f.names {
			f.restart(f.nodes[name], power)
		}
	case 5:
		f.wipe(victim)
	case 6:
		f.crashNextProposer = true
	}
}

// partition cuts a machine off from all others, in one or both directions. Operators still reach
// it. While its outgoing messages are cut, so are those to its own acceptor.
func (f *Fleet) partition(victim *controller, toVictim, fromVictim bool) {
	setPartitioned := func(partitioned bool) {
		for _, name := range f.names {
			f.world.SetPartitioned(name, victim.name, partitioned && toVictim)
			f.world.SetPartitioned(victim.name, name, partitioned && fromVictim)
		}
	}
	setPartitioned(true)
	f.afterRandom(300, 5000, func() { setPartitioned(false) })
}

// restart ends a process and later starts it again with its disk.
func (f *Fleet) restart(victim *controller, losePower bool) {
	if victim.down {
		return
	}
	victim.down, f.downSince[victim.name] = true, f.world.Now
	if losePower {
		victim.disk.PowerLoss()
	}
	f.afterRandom(50, 4000, func() { f.recordError(victim.start("", nil)) })
}

// wipe ends a process. Its machine comes back with an empty disk.
func (f *Fleet) wipe(victim *controller) {
	if victim.down {
		return
	}
	victim.down, f.downSince[victim.name] = true, f.world.Now
	identity := victim.identity()
	if f.defects.KeepIdentity {
		identity = victim.acceptor.Disk()
	}
	victim.disk.Wipe()
	f.afterRandom(50, 3000, func() { f.recordError(victim.start(identity, nil)) })
}
