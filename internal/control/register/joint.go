package register

import "lemonarch/internal/platform/messages"

// Join returns a change of the acceptor set in which joiner replaces the member out, or is added if
// out is nil. The old set remains in the value beside the new one until EndJoint, and majorities of
// both must agree in between. A set that already has the given size accepts no joiner without
// removing a member, because several joiners may have seen the same free place.
func Join(joiner messages.Member, out *messages.Member, size int) Change {
	return func(current messages.RegisterValue) (messages.RegisterValue, Verdict) {
		if len(current.Previous) > 0 {
			// Only one set change at a time: the pending change of another process is ended first.
			// The proposer may not know of it if it knows an end that was never chosen.
			return EndJoint(current)
		}
		if out == nil && len(current.Acceptors) >= size {
			return current, VerdictUnchanged
		}
		var next []messages.Member
		removed := false
		for _, member := range current.Acceptors {
			if Identity(member) == Identity(joiner) {
				return current, VerdictUnchanged
			}
			if out != nil && Identity(member) == Identity(*out) {
				removed = true
				continue
			}
			next = append(next, member)
		}
		if out != nil && !removed {
			return current, VerdictUnchanged
		}
		current.Previous = current.Acceptors
		current.Acceptors = append(next, joiner)
		current.SetEpoch++
		return current, VerdictWrite
	}
}

// EndJoint is the change that ends a joint set.
func EndJoint(current messages.RegisterValue) (messages.RegisterValue, Verdict) {
	if len(current.Previous) == 0 {
		return current, VerdictUnchanged
	}
	current.Previous = nil
	current.SetEpoch++
	return current, VerdictWrite
}

// ReadOnly is the change that leaves the value as it is.
func ReadOnly(current messages.RegisterValue) (messages.RegisterValue, Verdict) {
	return current, VerdictUnchanged
}
