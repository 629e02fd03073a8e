package lots

import (
	"fmt"
	"math/rand"
	"testing"

	"lemonarch/internal/platform/messages"
)

// slowWaiting walks every item of every lot: what Waiting must agree with.
func slowWaiting(book *Book, belongs func(lot *Lot) bool) int64 {
	total := int64(0)
	for _, lot := range book.Lots() {
		for _, item := range lot.Items {
			if !lot.Ended && belongs(lot) && (item.State == ItemAvailable || item.State == ItemAcquired) {
				total += item.Tokens
			}
		}
	}
	return total
}

// addLotOf puts a lot of a few items into a book.
func addLotOf(tb testing.TB, book *Book, id, path string, items int, tokens int64) *Lot {
	body := &messages.JobBody{Path: path}
	for i := 0; i < items; i++ {
		body.Items = append(body.Items, messages.JobItem{ID: fmt.Sprint(id, "-", i), Tokens: tokens + int64(i)})
	}
	packed, _ := body.MarshalMsg(nil)
	if err := book.Apply(&messages.Record{Kind: messages.RecordJob, Job: id, Body: packed}); err != nil {
		tb.Fatal(err)
	}
	return book.Lot(id)
}

// Whatever lots go through, in any order, the short count is the slow one: on each
// route alone, and on both.
func TestWaitingAgreesWithTheSlowCount(t *testing.T) {
	for seed := int64(1); seed <= 200; seed++ {
		random, book := rand.New(rand.NewSource(seed)), NewBook()
		for step := 0; step < 120; step++ {
			var lot *Lot
			if lotList := book.Lots(); len(lotList) > 0 {
				lot = lotList[random.Intn(len(lotList))]
			}
			switch kind := random.Intn(9); {
			case kind < 2 || lot == nil:
				addLotOf(t, book, fmt.Sprint(step), fmt.Sprint("/", random.Intn(2)), 1+random.Intn(4), 10)
			case kind < 4:
				item := lot.Items[random.Intn(len(lot.Items))]
				item.Finish(item.Begin())
			case kind < 5:
				item := lot.Items[random.Intn(len(lot.Items))]
				if run := item.Begin(); run > 0 && random.Intn(2) == 0 {
					item.SetBack(run)
				}
				lot.Items[random.Intn(len(lot.Items))].GiveUp(0)
			case kind < 7 && !lot.Ended && len(lot.Listings) < len(lot.Items):
				for _, item := range lot.Items {
					if !item.Terminal() {
						_ = book.Apply(&messages.Record{Kind: messages.RecordOutput, Job: lot.ID, Item: item.ID, Position: len(lot.Listings)})
						break
					}
				}
			case kind == 7:
				_ = book.Apply(&messages.Record{Kind: messages.RecordJobEnd, Job: lot.ID})
			case kind == 8:
				_ = book.Apply(&messages.Record{Kind: messages.RecordForget, Job: lot.ID})
			}
			for _, lot := range book.Lots() {
				if kept, slow := keptAvailable(lot), slowAvailable(lot); kept != slow {
					t.Fatalf("seed %d step %d: lot %s keeps %q, has %q", seed, step, lot.ID, kept, slow)
				}
			}
			for _, path := range []string{"/0", "/1", ""} {
				belongs := func(lot *Lot) bool { return path == "" || lot.Path == path }
				if got, want := book.Waiting(belongs), slowWaiting(book, belongs); got != want {
					t.Fatalf("seed %d step %d: %d, want %d", seed, step, got, want)
				}
			}
		}
	}
}

// benchBook has many finished lots and few open ones, as after some minutes.
func benchBook(b *testing.B) *Book {
	book := NewBook()
	for number := 0; number < 1200; number++ {
		lot := addLotOf(b, book, fmt.Sprint(number), "/0", 30, 900)
		if number >= 100 {
			for i, item := range lot.Items {
				_ = book.Apply(&messages.Record{Kind: messages.RecordOutput, Job: lot.ID, Item: item.ID, Position: i})
			}
		}
	}
	return book
}

func BenchmarkWaiting(b *testing.B) {
	book := benchBook(b)
	for b.Loop() {
		book.Waiting(func(*Lot) bool { return true })
	}
}

func BenchmarkWaitingSlowCount(b *testing.B) {
	book := benchBook(b)
	for b.Loop() {
		slowWaiting(book, func(*Lot) bool { return true })
	}
}
