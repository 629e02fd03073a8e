package hollowfleet

import (
	"golang.org/x/sys/unix"
)

// Core names a core whose steps are timed.
type Core int

// The cores.
const (
	CoreMembership Core = iota
	CoreWorkers
	CoreGossip
	CoreReadings
	CorePlacement
	CoreConfig
	CoreRegister
	CoreHolds
	CoreLots
	CoreDriver
	CoreContact
	CoreBacklog
	cores
)

var coreNames = [cores]string{"membership", "workers", "gossip", "readings", "placement", "config", "register", "holds", "lots", "driver", "contact", "backlog"}

// String names the core.
func (c Core) String() string { return coreNames[c] }

// Cost is what a core took in one process: its steps, with the reading and writing of
// their messages, and their processor time in ns.
type Cost struct {
	Steps       int64
	Nanoseconds int64
}

// threadTime is the processor time of this thread in ns. Time in which the machine ran
// something else is not in it, nor is the collector's own thread.
func threadTime() int64 {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &now) != nil {
		return 0
	}
	return now.Nano()
}

// step runs a step of a core and charges the process with it. Steps within steps are
// charged to the inner core alone.
func (n *Node) step(core Core, function func()) {
	fleet := n.fleet
	started := threadTime()
	outer := fleet.inner
	fleet.inner = 0
	function()
	took := threadTime() - started
	cost := &n.costs[core]
	cost.Steps++
	cost.Nanoseconds += took - fleet.inner
	fleet.inner = outer + took
}

// Way says how far a frame went.
type Way int

// The ways.
const (
	WayWithin Way = iota
	WayZones
	WayRegions
	ways
)

var wayNames = [ways]string{"within-zone", "between-zones", "between-regions"}

// Traffic counts frames and their bytes.
type Traffic struct {
	Frames int64
	Bytes  int64
}

func (t *Traffic) add(bytes int) {
	t.Frames++
	t.Bytes += int64(bytes)
}
