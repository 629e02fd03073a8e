package register

import "lemonarch/internal/platform/messages"

// Join gives a change of the acceptor set by which a newcomer takes the place of
// a member, or a new place where out is nil. The old set stays beside the new
// one until Settle, so that majorities of both must agree in between. A set that
// has its size takes nobody without giving somebody up: several newcomers may have
// seen the same gap.
func Join(newcomer messages.Member, out *messages.Member, size int) Change {
	return func(current messages.RegisterValue) (messages.RegisterValue, Verdict) {
		if len(current.Previous) > 0 {
			// One change at a time: that of another is ended first. The proposer may
			// know of none, where it knows an end that was never chosen.
			return Settle(current)
		}
		if out == nil && len(current.Acceptors) >= size {
			return current, VerdictKeep
		}
		var next []messages.Member
		removed := false
		for _, member := range current.Acceptors {
			if Identity(member) == Identity(newcomer) {
				return current, VerdictKeep
			}
			if out != nil && Identity(member) == Identity(*out) {
				removed = true
				continue
			}
			next = append(next, member)
		}
		if out != nil && !removed {
			return current, VerdictKeep
		}
		current.Previous = current.Acceptors
		current.Acceptors = append(next, newcomer)
		current.SetEpoch++
		return current, VerdictWrite
	}
}

// Settle ends a change of the set.
func Settle(current messages.RegisterValue) (messages.RegisterValue, Verdict) {
	if len(current.Previous) == 0 {
		return current, VerdictKeep
	}
	current.Previous = nil
	current.SetEpoch++
	return current, VerdictWrite
}

// Look changes nothing.
func Look(current messages.RegisterValue) (messages.RegisterValue, Verdict) {
	return current, VerdictKeep
}
