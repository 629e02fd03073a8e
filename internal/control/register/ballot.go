// Package register implements the register: one value that any controller can change by
// compare-and-set, with two rounds at a majority of acceptors. It has no log and no leader. The
// package consists of step functions without I/O.
package register

import (
	"strconv"

	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
)

// The errors of the register.
var (
	// ErrOutcomeUnknown means that a change may or may not have been committed.
	ErrOutcomeUnknown = errs.Define("register outcome unclear")
	// ErrNoQuorum means that nothing was changed, because no second round was started in time.
	ErrNoQuorum = errs.Define("register without a majority")
)

// NewBallot returns the ballot of an attempt. The incarnation is part of it, because a restarted
// proposer no longer knows which counters it used, and two values under the same ballot could both
// be considered chosen.
func NewBallot(counter uint64, name, disk string, incarnation int64) messages.Ballot {
	return messages.Ballot{Counter: counter, Node: name + "#" + disk + "#" + strconv.FormatInt(incarnation, 10)}
}

// Less reports whether left is the lower ballot.
func Less(left, right messages.Ballot) bool {
	if left.Counter != right.Counter {
		return left.Counter < right.Counter
	}
	return left.Node < right.Node
}

// Majority reports whether more than half of the members have responded.
func Majority(members []messages.Member, responded map[string]bool) bool {
	count := 0
	for _, member := range members {
		if responded[Identity(member)] {
			count++
		}
	}
	return count*2 > len(members)
}

// Identity returns the identity of a member, which includes its disk: the same machine with an
// empty disk counts as a different member, because it has lost its promises.
func Identity(member messages.Member) string { return member.Address + "#" + member.Disk }

// Quorum reports whether a majority of each of a value's sets has responded.
func Quorum(value *messages.RegisterValue, responded map[string]bool) bool {
	if !Majority(value.Acceptors, responded) {
		return false
	}
	return len(value.Previous) == 0 || Majority(value.Previous, responded)
}

// Targets returns every member of a value's sets once.
func Targets(value *messages.RegisterValue) []messages.Member {
	seen := map[string]bool{}
	var members []messages.Member
	for _, set := range [][]messages.Member{value.Acceptors, value.Previous} {
		for _, member := range set {
			if !seen[Identity(member)] {
				seen[Identity(member)] = true
				members = append(members, member)
			}
		}
	}
	return members
}
