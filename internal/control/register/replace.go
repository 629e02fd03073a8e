package register

import (
	"slices"

	"lemonarch/internal/platform/messages"
)

// Result is what a change found.
type Result int

// The outcomes.
const (
	// ResultApplied: the change is in force.
	ResultApplied Result = iota
	// ResultAlreadyApplied: this very version was taken before.
	ResultAlreadyApplied
	// ResultConflict: another version is in place.
	ResultConflict
	// ResultGenerationTooOld: the generation is not above the current one.
	ResultGenerationTooOld
	// ResultNeedsArchive: the version is too old for the value to know whether it was
	// taken; the archive has to tell.
	ResultNeedsArchive
	// ResultTooFewStores: what is asked would leave too few members.
	ResultTooFewStores
	// ResultBaseAhead: the base is younger than the current version. It may yet come into
	// force, and an earlier attempt of the same order may meet it then: no refusal.
	ResultBaseAhead
)

// InForce tells whether the version asked for was taken, now or earlier.
func (r Result) InForce() bool { return r == ResultApplied || r == ResultAlreadyApplied }

// Replace gives the change that puts a configuration in force on top of its
// base. The outcome is written each time the change is shown a value; only the
// last showing counts.
func Replace(version messages.Version, body []byte, result *Result) Change {
	return func(current messages.RegisterValue) (messages.RegisterValue, Verdict) {
		switch versionStatus(&current, version) {
		case messages.VersionCommitted:
			// Sent again after an unclear answer.
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

// CheckSuccessor says why a version that was never taken can't follow the current one, or
// ResultApplied where it can.
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

// Campaign gives the change by which a store becomes the leader: it
// raises the epoch, so that whoever led before can change nothing any more.
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

// SetStores gives the change of the store set. Only the leader of the epoch may make it. The
// leader numbers its changes, and one that was overtaken by a later one, on its way or in a
// controller that stood still, has no effect: a set that was replaced never comes back in force.
// done tells whether the set is the one that this change asks for.
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
		// A sender that does not number its changes is bound by its epoch alone.
		if unnumbered := sequence == 0 && current.StoresSequence == 0; sequence <= current.StoresSequence && !unnumbered {
			return current, VerdictUnchanged
		}
		if addsRetired(&current, stores) {
			// Retired while it was brought in: nothing may be kept there alone.
			return current, VerdictUnchanged
		}
		*done = true
		next := current
		next.Stores, next.StoresSequence = stores, sequence
		return next, VerdictWrite
	}
}

// addsRetired tells whether a store set names a machine that is to be emptied and was
// not in the set before.
func addsRetired(current *messages.RegisterValue, stores []messages.Member) bool {
	in := func(members []messages.Member, name string) bool {
		return slices.ContainsFunc(members, func(member messages.Member) bool { return member.Name == name })
	}
	return slices.ContainsFunc(stores, func(store messages.Member) bool {
		return slices.Contains(current.Retired, store.Name) && !in(current.Stores, store.Name)
	})
}

// SameMembers tells whether two sets name the same disks in the same order.
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

// RetireStore gives the change that notes a store machine as one to be emptied. The
// count of those that remain is part of the change: serving names the storage
// machines that this process knows to be alive, and those that the agreed value has
// retired meanwhile, through whichever process, count no more.
func RetireStore(name string, serving []string, least int, result *Result) Change {
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
		if len(remaining) < least {
			*result = ResultTooFewStores
			return current, VerdictUnchanged
		}
		*result = ResultApplied
		next := current
		next.Retired = append(slices.Clone(current.Retired), name)
		return next, VerdictWrite
	}
}

// Retire notes a store machine without counting who remains. RetireStore takes its
// place; it stays until no caller is left.
func Retire(name string) Change {
	var ignored Result
	return RetireStore(name, nil, 0, &ignored)
}
