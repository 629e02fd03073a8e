package register

import (
	"slices"

	"lemonarch/internal/platform/messages"
)

// Result is the outcome of a change.
type Result int

// The outcomes of a change.
const (
	// ResultApplied means that the change is in force.
	ResultApplied Result = iota
	// ResultAlreadyApplied means that this version was committed before.
	ResultAlreadyApplied
	// ResultConflict means that another version is in force: the base is older than the current
	// version.
	ResultConflict
	// ResultGenerationTooOld means that the generation is not above the current one.
	ResultGenerationTooOld
	// ResultNeedsArchive means that the version is too old for the value to show whether it was
	// committed; the archive has to decide.
	ResultNeedsArchive
	// ResultTooFewStores means that the change would leave too few members.
	ResultTooFewStores
	// ResultBaseAhead means that the base is newer than the current version. The base may still
	// come into force, and an earlier attempt of the same request may then succeed, so this is not
	// a rejection.
	ResultBaseAhead
)

// InForce reports whether the requested version was committed, now or earlier.
func (r Result) InForce() bool { return r == ResultApplied || r == ResultAlreadyApplied }

// Replace returns the change that puts a configuration in force on top of its base. The change
// writes its outcome to result each time it is called with a value; only the last call counts.
func Replace(version messages.Version, body []byte, result *Result) Change {
	return func(current messages.RegisterValue) (messages.RegisterValue, Verdict) {
		switch versionStatus(&current, version) {
		case messages.VersionCommitted:
			// Sent again after a response with an unknown outcome.
			*result = ResultAlreadyApplied
			return current, VerdictUnchanged
		case messages.VersionUnknown:
			*result = ResultNeedsArchive
			return current, VerdictUnchanged
		}
		if *result = CheckSuccessor(current.Current, version); *result != ResultApplied {
			return current, VerdictUnchanged
		}
		next := current
		next.History, next.Archive = appendHistory(&current)
		next.Current, next.Body = version, body
		return next, VerdictWrite
	}
}

// CheckSuccessor returns the reason why a version that was never committed cannot follow the
// current one, or ResultApplied if it can.
func CheckSuccessor(current, version messages.Version) Result {
	switch {
	case version.Base > current.Generation:
		return ResultBaseAhead
	case version.Base < current.Generation:
		return ResultConflict
	case version.Generation <= current.Generation:
		return ResultGenerationTooOld
	default:
		return ResultApplied
	}
}

// Campaign returns the change by which a store becomes the leader. It raises the epoch, so that the
// previous leader can no longer change the register; the stores are fenced separately, by the new
// leader. first is the store set to use if there is none yet, and done is set to whether the store
// became the leader.
func Campaign(leader messages.Leadership, expected uint64, first []messages.Member, done *bool) Change {
	return func(current messages.RegisterValue) (messages.RegisterValue, Verdict) {
		*done = false
		if current.Leadership.Epoch == expected+1 && current.Leadership.Holder == leader.Holder && current.Leadership.Incarnation == leader.Incarnation {
			// The response to an earlier attempt was lost.
			*done = true
			return current, VerdictUnchanged
		}
		if current.Leadership.Epoch != expected {
			return current, VerdictUnchanged
		}
		next := current
		next.Leadership = leader
		next.Leadership.Epoch = expected + 1
		next.StoresSequence = 0
		if len(next.Stores) == 0 {
			next.Stores = first
		}
		*done = true
		return next, VerdictWrite
	}
}

// SetStores returns the change of the store set. Only the leader of the epoch may make it. The
// leader numbers its changes, and a change that was overtaken by a later one, on the network or in
// a controller that was suspended, has no effect: a set that was replaced never comes back in
// force. done is set to whether the set in force is the one that this change requests.
func SetStores(leader messages.Leadership, sequence uint64, stores []messages.Member, done *bool) Change {
	return func(current messages.RegisterValue) (messages.RegisterValue, Verdict) {
		*done = false
		if current.Leadership.Epoch != leader.Epoch || current.Leadership.Holder != leader.Holder || current.Leadership.Incarnation != leader.Incarnation {
			return current, VerdictUnchanged
		}
		if sequence == current.StoresSequence && SameMembers(current.Stores, stores) {
			// The response to an earlier attempt was lost.
			*done = true
			return current, VerdictUnchanged
		}
		// A sender that does not number its changes is only checked by its epoch.
		if unnumbered := sequence == 0 && current.StoresSequence == 0; sequence <= current.StoresSequence && !unnumbered {
			return current, VerdictUnchanged
		}
		if addsRetired(&current, stores) {
			// The store was retired while it was being added: no data may be stored on it alone.
			return current, VerdictUnchanged
		}
		*done = true
		next := current
		next.Stores, next.StoresSequence = stores, sequence
		return next, VerdictWrite
	}
}

// addsRetired reports whether a store set adds a machine that is marked to be emptied.
func addsRetired(current *messages.RegisterValue, stores []messages.Member) bool {
	contains := func(members []messages.Member, name string) bool {
		return slices.ContainsFunc(members, func(member messages.Member) bool { return member.Name == name })
	}
	return slices.ContainsFunc(stores, func(store messages.Member) bool {
		return slices.Contains(current.Retired, store.Name) && !contains(current.Stores, store.Name)
	})
}

// SameMembers reports whether two sets contain the same members with the same disks in the same
// order.
func SameMembers(left, right []messages.Member) bool {
	if len(left) != len(right) {
		return false
	}
	for index := range left {
		if Identity(left[index]) != Identity(right[index]) {
			return false
		}
	}
	return true
}

// RetireStore returns the change that marks a store machine as one to be emptied. The remaining
// machines are counted as part of the change: serving lists the store machines that this process
// knows to be alive, and those that the current value marks as retired, by any process, are not
// counted. At least minimum machines must remain.
func RetireStore(name string, serving []string, minimum int, result *Result) Change {
	return func(current messages.RegisterValue) (messages.RegisterValue, Verdict) {
		if slices.Contains(current.Retired, name) {
			*result = ResultAlreadyApplied
			return current, VerdictUnchanged
		}
		remaining := map[string]bool{}
		for _, other := range serving {
			if other != name && !slices.Contains(current.Retired, other) {
				remaining[other] = true
			}
		}
		if len(remaining) < minimum {
			*result = ResultTooFewStores
			return current, VerdictUnchanged
		}
		*result = ResultApplied
		next := current
		next.Retired = append(slices.Clone(current.Retired), name)
		return next, VerdictWrite
	}
}

// Retire marks a store machine as one to be emptied without counting the remaining ones. It is
// superseded by RetireStore, and remains until it has no callers.
func Retire(name string) Change {
	var ignored Result
	return RetireStore(name, nil, 0, &ignored)
}
