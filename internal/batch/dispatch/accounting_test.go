package dispatch

import (
	"testing"

	"lemonarch/internal/platform/messages"
)

// A new leader waits for a lock only while an executor that may hold something has not
// shown it, and has not been outlived.
func TestExecutorsAreAccountedFor(t *testing.T) {
	old := newEndpoint(t, 1, nil, 0)
	old.lot("l", "a", "b", "c")
	given := old.take("x", 1, ms(1))
	old.take("y", 1, ms(1))
	next := newEndpoint(t, 2, old.records, ms(100))
	// A report to an earlier leader, or of another incarnation, accounts for nobody.
	next.ObserveExecutor(Executor{Name: "x"}, ms(110))
	next.ReportedAll(Executor{Name: "x"}, 1, ms(110))
	next.ReportedAll(Executor{Name: "y", Incarnation: 7}, 2, ms(110))
	if len(next.take("z", 3, ms(110))) != 0 {
		t.Fatal("sure although nobody has shown anything")
	}
	// The next incarnation of an executor says that what it held is gone.
	next.ObserveExecutor(Executor{Name: "y", Incarnation: 1}, ms(120))
	if !next.Uncertain(ms(130)) || len(next.take("z", 3, ms(130))) != 0 {
		t.Fatal("sure although one has shown nothing")
	}
	if next.say("x", messages.AckRenew, given[0].Number, "a", ms(140)) != messages.AckRenewed {
		t.Fatal("not adopted")
	}
	next.ReportedAll(Executor{Name: "x"}, 2, ms(140))
	if left := next.take("z", 3, ms(140)); len(left) != 2 || left[0].Item.ID != "b" {
		t.Fatal("not sure although all are accounted for: ", names(left))
	}
}

// Nothing is handed out before a later leader would know of the executor, and what is
// known is forgotten only once it is sure that nothing of it stands.
func TestExecutorsAreOnRecord(t *testing.T) {
	endpoint := newEndpoint(t, 1, nil, 0)
	endpoint.lot("l", "a", "b")
	options := &AcquireOptions{Executor: Executor{Name: "x"}, Capacity: map[string]int{"s": 1}, Terms: func(*Job) JobTerms { return JobTerms{} }, Service: func(*Item) string { return "s" }}
	begin, repeat := endpoint.Acquire(options, ms(1)), endpoint.Acquire(options, ms(1))
	if len(begin) != 0 || len(repeat) != 0 || len(endpoint.records) != 2 {
		t.Fatal("handed out before the driver was on record")
	}
	endpoint.settle()
	found := endpoint.Acquire(options, ms(1))
	if len(found) != 1 || len(endpoint.records) != 2 {
		t.Fatal("not handed out")
	}
	second := newEndpoint(t, 2, endpoint.records, ms(100))
	second.RecordAcquisitionsKnown(ms(200))
	if len(second.records) != 2 {
		t.Fatal("sure too early")
	}
	// An executor that is adopted only is on record too, before the word that all is sure.
	if second.say("x", messages.AckRenew, found[0].Number, "a", ms(200)) != messages.AckRenewed {
		t.Fatal("not adopted")
	}
	second.RecordAcquisitionsKnown(ms(3000))
	second.RecordAcquisitionsKnown(ms(3000))
	second.settle()
	if len(second.records) != 4 {
		t.Fatal(len(second.records))
	}
	third := newEndpoint(t, 3, second.records, ms(3100))
	if !third.Uncertain(ms(3200)) {
		t.Fatal("an adopted acquisition was forgotten")
	}
	third.RecordAcquisitionsKnown(ms(9000))
	third.settle()
	if fourth := newEndpoint(t, 4, third.records, ms(9100)); fourth.Uncertain(ms(9101)) {
		t.Fatal("drivers of long ago are waited for")
	}
}
