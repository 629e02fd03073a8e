package register

import (
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Result is what a change found.
type Result int

// The outcomes.
const (
	// ResultTaken: the change is in force.
	ResultTaken Result = iota
	// ResultAlready: this very version was taken before.
	ResultAlready
	// ResultOther: another version is in place.
	ResultOther
	// ResultOld: the generation is not above the current one.
	ResultOld
)

// Replace gives the change that puts a configuration in force on top of its
// base. The outcome is written each time the change is shown a value; only the
// last showing counts.
func Replace(version messages.Version, body []byte, result *Result) Change {
	return func(current messages.Register) (messages.Register, Verdict) {
		for _, earlier := range append([]messages.Version{current.Current}, current.History...) {
			// A version resent after an unclear answer is known by its hash.
			if earlier.Generation > 0 && earlier == version {
				*result = ResultAlready
				return current, VerdictKeep
			}
		}
		if current.Current.Generation != version.Base {
			*result = ResultOther
			return current, VerdictKeep
		}
		if version.Generation <= current.Current.Generation {
			*result = ResultOld
			return current, VerdictKeep
		}
		next := current
		next.History = append([]messages.Version{}, current.History...)
		if current.Current.Generation > 0 {
			next.History = append(next.History, current.Current)
		}
		if excess := len(next.History) - constants.HistoryLength; excess > 0 {
			next.History = next.History[excess:]
		}
		next.Current, next.Body = version, body
		*result = ResultTaken
		return next, VerdictWrite
	}
}

// TakeDuty gives the change by which a store takes the duty of the lots: it
// raises the epoch, so that whoever held it before can change nothing any more.
func TakeDuty(duty messages.Duty, expected uint64, first []messages.Member, done *bool) Change {
	return func(current messages.Register) (messages.Register, Verdict) {
		*done = false
		if current.Duty.Epoch == expected+1 && current.Duty.Holder == duty.Holder && current.Duty.Life == duty.Life {
			// The answer to an earlier try was lost.
			*done = true
			return current, VerdictKeep
		}
		if current.Duty.Epoch != expected {
			return current, VerdictKeep
		}
		next := current
		next.Duty = duty
		next.Duty.Epoch = expected + 1
		if len(next.Stores) == 0 {
			next.Stores = first
		}
		*done = true
		return next, VerdictWrite
	}
}

// SetStores gives the change of the store set. Only the holder of the epoch may
// make it, and only one member at a time.
func SetStores(duty messages.Duty, stores []messages.Member, done *bool) Change {
	return func(current messages.Register) (messages.Register, Verdict) {
		*done = false
		if current.Duty.Epoch != duty.Epoch || current.Duty.Holder != duty.Holder || current.Duty.Life != duty.Life {
			return current, VerdictKeep
		}
		*done = true
		if sameMembers(current.Stores, stores) {
			return current, VerdictKeep
		}
		next := current
		next.Stores = stores
		return next, VerdictWrite
	}
}

func sameMembers(left, right []messages.Member) bool {
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

// Retire gives the change that notes a store machine as one to be emptied.
func Retire(name string) Change {
	return func(current messages.Register) (messages.Register, Verdict) {
		for _, known := range current.Retired {
			if known == name {
				return current, VerdictKeep
			}
		}
		next := current
		next.Retired = append(append([]string{}, current.Retired...), name)
		return next, VerdictWrite
	}
}
