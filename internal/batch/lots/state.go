package lots

import (
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
)

// ErrMalformed is the error of a record that can't be understood.
var ErrMalformed = errs.Define("lot record")

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
	Known clock.Instant
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
func (l *Lot) Older(timeout clock.Duration, wallMs int64, now clock.Instant) bool {
	return wallMs-l.SentMs > timeout.Milliseconds() && now.Sub(l.Known) > timeout
}

// Giving counts the positions that are on their way to the stores.
func (l *Lot) Giving() int { return l.giving }

// Sum is the number of items.
func (l *Lot) Sum() int { return l.sum }

// Open tells whether results may still come.
func (l *Lot) Open() bool { return !l.Ended && l.open > 0 }

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
func (b *Book) Lot(id string) *Lot { return b.lotList[id] }

// Lots gives all lots, the oldest first.
func (b *Book) Lots() []*Lot { return b.order }

// Apply takes a durable record.
func (b *Book) Apply(record *messages.Record) error {
	switch record.Kind {
	case messages.RecordJob:
		return b.addLot(record)
	case messages.RecordOutput:
		lot := b.lotList[record.Job]
		if lot == nil || record.Position != len(lot.Listings) {
			return ErrMalformed.New("output out of place in lot " + record.Job)
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
	case messages.RecordExecutor:
		b.enter(record)
	case messages.RecordAcquisitionsKnown:
		b.clear(record.Epoch)
	case messages.RecordItemError:
		if lot := b.lotList[record.Job]; lot != nil {
			if item := lot.Find(record.Item); item != nil {
				item.fail(record.Acquisition)
			}
		}
	case messages.RecordJobEnd:
		if lot := b.lotList[record.Job]; lot != nil {
			lot.Ended = true
			for _, item := range lot.Items {
				item.Body, item.Pieces, item.Headers = nil, nil, nil
			}
		}
	case messages.RecordForget:
		delete(b.lotList, record.Job)
		kept := b.order[:0]
		for _, lot := range b.order {
			if lot.ID != record.Job {
				kept = append(kept, lot)
			}
		}
		b.order = kept
	}
	return nil
}

func (b *Book) addLot(record *messages.Record) error {
	if b.lotList[record.Job] != nil {
		return nil
	}
	body := &messages.JobBody{}
	if _, err := body.UnmarshalMsg(record.Body); err != nil {
		return ErrMalformed.Wrap(err, "lot "+record.Job)
	}
	lot := &Lot{ID: record.Job, Host: record.Host, Path: body.Path, SentMs: record.AtMs, Index: record.Index, sum: len(body.Items), open: len(body.Items),
		Items: make([]*Item, 0, len(body.Items)), available: newAvailableSet(len(body.Items)), named: make(map[string]*Item, len(body.Items))}
	for i := range body.Items {
		item := &Item{JobItem: body.Items[i], Lot: lot, place: i}
		lot.Items = append(lot.Items, item)
		lot.named[item.ID] = item
		lot.available.set(i, true)
		lot.waiting += item.Tokens
	}
	b.lotList[lot.ID] = lot
	b.order = append(b.order, lot)
	b.opened = append(b.opened, lot)
	b.fresh = append(b.fresh, lot)
	sort.SliceStable(b.order, func(left, right int) bool { return b.order[left].SentMs < b.order[right].SentMs })
	return nil
}

// Waiting adds up the tokens of items that no worker has finished. Only open lots
// are walked: finished ones are kept for minutes, and hand-ins come in bursts.
func (b *Book) Waiting(belongs func(lot *Lot) bool) int64 {
	total := int64(0)
	for _, lot := range b.openLots() {
		if belongs(lot) {
			total += lot.waiting
		}
	}
	return total
}

// Find gives an item of a lot, or nil.
func (l *Lot) Find(id string) *Item { return l.named[id] }
