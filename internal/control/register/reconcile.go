package register

import (
	"slices"

	"lemonarch/internal/platform/messages"
)

// SetReconciler is what a process knows when it decides on the next change of the acceptor set.
type SetReconciler struct {
	Own messages.Member
	// Votes says that this process may take a place: it has a disk of its own.
	Votes bool
	// Size is how many members tolerate the loss of the fault budget (2f + 1).
	Size int
	// JointRecent says that a joint set has stood for a short time only: the joiner, who
	// proposed it, ends it, and others stay out of its way.
	JointRecent bool
	// Diskless says of a member that it has no disk, and Departed that it was silent for
	// long; Departed is asked only where nothing else is to be done.
	Diskless func(member messages.Member) bool
	Departed func(member messages.Member) bool
}

// NextChange gives the change of the set that this process should propose, or nil. Each
// process proposes only itself, and one change at a time.
func (t SetReconciler) NextChange(known messages.RegisterValue) Change {
	if len(known.Acceptors) == 0 {
		return nil
	}
	if len(known.Previous) > 0 {
		if t.JointRecent && !isJoiner(&known, t.Own) {
			return nil
		}
		// Somebody's change was left half done.
		return EndJoint
	}
	if !t.Votes {
		return nil
	}
	var blank *messages.Member
	for index := range known.Acceptors {
		member := known.Acceptors[index]
		if Identity(member) == Identity(t.Own) {
			return nil
		}
		if member.Address == t.Own.Address {
			// The same machine with another disk: that member has forgotten its votes.
			return Join(t.Own, &member, t.Size)
		}
		if blank == nil && t.Diskless != nil && t.Diskless(member) {
			blank = &member
		}
	}
	if blank != nil {
		return Join(t.Own, blank, t.Size)
	}
	if len(known.Acceptors) < t.Size {
		return Join(t.Own, nil, t.Size)
	}
	for index := range known.Acceptors {
		if member := known.Acceptors[index]; t.Departed(member) {
			return Join(t.Own, &member, t.Size)
		}
	}
	return nil
}

// isJoiner tells whether a member is in a joint set's new half only.
func isJoiner(known *messages.RegisterValue, own messages.Member) bool {
	in := func(members []messages.Member) bool {
		return slices.ContainsFunc(members, func(member messages.Member) bool { return Identity(member) == Identity(own) })
	}
	return in(known.Acceptors) && !in(known.Previous)
}

// ToleratesBudget tells whether the loss of the fault budget leaves a majority: what a
// smaller set acknowledged could be lost within the budget. Others is how many
// processes with a disk stand outside and could still join.
func ToleratesBudget(value *messages.RegisterValue, size, others int) bool {
	complete := min(size, len(value.Acceptors)+others)
	return len(value.Acceptors) >= complete && (len(value.Previous) == 0 || len(value.Previous) >= complete)
}
