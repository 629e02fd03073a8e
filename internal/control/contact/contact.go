// Package contact implements the contact lease, which shows whether a controller is up to
// date: whether a majority of the current acceptors responded to it recently, and none of these
// responses reported a version newer than what the process follows. The package consists of step
// functions without I/O.
//
// While the lease is valid, the process follows every acceptor set and every configuration that was
// acknowledged more than constants.ContactLease ago: each was accepted by a majority, which shares
// a member with the majority that responded, and a response that reports a newer version does not
// renew the lease.
package contact

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Versions identifies the acceptor set, by its epoch, and the configuration, by its generation,
// that a process follows or an acceptor has accepted.
type Versions struct {
	SetEpoch   uint64
	Generation int64
}

// Lease is the contact lease of a process with the acceptors.
type Lease struct {
	// renewed maps the identity of each acceptor to the time at which the request of its latest
	// renewing response was sent.
	renewed map[string]clock.Instant
}

// New returns a lease that was never renewed.
func New() *Lease { return &Lease{renewed: map[string]clock.Instant{}} }

// Observe handles the response of an acceptor to a request that was sent at sentAt. It reports
// whether the acceptor is ahead of what this process follows; such a response does not renew the
// lease.
func (l *Lease) Observe(acceptor messages.Member, sentAt clock.Instant, accepted, followed Versions) (ahead bool) {
	if accepted.SetEpoch > followed.SetEpoch || accepted.Generation > followed.Generation {
		return true
	}
	identity := register.Identity(acceptor)
	if last, known := l.renewed[identity]; !known || sentAt > last {
		l.renewed[identity] = sentAt
	}
	return false
}

// Valid reports whether majorities of all current sets responded to requests that were sent less
// than constants.ContactLease ago.
func (l *Lease) Valid(sets *messages.RegisterValue, now clock.Instant) bool {
	if len(sets.Acceptors) == 0 {
		return false
	}
	responded := map[string]bool{}
	for identity, sentAt := range l.renewed {
		if now.Sub(sentAt) < constants.ContactLease {
			responded[identity] = true
		}
	}
	return register.Quorum(sets, responded)
}

// Trim removes acceptors that are in none of the given sets.
func (l *Lease) Trim(sets *messages.RegisterValue) {
	members := map[string]bool{}
	for _, member := range append(append([]messages.Member(nil), sets.Acceptors...), sets.Previous...) {
		members[register.Identity(member)] = true
	}
	for identity := range l.renewed {
		if !members[identity] {
			delete(l.renewed, identity)
		}
	}
}
