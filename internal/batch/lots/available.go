package lots

import (
	"math/bits"
	"slices"
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// wordBits is how many items one word of an availableSet covers.
const wordBits = 64

// availableSet holds the places of a lot's items that are in ItemAvailable, so that
// nobody has to walk the others. Its zero value is an empty set of no places.
type availableSet struct {
	words []uint64
	count int
}

func newAvailableSet(items int) availableSet {
	return availableSet{words: make([]uint64, (items+wordBits-1)/wordBits)}
}

// set puts a place in or takes it out.
func (a *availableSet) set(i int, in bool) {
	word, bit := i/wordBits, uint64(1)<<(i%wordBits)
	if word >= len(a.words) || (a.words[word]&bit != 0) == in {
		return
	}
	a.words[word] ^= bit
	if in {
		a.count++
	} else {
		a.count--
	}
}

// each visits the places in order until visit says stop.
func (a *availableSet) each(visit func(i int) bool) {
	for word, left := range a.words {
		for ; left != 0; left &= left - 1 {
			if !visit(word*wordBits + bits.TrailingZeros64(left)) {
				return
			}
		}
	}
}

// become changes an item's state; its lot follows which items are available and how
// many tokens wait.
func (i *Item) become(state ItemState) {
	waited := i.Waits()
	i.State = state
	i.Lot.available.set(i.place, state == ItemAvailable)
	switch waits := i.Waits(); {
	case waited && !waits:
		i.Lot.waiting -= i.Tokens
	case !waited && waits:
		i.Lot.waiting += i.Tokens
	}
}

// eachAvailable visits the available items of a lot in order until visit says stop.
func (l *Lot) eachAvailable(visit func(item *Item) bool) {
	l.available.each(func(i int) bool { return visit(l.Items[i]) })
}

// dueLot is an open lot with its due time.
type dueLot struct {
	lot *Lot
	due int64
}

// ranking is the order in which open lots are handed out: those that can still be in
// time first, each part by due time. Sorting all lots on every question would cost
// more than the items that it hands out, so the order is kept for RankPeriod; lots
// that come meanwhile are put in place. Whether a lot may be handed out at all is
// asked anew for each lot that is visited.
type ranking struct {
	inTime, late []dueLot
	at           clock.Instant
	ranked       bool
}

// rank brings the order up to date.
func (d *Dispatcher) rank(terms func(lot *Lot) Terms, now clock.Instant) *ranking {
	order := &d.order
	if order.ranked && now.Sub(order.at) < constants.RankPeriod {
		for _, lot := range d.Book.takeFresh() {
			order.insert(lot, terms(lot))
		}
		return order
	}
	d.Book.takeFresh()
	*order = ranking{inTime: order.inTime[:0], late: order.late[:0], at: now, ranked: true}
	for _, lot := range d.Book.openLots() {
		found := terms(lot)
		if found.Late {
			order.late = append(order.late, dueLot{lot, found.Due})
		} else {
			order.inTime = append(order.inTime, dueLot{lot, found.Due})
		}
	}
	byDue := func(left, right dueLot) int { return int(min(max(left.due-right.due, -1), 1)) }
	slices.SortStableFunc(order.inTime, byDue)
	slices.SortStableFunc(order.late, byDue)
	return order
}

// insert puts a new lot behind those that are due no later.
func (r *ranking) insert(lot *Lot, terms Terms) {
	part := &r.inTime
	if terms.Late {
		part = &r.late
	}
	i := sort.Search(len(*part), func(i int) bool { return (*part)[i].due > terms.Due })
	*part = slices.Insert(*part, i, dueLot{lot, terms.Due})
}

// openLots gives the lots with items to run, the order in which they came kept, and
// forgets the others.
func (b *Book) openLots() []*Lot {
	kept := b.opened[:0]
	for _, lot := range b.opened {
		if lot.Open() && b.lotList[lot.ID] == lot {
			kept = append(kept, lot)
		}
	}
	clear(b.opened[len(kept):])
	b.opened = kept
	return kept
}

// takeFresh gives the lots that came since it was asked last.
func (b *Book) takeFresh() []*Lot {
	fresh := b.fresh
	b.fresh = nil
	return fresh
}
