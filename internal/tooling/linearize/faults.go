package linearize

import "lemonarch/internal/platform/clock"

// trouble brings one fault after another, each once the one before is over and the set
// of acceptors is whole again: within a budget of one machine.
func (fleet *Fleet) trouble(until clock.Moment) {
	fleet.after(100, 700, func() {
		if fleet.world.Now > until {
			return
		}
		if fleet.whole() {
			fleet.strike()
		}
		fleet.trouble(until)
	})
}

func (fleet *Fleet) strike() {
	victim := fleet.any()
	switch fleet.world.Random.Intn(7) {
	case 0:
		fleet.cut(victim, true, true)
	case 1:
		fleet.cut(victim, true, false)
	case 2:
		fleet.cut(victim, false, true)
	case 3:
		fleet.bounce(victim, fleet.world.Random.Intn(2) == 0)
	case 4:
		// All lose power, or all are killed.
		power := fleet.world.Random.Intn(2) == 0
		for _, name := range fleet.names {
			fleet.bounce(fleet.nodes[name], power)
		}
	case 5:
		fleet.wipe(victim)
	case 6:
		fleet.crash = true
	}
}

// cut cuts a machine off from all others and from the operators, one way or both.
func (fleet *Fleet) cut(victim *controller, to, from bool) {
	set := func(cut bool) {
		for _, name := range fleet.names {
			fleet.world.Cut(name, victim.name, cut && to)
			fleet.world.Cut(victim.name, name, cut && from)
		}
	}
	set(true)
	fleet.after(300, 5000, func() { set(false) })
}

// bounce ends a process; it is started again with its disk.
func (fleet *Fleet) bounce(victim *controller, power bool) {
	if victim.down {
		return
	}
	victim.down, fleet.since[victim.name] = true, fleet.world.Now
	if power {
		victim.disk.PowerLoss()
	}
	fleet.after(50, 4000, func() { fleet.fail(victim.start("", nil)) })
}

// wipe ends a process; its machine comes back without what its disk held.
func (fleet *Fleet) wipe(victim *controller) {
	if victim.down {
		return
	}
	victim.down, fleet.since[victim.name] = true, fleet.world.Now
	identity := victim.identity()
	if fleet.breaks.KeepIdentity {
		identity = victim.acceptor.Disk()
	}
	victim.disk.Wipe()
	fleet.after(50, 3000, func() { fleet.fail(victim.start(identity, nil)) })
}
