// Package register is the register: one value that any controller changes in two rounds
// at a majority of acceptors, with the value it expects. It has no log and no
// leader. Everything here is a step function without I/O.
package register

import (
	"strconv"

	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
)

// The errors of the register.
var (
	// ErrOutcomeUnknown means that a change may or may not be in force.
	ErrOutcomeUnknown = errs.Define("register outcome unclear")
	// ErrNoQuorum means that nothing was changed, for want of a majority.
	ErrNoQuorum = errs.Define("register without a majority")
)

// NewBallot names an attempt. The incarnation is part of the name: a proposer that is
// started again has forgotten which counters it used, and two values under one
// ballot could both be taken for chosen.
func NewBallot(counter uint64, name, disk string, incarnation int64) messages.Ballot {
	return messages.Ballot{Counter: counter, Node: name + "#" + disk + "#" + strconv.FormatInt(incarnation, 10)}
}

// Less orders ballots.
func Less(left, right messages.Ballot) bool {
	if left.Counter != right.Counter {
		return left.Counter < right.Counter
	}
	return left.Node < right.Node
}

// Majority tells whether more than half of the members have answered.
func Majority(members []messages.Member, answered map[string]bool) bool {
	count := 0
	for _, member := range members {
		if answered[Identity(member)] {
			count++
		}
	}
	return count*2 > len(members)
}

// Identity names a member with its disk: the same machine with an empty disk is
// somebody else, since it has forgotten what it promised.
func Identity(member messages.Member) string { return member.Address + "#" + member.Disk }

// Quorum tells whether a value's sets are both answered by more than half.
func Quorum(value *messages.RegisterValue, answered map[string]bool) bool {
	if !Majority(value.Acceptors, answered) {
		return false
	}
	return len(value.Previous) == 0 || Majority(value.Previous, answered)
}

// Targets gives every member of a value's sets once.
func Targets(value *messages.RegisterValue) []messages.Member {
	known := map[string]bool{}
	var members []messages.Member
	for _, set := range [][]messages.Member{value.Acceptors, value.Previous} {
		for _, member := range set {
			if !known[Identity(member)] {
				known[Identity(member)] = true
				members = append(members, member)
			}
		}
	}
	return members
}
