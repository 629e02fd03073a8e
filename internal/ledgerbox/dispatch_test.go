package ledgerbox

import (
	"fmt"
	"testing"

	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

// desk is a dispatcher whose records become durable at once, or when asked to.
type desk struct {
	*Dispatcher
	test    *testing.T
	records []pattern.Record
	applied int
	terms   Terms
}

const deskLock = watch.Span(2_000_000_000)

func ms(count float64) watch.Moment { return watch.Moment(watch.Milliseconds(count)) }

// newDesk goes on from records, as a new holder does; taken is when it took the duty.
func newDesk(test *testing.T, epoch uint64, records []pattern.Record, taken watch.Moment) *desk {
	book := NewBook()
	for place := range records {
		if failure := book.Apply(&records[place]); failure != nil {
			test.Fatal(failure)
		}
	}
	one := &desk{Dispatcher: NewDispatcher(book, epoch, int64(len(records)+1), deskLock, taken), test: test, records: records, applied: len(records)}
	one.Tries = func(*Item) int { return 2 }
	one.Submit = func(record pattern.Record) int64 {
		record.Index, record.Epoch = int64(len(one.records)+1), epoch
		one.records = append(one.records, record)
		return record.Index
	}
	return one
}

// settle makes all records durable.
func (desk *desk) settle() {
	for ; desk.applied < len(desk.records); desk.applied++ {
		if failure := desk.Book.Apply(&desk.records[desk.applied]); failure != nil {
			desk.test.Fatal(failure)
		}
	}
}

func (desk *desk) lot(id string, items ...string) {
	body := &pattern.LotBody{Path: "/p/"}
	for _, item := range items {
		body.Items = append(body.Items, pattern.LotItem{ID: item, Tokens: 1})
	}
	packed, _ := body.MarshalMsg(nil)
	desk.Submit(pattern.Record{Kind: pattern.RecordLot, Lot: id, Body: packed, AtMs: int64(len(desk.records))})
	desk.settle()
}

func (desk *desk) take(driver string, room int, now watch.Moment) []*Acquisition {
	if desk.Enter(Driver{Name: driver}) > 0 {
		desk.settle()
	}
	return desk.Acquire(&AcquireAsk{Driver: Driver{Name: driver}, Room: map[string]int{"s": room},
		Terms: func(lot *Lot) Terms { return Terms{Due: lot.SentMs, Late: desk.terms.Late} }, Service: func(*Item) string { return "s" }}, now)
}

func (desk *desk) say(driver string, kind pattern.AckKind, number uint64, item string, now watch.Moment, more ...func(*pattern.Acknowledgement)) pattern.AckVerdict {
	entry := &pattern.Acknowledgement{Kind: kind, Number: number, Lot: "l", Item: item}
	for _, one := range more {
		one(entry)
	}
	return desk.Acknowledge(Driver{Name: driver}, entry, now).Verdict
}

func events(count int) func(*pattern.Acknowledgement) {
	return func(entry *pattern.Acknowledgement) {
		for event := 1; event <= count; event++ {
			entry.Pieces = append(entry.Pieces, []byte(fmt.Sprint(event)))
		}
		entry.LastID = int64(count)
	}
}

func failed(entry *pattern.Acknowledgement) { entry.Failed = true }

func TestOneAcquisitionAndLapse(test *testing.T) {
	desk := newDesk(test, 1, nil, 0)
	desk.lot("l", "a")
	one := desk.take("x", 3, ms(1))
	if len(one) != 1 || len(desk.take("y", 3, ms(1))) != 0 {
		test.Fatal("not one acquisition")
	}
	// Renewed it stands on; a lapse returns it after a pause, however often.
	if desk.say("x", pattern.AckRenew, one[0].Number, "a", ms(1500)) != pattern.AckRenewed || desk.Lapse(ms(2500)) != 0 {
		test.Fatal("a renewed lock lapsed")
	}
	if desk.say("y", pattern.AckRenew, one[0].Number, "a", ms(2500)) != pattern.AckStopped {
		test.Fatal("another driver's renewal was taken")
	}
	now := ms(3500)
	for lapse := 1; lapse <= 40; lapse++ {
		if desk.Lapse(now) != 1 || len(desk.take("y", 1, now)) != 0 {
			test.Fatal("lapse ", lapse)
		}
		if desk.Expire(func(*Lot) Terms { return Terms{} }, now) != 0 {
			test.Fatal("a lapse ended an item")
		}
		if now = now.Plus(growing(lapse)); len(desk.take("y", 1, now)) != 1 {
			test.Fatal("a lapse did not return the item: ", lapse)
		}
		now = now.Plus(deskLock)
	}
	if desk.say("x", pattern.AckRenew, one[0].Number, "a", now) != pattern.AckStopped {
		test.Fatal("a lapsed lock was renewed")
	}
}

func TestAcceptAfterLapseAndRepeats(test *testing.T) {
	desk := newDesk(test, 1, nil, 0)
	desk.lot("l", "a")
	first := desk.take("x", 1, ms(1))[0].Number
	desk.Lapse(ms(2001))
	second := desk.take("y", 1, ms(4000))[0].Number
	text := func(entry *pattern.Acknowledgement) { entry.Text = []byte("t") }
	// A complete output is an output; told again before or after it is durable, it is
	// answered the same, and the other driver's comes too late.
	for round := 0; round < 2; round++ {
		if desk.say("x", pattern.AckAccept, first, "a", ms(4100), text) != pattern.AckTaken {
			test.Fatal("not taken in round ", round)
		}
		if desk.say("y", pattern.AckAccept, second, "a", ms(4200), text) != pattern.AckTerminal ||
			desk.say("y", pattern.AckRenew, second, "a", ms(4200)) != pattern.AckStopped {
			test.Fatal("a second output was taken in round ", round)
		}
		desk.settle()
	}
	if len(desk.records) != 4 || len(desk.Book.Lot("l").Listings) != 1 || desk.Counts.Late != 2 {
		test.Fatal(len(desk.records), desk.Counts)
	}
	// A later holder answers the repeat the same, from the record.
	next := newDesk(test, 2, desk.records, ms(5000))
	if next.say("x", pattern.AckAccept, first, "a", ms(5000), text) != pattern.AckTaken ||
		next.say("y", pattern.AckAccept, second, "a", ms(5000), text) != pattern.AckTerminal {
		test.Fatal("a later holder answers otherwise")
	}
}

func TestReleaseBringsEventsBack(test *testing.T) {
	desk := newDesk(test, 1, nil, 0)
	desk.lot("l", "a")
	first := desk.take("x", 1, ms(1))[0].Number
	desk.Lapse(ms(2001))
	// Late events count while nobody runs the item; fewer never replace more.
	desk.say("x", pattern.AckRelease, first, "a", ms(2100), events(3))
	desk.say("x", pattern.AckRelease, first, "a", ms(2100), events(2))
	second := desk.take("y", 1, ms(4000))
	if item := second[0].Item; item.LastID != 3 || len(item.Pieces) != 3 {
		test.Fatal(item.LastID, len(item.Pieces))
	}
	// A run that goes on from three must not find five beneath it.
	desk.say("x", pattern.AckRelease, first, "a", ms(4100), events(5))
	if item := second[0].Item; item.LastID != 3 || desk.Live() != 1 {
		test.Fatal("a late release changed what another goes on from")
	}
	desk.say("y", pattern.AckRelease, second[0].Number, "a", ms(4200), events(4))
	if item := second[0].Item; item.LastID != 4 || desk.Live() != 0 || item.Releases != 1 {
		test.Fatal(item.LastID, desk.Live())
	}
}

func TestFailuresCountOnceAndDurably(test *testing.T) {
	desk := newDesk(test, 1, nil, 0)
	desk.lot("l", "a")
	first := desk.take("x", 1, ms(1))[0].Number
	for repeat := 0; repeat < 5; repeat++ {
		desk.say("x", pattern.AckRelease, first, "a", ms(10), failed)
	}
	if item := desk.Book.Lot("l").Find("a"); item.State != ItemAvailable || len(item.FailedBy) != 1 {
		test.Fatal("one 500 counted as ", len(item.FailedBy))
	}
	// The count outlives the holder, and so does what was counted.
	next := newDesk(test, 2, desk.records, ms(1000))
	if item := next.Book.Lot("l").Find("a"); len(item.FailedBy) != 1 {
		test.Fatal("the count was lost with its holder")
	}
	next.say("x", pattern.AckRelease, first, "a", ms(1001), failed)
	if item := next.Book.Lot("l").Find("a"); len(item.FailedBy) != 1 || item.State != ItemAvailable {
		test.Fatal("after a takeover it counts as ", len(item.FailedBy))
	}
	second := next.take("y", 1, ms(4000))[0].Number
	if next.say("y", pattern.AckRelease, second, "a", ms(4001), failed) != pattern.AckTaken {
		test.Fatal("not taken")
	}
	next.settle()
	if item := next.Book.Lot("l").Find("a"); item.State != ItemArchived {
		test.Fatal("tries answers of 500 did not end it: ", item.State)
	}
}

func TestTakeoverAdoptsWhatIsShown(test *testing.T) {
	old := newDesk(test, 1, nil, 0)
	old.lot("l", "a", "b", "c")
	given := old.take("x", 3, ms(1))
	next := newDesk(test, 2, old.records, ms(100))
	if len(next.take("y", 3, ms(2000))) != 0 {
		test.Fatal("perhaps acquired, and acquired again")
	}
	if next.say("x", pattern.AckRenew, given[0].Number, "a", ms(200)) != pattern.AckRenewed {
		test.Fatal("what was shown was not adopted")
	}
	// Of two that show the same item the later number stands.
	if next.say("z", pattern.AckRenew, given[0].Number+7, "a", ms(300)) != pattern.AckRenewed ||
		next.say("x", pattern.AckRenew, given[0].Number, "a", ms(300)) != pattern.AckStopped {
		test.Fatal("two hold one item")
	}
	// An output is taken at any time.
	if next.say("x", pattern.AckAccept, given[1].Number, "b", ms(300)) != pattern.AckTaken {
		test.Fatal("an earlier acquisition's output was refused")
	}
	// One lock length after the duty was taken nothing is shown any more.
	if next.say("x", pattern.AckRenew, given[2].Number, "c", ms(2200)) != pattern.AckStopped {
		test.Fatal("adopted after its lock had ended")
	}
	if left := next.take("y", 3, ms(2200)); len(left) != 1 || left[0].Item.ID != "c" || left[0].Number <= given[2].Number {
		test.Fatal("not available again: ", left)
	}
}

func TestEndedLotHandsNothingOut(test *testing.T) {
	desk := newDesk(test, 1, nil, 0)
	desk.lot("l", "a", "b")
	one := desk.take("x", 1, ms(1))[0].Number
	closed := true
	desk.Closed = func(*Lot) bool { return closed }
	if drivers := desk.Stop(desk.Book.Lot("l")); len(drivers) != 1 || drivers[0].Name != "x" || desk.Live() != 0 {
		test.Fatal(drivers)
	}
	if len(desk.take("y", 2, ms(100))) != 0 || desk.say("x", pattern.AckRenew, one, "a", ms(100)) != pattern.AckTerminal ||
		desk.say("x", pattern.AckAccept, one, "a", ms(100)) != pattern.AckTerminal {
		test.Fatal("an ending lot goes on")
	}
}
