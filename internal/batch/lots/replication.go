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
func (press *Press) Take() int64 {
	press.last++
	return press.last
}

// Last is the index of the newest record.
func (press *Press) Last() int64 { return press.last }

// Matched notes that a store has synced all up to an index, and tells whether
// more is durable now.
func (press *Press) Matched(identity string, index int64) bool {
	if index > press.match[identity] {
		press.match[identity] = index
	}
	return press.Settle()
}

// MatchOf tells how far a store has synced.
func (press *Press) MatchOf(identity string) int64 { return press.match[identity] }

// Settle recomputes what is durable.
func (press *Press) Settle() bool {
	durable := press.durableIn(press.Members)
	if press.Next != nil {
		durable = min(durable, press.durableIn(press.Next))
	}
	// Copies of an earlier epoch's records decide nothing by their number: they
	// are durable once a record of this epoch behind them is.
	if durable < press.first || durable <= press.done {
		return false
	}
	press.done = durable
	return true
}

// Done is the index up to which all is durable.
func (press *Press) Done() int64 { return press.done }

func (press *Press) durableIn(members []messages.Member) int64 {
	needed := CopiesNeeded(len(members), press.budget)
	if needed == 0 {
		return 0
	}
	var matches []int64
	for _, member := range members {
		matches = append(matches, press.match[register.Identity(member)])
	}
	sort.Slice(matches, func(left, right int) bool { return matches[left] > matches[right] })
	return matches[needed-1]
}
