package replication

import (
	"sort"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/messages"
)

// Replicator follows, for the leader of an epoch, how far each store has synced, and
// so what is durable.
type Replicator struct {
	Epoch   uint64
	Members []messages.Member
	// Next, while the store set is being changed, is the set to come: then a
	// record is durable only with enough copies in both.
	Next       []messages.Member
	budget     int
	matchIndex map[string]int64
	// lost holds the members whose disks are known to be lost, by identity.
	lost        map[string]bool
	first       int64
	last        int64
	commitIndex int64
}

// NewReplicator starts an epoch whose first own record will have index first.
func NewReplicator(epoch uint64, members []messages.Member, budget int, first int64) *Replicator {
	return &Replicator{Epoch: epoch, Members: members, budget: budget, matchIndex: map[string]int64{}, lost: map[string]bool{}, first: first, last: first - 1}
}

// NextIndex counts a record that the leader has made.
func (p *Replicator) NextIndex() int64 {
	p.last++
	return p.last
}

// Last is the index of the newest record.
func (p *Replicator) Last() int64 { return p.last }

// UpdateMatch notes that a store has synced all up to an index, and tells whether
// more is durable now.
func (p *Replicator) UpdateMatch(identity string, index int64) bool {
	if index > p.matchIndex[identity] {
		p.matchIndex[identity] = index
	}
	return p.AdvanceCommit()
}

// MatchIndex tells how far a store has synced.
func (p *Replicator) MatchIndex(identity string) int64 { return p.matchIndex[identity] }

// MarkLost notes that a member's disk is lost: its machine has answered with another one. It
// tells whether more is durable now. A lost disk never grants another leader anything, so
// where fewer than budget + 1 members are left, a record that all of these have synced is
// met by every later leader.
func (p *Replicator) MarkLost(identity string) bool {
	p.lost[identity] = true
	return p.AdvanceCommit()
}

// AdvanceCommit recomputes what is durable.
func (p *Replicator) AdvanceCommit() bool {
	durable := p.replicatedIndexIn(p.Members)
	if p.Next != nil {
		durable = min(durable, p.replicatedIndexIn(p.Next))
	}
	// Copies of an earlier epoch's records decide nothing by their number: they
	// are durable once a record of this epoch behind them is.
	if durable < p.first || durable <= p.commitIndex {
		return false
	}
	p.commitIndex = durable
	return true
}

// InNextSet tells whether enough members of the set to come have synced all up to an index.
func (p *Replicator) InNextSet(index int64) bool { return p.replicatedIndexIn(p.Next) >= index }

// Inherited is the index of the last record of earlier epochs, with which this one began.
func (p *Replicator) Inherited() int64 { return p.first - 1 }

// CommitIndex is the index up to which all is durable.
func (p *Replicator) CommitIndex() int64 { return p.commitIndex }

func (p *Replicator) replicatedIndexIn(members []messages.Member) int64 {
	var matches []int64
	for _, member := range members {
		if identity := register.Identity(member); !p.lost[identity] {
			matches = append(matches, p.matchIndex[identity])
		}
	}
	needed := min(CopiesNeeded(len(members), p.budget), len(matches))
	if needed == 0 {
		return 0
	}
	sort.Slice(matches, func(left, right int) bool { return matches[left] > matches[right] })
	return matches[needed-1]
}
