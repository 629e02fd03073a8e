package lots

import (
	"sort"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/messages"
)

// Press follows, for the holder of an epoch, how far each store has synced, and
// so what is durable.
type Press struct {
	Epoch   uint64
	Members []messages.Member
	// Next, while the store set is being changed, is the set to come: then a
	// record is durable only with enough copies in both.
	Next   []messages.Member
	budget int
	match  map[string]int64
	first  int64
	last   int64
	done   int64
}

// NewPress starts an epoch whose first own record will have index first.
func NewPress(epoch uint64, members []messages.Member, budget int, first int64) *Press {
	return &Press{Epoch: epoch, Members: members, budget: budget, match: map[string]int64{}, first: first, last: first - 1}
}

// Take counts a record that the holder has made.
func (p *Press) Take() int64 {
	p.last++
	return p.last
}

// Last is the index of the newest record.
func (p *Press) Last() int64 { return p.last }

// Matched notes that a store has synced all up to an index, and tells whether
// more is durable now.
func (p *Press) Matched(identity string, index int64) bool {
	if index > p.match[identity] {
		p.match[identity] = index
	}
	return p.Settle()
}

// MatchOf tells how far a store has synced.
func (p *Press) MatchOf(identity string) int64 { return p.match[identity] }

// Settle recomputes what is durable.
func (p *Press) Settle() bool {
	durable := p.durableIn(p.Members)
	if p.Next != nil {
		durable = min(durable, p.durableIn(p.Next))
	}
	// Copies of an earlier epoch's records decide nothing by their number: they
	// are durable once a record of this epoch behind them is.
	if durable < p.first || durable <= p.done {
		return false
	}
	p.done = durable
	return true
}

// Done is the index up to which all is durable.
func (p *Press) Done() int64 { return p.done }

func (p *Press) durableIn(members []messages.Member) int64 {
	needed := CopiesNeeded(len(members), p.budget)
	if needed == 0 {
		return 0
	}
	var matches []int64
	for _, member := range members {
		matches = append(matches, p.match[register.Identity(member)])
	}
	sort.Slice(matches, func(left, right int) bool { return matches[left] > matches[right] })
	return matches[needed-1]
}
