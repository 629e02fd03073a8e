package register

import "lemonarch/internal/platform/messages"

// Join gives a change of the acceptor set by which a joiner takes the place of
// a member, or a new place where out is nil. The old set stays beside the new
// one until EndJoint, so that majorities of both must agree in between. A set that
// has its size takes nobody without giving somebody up: several joiners may have
// seen the same gap.
func Join(joiner messages.Member, out *messages.Member, size int) Change {
	return func(current messages.RegisterValue) (messages.RegisterValue, Verdict) {
		if len(current.Previous) > 0 {
			// One change at a time: that of another is ended first. The proposer may
			// know of none, where it knows an end that was never chosen.
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

// EndJoint ends a change of the set.
func EndJoint(current messages.RegisterValue) (messages.RegisterValue, Verdict) {
	if len(current.Previous) == 0 {
		return current, VerdictUnchanged
	}
	current.Previous = nil
	current.SetEpoch++
	return current, VerdictWrite
}

// ReadOnly changes nothing.
func ReadOnly(current messages.RegisterValue) (messages.RegisterValue, Verdict) {
	return current, VerdictUnchanged
}
