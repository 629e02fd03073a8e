package lots

import (
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
)

// Unreadable is the error of a record that can't be understood.
var Unreadable = errs.Define("lot record")

// Listing is one position.
type Listing struct {
	Item    string
	Dropped bool
	Index   int64
}

// Lot is one lot.
type Lot struct {
	ID       string
	Host     string
	Path     string
	SentMs   int64
	Index    int64
	Items    []*Item
	Listings []Listing
	Ended    bool
	sum      int
	open     int
	// Known is when this holder came to know the lot, by its steady clock.
	Known clock.Moment
	// giving counts positions that were given and are not yet durable.
	giving int
	// available are the items that may be acquired, waiting the tokens of those that
	// no worker has finished.
	available availableSet
	waiting   int64
	// named leads from ids to items: a lot may hold hundreds of thousands, and each
	// output looks for its own.
	named map[string]*Item
}

// Older tells whether a lot is older than a span: by the time of day, and known here
// for as long. A time of day that was stepped, here or where the lot was taken, must
// end nothing early; after a takeover things end later instead.
func (lot *Lot) Older(span clock.Span, wallMs int64, now clock.Moment) bool {
	return wallMs-lot.SentMs > span.Milliseconds() && now.Since(lot.Known) > span
}

// Giving counts the positions that are on their way to the stores.
func (lot *Lot) Giving() int { return lot.giving }

// Sum is the number of items.
func (lot *Lot) Sum() int { return lot.sum }

// Open tells whether results may still come.
func (lot *Lot) Open() bool { return !lot.Ended && lot.open > 0 }

// Book is what the durable records say.
type Book struct {
	lotList map[string]*Lot
	order   []*Lot
	// opened holds every lot that still has items to run, and some that no more do.
	opened []*Lot
	// fresh are the lots that came since the dispatcher ranked them last.
	fresh []*Lot
	// entrants are the drivers that may hold acquisitions, with their epoch.
	entrants map[entrant]uint64
}

// NewBook makes an empty book.
func NewBook() *Book { return &Book{lotList: map[string]*Lot{}, entrants: map[entrant]uint64{}} }

// Lot finds a lot, or nil.
func (book *Book) Lot(id string) *Lot { return book.lotList[id] }

// Lots gives all lots, the oldest first.
func (book *Book) Lots() []*Lot { return book.order }

// Apply takes a durable record.
func (book *Book) Apply(record *messages.Record) error {
	switch record.Kind {
	case messages.RecordLot:
		return book.addLot(record)
	case messages.RecordOutput:
		lot := book.lotList[record.Lot]
		if lot == nil || record.Position != len(lot.Listings) {
			return Unreadable.New("output out of place in lot " + record.Lot)
		}
		lot.Listings = append(lot.Listings, Listing{Item: record.Item, Dropped: record.Dropped, Index: record.Index})
		lot.giving = max(lot.giving-1, 0)
		if item := lot.Find(record.Item); item != nil && !item.Terminal() {
			state := ItemSettled
			if record.Dropped {
				state = ItemArchived
			}
			item.become(state)
			item.closer = record.Acquisition
			// What is listed is read from disk: the rest is given back.
			item.Body, item.Pieces, item.Headers = nil, nil, nil
			lot.open--
		}
	case messages.RecordDriver:
		book.enter(record)
	case messages.RecordSure:
		book.clear(record.Epoch)
	case messages.RecordErr:
		if lot := book.lotList[record.Lot]; lot != nil {
			if item := lot.Find(record.Item); item != nil {
				item.fail(record.Acquisition)
			}
		}
	case messages.RecordEnd:
		if lot := book.lotList[record.Lot]; lot != nil {
			lot.Ended = true
			for _, item := range lot.Items {
				item.Body, item.Pieces, item.Headers = nil, nil, nil
			}
		}
	case messages.RecordForget:
		delete(book.lotList, record.Lot)
		kept := book.order[:0]
		for _, lot := range book.order {
			if lot.ID != record.Lot {
				kept = append(kept, lot)
			}
		}
		book.order = kept
	}
	return nil
}

func (book *Book) addLot(record *messages.Record) error {
	if book.lotList[record.Lot] != nil {
		return nil
	}
	body := &messages.LotBody{}
	if _, err := body.UnmarshalMsg(record.Body); err != nil {
		return Unreadable.Wrap(err, "lot "+record.Lot)
	}
	lot := &Lot{ID: record.Lot, Host: record.Host, Path: body.Path, SentMs: record.AtMs, Index: record.Index, sum: len(body.Items), open: len(body.Items),
		Items: make([]*Item, 0, len(body.Items)), available: newAvailableSet(len(body.Items)), named: make(map[string]*Item, len(body.Items))}
	for place := range body.Items {
		item := &Item{LotItem: body.Items[place], Lot: lot, place: place}
		lot.Items = append(lot.Items, item)
		lot.named[item.ID] = item
		lot.available.set(place, true)
		lot.waiting += item.Tokens
	}
	book.lotList[lot.ID] = lot
	book.order = append(book.order, lot)
	book.opened = append(book.opened, lot)
	book.fresh = append(book.fresh, lot)
	sort.SliceStable(book.order, func(left, right int) bool { return book.order[left].SentMs < book.order[right].SentMs })
	return nil
}

// Waiting adds up the tokens of items that no worker has finished. Only open lots
// are walked: finished ones are kept for minutes, and hand-ins come in bursts.
func (book *Book) Waiting(belongs func(lot *Lot) bool) int64 {
	total := int64(0)
	for _, lot := range book.openLots() {
		if belongs(lot) {
			total += lot.waiting
		}
	}
	return total
}

// Find gives an item of a lot, or nil.
func (lot *Lot) Find(id string) *Item { return lot.named[id] }
