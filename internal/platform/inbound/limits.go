// Package inbound bounds what the clients of a process can make it hold: how many connections, and
// how many bytes of heads and bodies whose requests are not answered yet. Clients are not trusted to
// end what they begin. Nothing is refused while there is room; where there is none, idle
// connections and the slowest senders give way first, and whoever finds no room even so gets
// 503: its request has not run and never will.
package inbound

import (
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/settings"
)

// The errors of reading a request.
var (
	// ErrTooLarge: the body is longer than is allowed.
	ErrTooLarge = errs.Define("body too large")
	// ErrNoRoom: the process has no memory for the body, now.
	ErrNoRoom = errs.Define("no room for the body")
	// ErrTooSlow: the body was not whole in time.
	ErrTooSlow = errs.Define("body not whole in time")
	// ErrBroken: the body ended early, or is not framed as HTTP wants it.
	ErrBroken = errs.Define("body can't be read")
)

// Limits are what one process grants its clients.
type Limits struct {
	// Connections is how many connections a main listener may have; 0 for no limit.
	Connections int
	// Memory is how many bytes the requests of all listeners may hold together, beyond what each
	// connection may hold anyway; 0 for no limit.
	Memory int64
}

// LimitsOf derives the limits from what the machine gives the process: memory-mb, and file-handles.
func LimitsOf(machine settings.Limits) Limits {
	limits := Limits{
		Connections: int(machine.MemoryShare(constants.ClientConnectionsShare) / constants.ClientConnectionBytes),
		Memory:      machine.MemoryShare(constants.ClientBytesShare),
	}
	if machine.FileHandles > 0 {
		usable := max(machine.FileHandles-constants.FileHandlesReserved, machine.FileHandles/2)
		limits.Connections = min(limits.Connections, int(float64(usable)*constants.ClientHandlesShare))
	}
	limits.Connections = max(limits.Connections, constants.ClientConnectionsMin)
	return limits
}
