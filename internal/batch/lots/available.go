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
func (set *availableSet) set(place int, in bool) {
	word, bit := place/wordBits, uint64(1)<<(place%wordBits)
	if word >= len(set.words) || (set.words[word]&bit != 0) == in {
		return
	}
	set.words[word] ^= bit
	if in {
		set.count++
	} else {
		set.count--
	}
}

// each visits the places in order until visit says stop.
func (set *availableSet) each(visit func(place int) bool) {
	for word, left := range set.words {
		for ; left != 0; left &= left - 1 {
			if !visit(word*wordBits + bits.TrailingZeros64(left)) {
				return
			}
		}
	}
}

// become changes an item's state; its lot follows which items are available and how
// many tokens wait.
func (item *Item) become(state ItemState) {
	waited := item.Waits()
	item.State = state
	item.Lot.available.set(item.place, state == ItemAvailable)
	switch waits := item.Waits(); {
	case waited && !waits:
		item.Lot.waiting -= item.Tokens
	case !waited && waits:
		item.Lot.waiting += item.Tokens
	}
}

// eachAvailable visits the available items of a lot in order until visit says stop.
func (lot *Lot) eachAvailable(visit func(item *Item) bool) {
	lot.available.each(func(place int) bool { return visit(lot.Items[place]) })
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
	at           clock.Moment
	ranked       bool
}

// rank brings the order up to date.
func (dispatcher *Dispatcher) rank(terms func(lot *Lot) Terms, now clock.Moment) *ranking {
	order := &dispatcher.order
	if order.ranked && now.Since(order.at) < constants.RankPeriod {
		for _, lot := range dispatcher.Book.takeFresh() {
			order.insert(lot, terms(lot))
		}
		return order
	}
	dispatcher.Book.takeFresh()
	*order = ranking{inTime: order.inTime[:0], late: order.late[:0], at: now, ranked: true}
	for _, lot := range dispatcher.Book.openLots() {
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
func (order *ranking) insert(lot *Lot, terms Terms) {
	part := &order.inTime
	if terms.Late {
		part = &order.late
	}
	place := sort.Search(len(*part), func(place int) bool { return (*part)[place].due > terms.Due })
	*part = slices.Insert(*part, place, dueLot{lot, terms.Due})
}

// openLots gives the lots with items to run, the order in which they came kept, and
// forgets the others.
func (book *Book) openLots() []*Lot {
	kept := book.opened[:0]
	for _, lot := range book.opened {
		if lot.Open() && book.lotList[lot.ID] == lot {
			kept = append(kept, lot)
		}
	}
	clear(book.opened[len(kept):])
	book.opened = kept
	return kept
}

// takeFresh gives the lots that came since it was asked last.
func (book *Book) takeFresh() []*Lot {
	fresh := book.fresh
	book.fresh = nil
	return fresh
}
