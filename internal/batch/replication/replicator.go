package replication

import (
	"sort"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/messages"
)

// Replicator tracks, for the leader of an epoch, how far each store has synced, and
// computes the commit index from it.
type Replicator struct {
	Epoch uint64
	// Members is the current store set.
	Members []messages.Member
	// Next is the new store set while the set is being changed, nil otherwise. While it is set, a
	// record is durable only with enough copies in both sets.
	Next []messages.Member
	// budget is the fault budget: the number of store losses to tolerate.
	budget int
	// matchIndex is the index up to which each store has synced, by identity.
	matchIndex map[string]int64
	// lost contains the members whose disks are known to be lost, by identity.
	lost map[string]bool
	// first is the index of the first record of this epoch.
	first int64
	// last is the index of the newest record.
	last        int64
	commitIndex int64
}

// NewReplicator returns the replicator of an epoch whose first own record will have the index first.
func NewReplicator(epoch uint64, members []messages.Member, budget int, first int64) *Replicator {
	return &Replicator{Epoch: epoch, Members: members, budget: budget, matchIndex: map[string]int64{}, lost: map[string]bool{}, first: first, last: first - 1}
}

// NextIndex assigns the next index to a new record of the leader, and returns it.
func (r *Replicator) NextIndex() int64 {
	r.last++
	return r.last
}

// Last returns the index of the newest record.
func (r *Replicator) Last() int64 { return r.last }

// UpdateMatch records that a store has synced all records up to an index, and reports whether
// the commit index advanced.
func (r *Replicator) UpdateMatch(identity string, index int64) bool {
	if index > r.matchIndex[identity] {
		r.matchIndex[identity] = index
	}
	return r.AdvanceCommit()
}

// MatchIndex returns the index up to which a store has synced.
func (r *Replicator) MatchIndex(identity string) int64 { return r.matchIndex[identity] }

// MarkLost records that a member's disk is lost: its machine responded with another disk. It
// reports whether the commit index advanced. A lost disk never grants a fence to another leader, so
// if fewer than budget + 1 members are left, every later leader reads a record that all of these
// have synced.
func (r *Replicator) MarkLost(identity string) bool {
	r.lost[identity] = true
	return r.AdvanceCommit()
}

// AdvanceCommit recomputes the commit index and reports whether it advanced.
func (r *Replicator) AdvanceCommit() bool {
	durable := r.replicatedIndexIn(r.Members)
	if r.Next != nil {
		durable = min(durable, r.replicatedIndexIn(r.Next))
	}
	// The number of copies does not make records of earlier epochs durable: they become
	// durable once a later record of this epoch is.
	if durable < r.first || durable <= r.commitIndex {
		return false
	}
	r.commitIndex = durable
	return true
}

// InNextSet reports whether enough members of the new store set have synced all records up to an index.
func (r *Replicator) InNextSet(index int64) bool { return r.replicatedIndexIn(r.Next) >= index }

// LastInheritedIndex returns the index of the last record of earlier epochs, with which this epoch started.
func (r *Replicator) LastInheritedIndex() int64 { return r.first - 1 }

// CommitIndex returns the index up to which all records are durable.
func (r *Replicator) CommitIndex() int64 { return r.commitIndex }

// replicatedIndexIn returns the index up to which all records have enough synced copies in a store set.
func (r *Replicator) replicatedIndexIn(members []messages.Member) int64 {
	var matches []int64
	for _, member := range members {
		if identity := register.Identity(member); !r.lost[identity] {
			matches = append(matches, r.matchIndex[identity])
		}
	}
	needed := min(CopiesNeeded(len(members), r.budget), len(matches))
	if needed == 0 {
		return 0
	}
	sort.Slice(matches, func(left, right int) bool { return matches[left] > matches[right] })
	return matches[needed-1]
}
