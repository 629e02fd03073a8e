// Package inbound bounds the resources that the clients of a process can consume: the number of
// connections, and the bytes of heads and bodies of requests that have no response yet. Clients are
// not trusted to finish what they begin. Nothing is rejected below the limits. At a limit, idle
// connections and the slowest senders are evicted first; a request or connection that still does not
// fit receives 503, and that request has not been executed and never will be.
package inbound

import (
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/settings"
)

// The errors of reading a request.
var (
	// ErrTooLarge means that the head or the body is longer than allowed.
	ErrTooLarge = errs.Define("request too large")
	// ErrMemoryLimit means that the process currently has no memory for the request, or that the
	// request was evicted to free memory for others.
	ErrMemoryLimit = errs.Define("no memory for the request")
	// ErrTooSlow means that the body was not received completely before its deadline.
	ErrTooSlow = errs.Define("body not received in time")
	// ErrMalformedBody means that the body ended early or has invalid HTTP framing.
	ErrMalformedBody = errs.Define("malformed body")
	// ErrDraining means that the process is shutting down and begins no further request.
	ErrDraining = errs.Define("listener drains")
)

// Limits bounds the resources that the clients of one process may use.
type Limits struct {
	// Connections is the maximum number of open connections of a main listener; 0 means no limit.
	Connections int
	// Memory is how many bytes the requests of all listeners may use together, in addition to the
	// unmetered allowance of each connection; 0 means no limit.
	Memory int64
}

// LimitsOf derives the limits from the resources of the process: the settings memory-mb and
// file-handles.
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
