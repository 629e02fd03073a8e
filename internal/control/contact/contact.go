// Package contact tells whether a control process is current: whether a majority of the
// acceptors in force answered it lately, and told of nothing that it does not follow.
// A step function without I/O.
//
// While the lease is valid, the process follows every set of acceptors and every
// configuration that was acknowledged more than constants.ContactLease ago: each was
// accepted by a majority, which shares a member with the majority that answered, and an
// answer that tells of something newer does not renew the lease.
package contact

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Versions is what a process follows, or what an acceptor has accepted.
type Versions struct {
	SetEpoch   uint64
	Generation int64
}

// Lease is a process's proof of contact with the acceptors.
type Lease struct {
	// renewed holds, for each acceptor, when its last renewing answer was asked for.
	renewed map[string]clock.Instant
}

// New gives a lease that was never renewed.
func New() *Lease { return &Lease{renewed: map[string]clock.Instant{}} }

// Observe takes the response of an acceptor to a request that was sent at asked. It
// reports whether the acceptor is ahead of what this process follows; such an answer
// does not renew the lease.
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

// Valid tells whether majorities of all sets in force answered requests that were sent
// within the length of the lease.
func (l *Lease) Valid(sets *messages.RegisterValue, now clock.Instant) bool {
	if len(sets.Acceptors) == 0 {
		return false
	}
	answered := map[string]bool{}
	for identity, sentAt := range l.renewed {
		if now.Sub(sentAt) < constants.ContactLease {
			answered[identity] = true
		}
	}
	return register.Quorum(sets, answered)
}

// Trim forgets acceptors that are no longer in a set.
func (l *Lease) Trim(sets *messages.RegisterValue) {
	inside := map[string]bool{}
	for _, member := range append(append([]messages.Member(nil), sets.Acceptors...), sets.Previous...) {
		inside[register.Identity(member)] = true
	}
	for identity := range l.renewed {
		if !inside[identity] {
			delete(l.renewed, identity)
		}
	}
}
