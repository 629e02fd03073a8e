package register

import (
	"slices"

	"lemonarch/internal/platform/messages"
)

// SetReconciler is the input for the decision of a process on the next change of the acceptor set.
type SetReconciler struct {
	Own messages.Member
	// Votes is set if this process may join the set, which requires a disk of its own.
	Votes bool
	// Size is the number of members that tolerates the loss of the fault budget (2f + 1).
	Size int
	// JointRecent is set if a joint set has existed for a short time only. The joiner, which
	// proposed it, ends it; the other processes do not, so as not to compete with it.
	JointRecent bool
	// Diskless reports whether a member has no disk; it may be nil. Departed reports whether a member
	// has been unreachable for a long time; it is called only if no other change is needed.
	Diskless func(member messages.Member) bool
	Departed func(member messages.Member) bool
}

// NextChange returns the change of the set that this process should propose, or nil. Each process
// proposes only itself, and one change at a time.
func (r SetReconciler) NextChange(known messages.RegisterValue) Change {
	if len(known.Acceptors) == 0 {
		return nil
	}
	if len(known.Previous) > 0 {
		if r.JointRecent && !isJoiner(&known, r.Own) {
			return nil
		}
		// A set change was left incomplete.
		return EndJoint
	}
	if !r.Votes {
		return nil
	}
	var diskless *messages.Member
	for index := range known.Acceptors {
		member := known.Acceptors[index]
		if Identity(member) == Identity(r.Own) {
			return nil
		}
		if member.Address == r.Own.Address {
			// This machine had another disk before; that member has lost its votes.
			return Join(r.Own, &member, r.Size)
		}
		if diskless == nil && r.Diskless != nil && r.Diskless(member) {
			diskless = &member
		}
	}
	if diskless != nil {
		return Join(r.Own, diskless, r.Size)
	}
	if len(known.Acceptors) < r.Size {
		return Join(r.Own, nil, r.Size)
	}
	for index := range known.Acceptors {
		if member := known.Acceptors[index]; r.Departed(member) {
			return Join(r.Own, &member, r.Size)
		}
	}
	return nil
}

// isJoiner reports whether a member is only in the new set of a joint set.
func isJoiner(known *messages.RegisterValue, own messages.Member) bool {
	contains := func(members []messages.Member) bool {
		return slices.ContainsFunc(members, func(member messages.Member) bool { return Identity(member) == Identity(own) })
	}
	return contains(known.Acceptors) && !contains(known.Previous)
}

// ToleratesBudget reports whether the sets of a value are complete: each has size members, or as many
// as there are acceptors and others together if these are fewer. The loss of the fault budget leaves
// a majority of size members; what a smaller set acknowledged could be lost within the budget. others
// is the number of processes with a disk that are not members and could still join.
func ToleratesBudget(value *messages.RegisterValue, size, others int) bool {
	complete := min(size, len(value.Acceptors)+others)
	return len(value.Acceptors) >= complete && (len(value.Previous) == 0 || len(value.Previous) >= complete)
}
