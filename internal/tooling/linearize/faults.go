package linearize

import "lemonarch/internal/platform/clock"

// trouble brings one fault after another, each once the one before is over and the set
// of acceptors is whole again: within a budget of one machine.
func (f *Fleet) trouble(until clock.Instant) {
	f.after(100, 700, func() {
		if f.world.Now > until {
			return
		}
		if f.whole() {
			f.strike()
		}
		f.trouble(until)
	})
}

func (f *Fleet) strike() {
	victim := f.any()
	switch f.world.Random.Intn(7) {
	case 0:
		f.cut(victim, true, true)
	case 1:
		f.cut(victim, true, false)
	case 2:
		f.cut(victim, false, true)
	case 3:
		f.bounce(victim, f.world.Random.Intn(2) == 0)
	case 4:
		// All lose power, or all are killed.
		power := f.world.Random.Intn(2) == 0
		for _, name := range f.names {
			f.bounce(f.nodes[name], power)
		}
	case 5:
		f.wipe(victim)
	case 6:
		f.crash = true
	}
}

// cut cuts a machine off from all others and from the operators, one way or both.
func (f *Fleet) cut(victim *controller, to, from bool) {
	set := func(partitioned bool) {
		for _, name := range f.names {
			f.world.SetPartitioned(name, victim.name, partitioned && to)
			f.world.SetPartitioned(victim.name, name, partitioned && from)
		}
	}
	set(true)
	f.after(300, 5000, func() { set(false) })
}

// bounce ends a process; it is started again with its disk.
func (f *Fleet) bounce(victim *controller, power bool) {
	if victim.down {
		return
	}
	victim.down, f.since[victim.name] = true, f.world.Now
	if power {
		victim.disk.PowerLoss()
	}
	f.after(50, 4000, func() { f.fail(victim.start("", nil)) })
}

// wipe ends a process; its machine comes back without what its disk held.
func (f *Fleet) wipe(victim *controller) {
	if victim.down {
		return
	}
	victim.down, f.since[victim.name] = true, f.world.Now
	identity := victim.identity()
	if f.breaks.KeepIdentity {
		identity = victim.acceptor.Disk()
	}
	victim.disk.Wipe()
	f.after(50, 3000, func() { f.fail(victim.start(identity, nil)) })
}
