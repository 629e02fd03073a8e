// Package vise is the register: one value that any foreman changes in two rounds
// at a majority of acceptors, with the value it expects. It has no log and no
// leader. Everything here is a step function without I/O.
package vise

import (
	"strconv"

	"lemonarch/internal/mishap"
	"lemonarch/internal/pattern"
)

// The mishaps of the register.
var (
	// Unclear means that a change may or may not be in force.
	Unclear = mishap.Define("register outcome unclear")
	// NoMajority means that nothing was changed, for want of a majority.
	NoMajority = mishap.Define("register without a majority")
)

// NewBallot names an attempt. The life is part of the name: a proposer that is
// started again has forgotten which counters it used, and two values under one
// ballot could both be taken for chosen.
func NewBallot(counter uint64, name, disk string, life int64) pattern.Ballot {
	return pattern.Ballot{Counter: counter, Node: name + "#" + disk + "#" + strconv.FormatInt(life, 10)}
}

// Less orders ballots.
func Less(left, right pattern.Ballot) bool {
	if left.Counter != right.Counter {
		return left.Counter < right.Counter
	}
	return left.Node < right.Node
}

// Majority tells whether more than half of the members have answered.
func Majority(members []pattern.Member, answered map[string]bool) bool {
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
func Identity(member pattern.Member) string { return member.Address + "#" + member.Disk }

// Quorum tells whether a value's sets are both answered by more than half.
func Quorum(value *pattern.Register, answered map[string]bool) bool {
	if !Majority(value.Acceptors, answered) {
		return false
	}
	return len(value.Previous) == 0 || Majority(value.Previous, answered)
}

// Targets gives every member of a value's sets once.
func Targets(value *pattern.Register) []pattern.Member {
	seen := map[string]bool{}
	var members []pattern.Member
	for _, set := range [][]pattern.Member{value.Acceptors, value.Previous} {
		for _, member := range set {
			if !seen[Identity(member)] {
				seen[Identity(member)] = true
				members = append(members, member)
			}
		}
	}
	return members
}
