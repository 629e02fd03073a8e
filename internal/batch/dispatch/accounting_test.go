package dispatch

import (
	"testing"

	"lemonarch/internal/platform/messages"
)

// A new leader dispatches items of earlier jobs before one lock duration has passed only if every
// executor that may own acquisitions has reported them or was replaced by a newer incarnation.
// Otherwise an item could run twice at the same time.
func TestExecutorsAreAccountedFor(t *testing.T) {
	old := newTestDispatcher(t, 1, nil, 0)
	old.addJob("l", "a", "b", "c")
	acquired := old.acquire("x", 1, ms(1))
	old.acquire("y", 1, ms(1))
	next := newTestDispatcher(t, 2, old.records, ms(100))
	// A report to an earlier leader, or of another incarnation, accounts for no executor.
	next.ObserveExecutor(Executor{Name: "x"}, ms(110))
	next.MarkFullyReported(Executor{Name: "x"}, 1, ms(110))
	next.MarkFullyReported(Executor{Name: "y", Incarnation: 7}, 2, ms(110))
	if len(next.acquire("z", 3, ms(110))) != 0 {
		t.Fatal("items dispatched although no executor has reported its acquisitions")
	}
	// A newer incarnation of an executor implies that the acquisitions of the older one have ended.
	next.ObserveExecutor(Executor{Name: "y", Incarnation: 1}, ms(120))
	if !next.Uncertain(ms(130)) || len(next.acquire("z", 3, ms(130))) != 0 {
		t.Fatal("items dispatched although executor x has not reported its acquisitions")
	}
	if next.acknowledge("x", messages.AckRenew, acquired[0].Number, "a", ms(140)) != messages.AckRenewed {
		t.Fatal("reported acquisition was not adopted")
	}
	next.MarkFullyReported(Executor{Name: "x"}, 2, ms(140))
	if remaining := next.acquire("z", 3, ms(140)); len(remaining) != 2 || remaining[0].Item.ID != "b" {
		t.Fatal("items not dispatched although all executors are accounted for: ", itemIDs(remaining))
	}
}

// No item is dispatched before the executor's registration is durable: otherwise a later leader
// would not wait for that executor. Registrations are dropped only once all of their acquisitions
// have ended or were adopted.
func TestExecutorIsRegisteredBeforeDispatch(t *testing.T) {
	dispatcher := newTestDispatcher(t, 1, nil, 0)
	dispatcher.addJob("l", "a", "b")
	options := &AcquireOptions{Executor: Executor{Name: "x"}, Capacity: map[string]int{"s": 1}, Terms: func(*Job) JobTerms { return JobTerms{} }, Service: func(*Item) string { return "s" }}
	first, repeated := dispatcher.Acquire(options, ms(1)), dispatcher.Acquire(options, ms(1))
	if len(first) != 0 || len(repeated) != 0 || len(dispatcher.records) != 2 {
		t.Fatal("items dispatched before the executor's registration was durable")
	}
	dispatcher.applyRecords()
	acquired := dispatcher.Acquire(options, ms(1))
	if len(acquired) != 1 || len(dispatcher.records) != 2 {
		t.Fatal("item not dispatched after the registration")
	}
	second := newTestDispatcher(t, 2, dispatcher.records, ms(100))
	second.RecordAcquisitionsKnown(ms(200))
	if len(second.records) != 2 {
		t.Fatal("acquisitions recorded as known before the lock duration had passed")
	}
	// An executor whose acquisition was adopted is registered too, before acquisitions are recorded as known.
	if second.acknowledge("x", messages.AckRenew, acquired[0].Number, "a", ms(200)) != messages.AckRenewed {
		t.Fatal("reported acquisition was not adopted")
	}
	second.RecordAcquisitionsKnown(ms(3000))
	second.RecordAcquisitionsKnown(ms(3000))
	second.applyRecords()
	if len(second.records) != 4 {
		t.Fatalf("got %d records after recording known acquisitions twice, want 4", len(second.records))
	}
	third := newTestDispatcher(t, 3, second.records, ms(3100))
	if !third.Uncertain(ms(3200)) {
		t.Fatal("third leader does not wait for an adopted acquisition")
	}
	third.RecordAcquisitionsKnown(ms(9000))
	third.applyRecords()
	if fourth := newTestDispatcher(t, 4, third.records, ms(9100)); fourth.Uncertain(ms(9101)) {
		t.Fatal("fourth leader waits for executors of earlier epochs without acquisitions")
	}
}
