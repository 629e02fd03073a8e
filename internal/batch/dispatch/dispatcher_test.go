package dispatch

import (
	"fmt"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// endpoint is a dispatcher whose records become durable at once, or when asked to.
type endpoint struct {
	*Dispatcher
	test    *testing.T
	records []messages.Record
	applied int
	terms   JobTerms
}

const endpointLock = clock.Duration(2_000_000_000)

func ms(count float64) clock.Instant { return clock.Instant(clock.Milliseconds(count)) }

// newEndpoint goes on from records, as a new leader does; taken is when it took the leadership.
func newEndpoint(t *testing.T, epoch uint64, records []messages.Record, taken clock.Instant) *endpoint {
	t.Helper()

	jobs := NewJobTable()
	for i := range records {
		if err := jobs.Apply(&records[i]); err != nil {
			t.Fatal(err)
		}
	}
	e := &endpoint{Dispatcher: NewDispatcher(jobs, epoch, int64(len(records)+1), endpointLock, taken), test: t, records: records, applied: len(records)}
	e.Attempts = func(*Item) int { return 2 }
	e.Append = func(record messages.Record) int64 {
		record.Index, record.Epoch = int64(len(e.records)+1), epoch
		e.records = append(e.records, record)
		return record.Index
	}
	return e
}

// settle makes all records durable.
func (e *endpoint) settle() {
	for ; e.applied < len(e.records); e.applied++ {
		if err := e.Jobs.Apply(&e.records[e.applied]); err != nil {
			e.test.Fatal(err)
		}
	}
}

func (e *endpoint) lot(id string, items ...string) {
	body := &messages.JobBody{Path: "/p/"}
	for _, item := range items {
		body.Items = append(body.Items, messages.JobItem{ID: item, Tokens: 1})
	}
	packed, _ := body.MarshalMsg(nil)
	e.Append(messages.Record{Kind: messages.RecordJob, Job: id, Body: packed, AtMs: int64(len(e.records))})
	e.settle()
}

func (e *endpoint) take(executor string, freeCapacity int, now clock.Instant) []*Acquisition {
	if e.RegisterExecutor(Executor{Name: executor}) > 0 {
		e.settle()
	}
	return e.Acquire(&AcquireOptions{Executor: Executor{Name: executor}, Capacity: map[string]int{"s": freeCapacity},
		Terms: func(job *Job) JobTerms { return JobTerms{Due: job.SubmittedMs, Overdue: e.terms.Overdue} }, Service: func(*Item) string { return "s" }}, now)
}

func (e *endpoint) say(executor string, kind messages.AckKind, number uint64, item string, now clock.Instant, more ...func(*messages.Acknowledgement)) messages.AckVerdict {
	entry := &messages.Acknowledgement{Kind: kind, Number: number, Job: "l", Item: item}
	for _, found := range more {
		found(entry)
	}
	return e.Acknowledge(Executor{Name: executor}, entry, now).Verdict
}

func events(count int) func(*messages.Acknowledgement) {
	return func(entry *messages.Acknowledgement) {
		for event := 1; event <= count; event++ {
			entry.Events = append(entry.Events, []byte(fmt.Sprint(event)))
		}
		entry.LastID = int64(count)
	}
}

func failed(entry *messages.Acknowledgement) { entry.Failed = true }

func TestOneAcquisitionAndLapse(t *testing.T) {
	endpoint := newEndpoint(t, 1, nil, 0)
	endpoint.lot("l", "a")
	found := endpoint.take("x", 3, ms(1))
	if len(found) != 1 || len(endpoint.take("y", 3, ms(1))) != 0 {
		t.Fatal("not one acquisition")
	}
	// Renewed it stands on; a lapse returns it after a pause, however often.
	if endpoint.say("x", messages.AckRenew, found[0].Number, "a", ms(1500)) != messages.AckRenewed || endpoint.ExpireLocks(ms(2500)) != 0 {
		t.Fatal("a renewed lock lapsed")
	}
	if endpoint.say("y", messages.AckRenew, found[0].Number, "a", ms(2500)) != messages.AckStopped {
		t.Fatal("another driver's renewal was taken")
	}
	now := ms(3500)
	for lapse := 1; lapse <= 40; lapse++ {
		if endpoint.ExpireLocks(now) != 1 || len(endpoint.take("y", 1, now)) != 0 {
			t.Fatal("lapse ", lapse)
		}
		if endpoint.AbandonExpired(func(*Job) JobTerms { return JobTerms{} }, now) != 0 {
			t.Fatal("a lapse ended an item")
		}
		if now = now.Add(retryBackoff(lapse)); len(endpoint.take("y", 1, now)) != 1 {
			t.Fatal("a lapse did not return the item: ", lapse)
		}
		now = now.Add(endpointLock)
	}
	if endpoint.say("x", messages.AckRenew, found[0].Number, "a", now) != messages.AckStopped {
		t.Fatal("a lapsed lock was renewed")
	}
}

func TestAcceptAfterLapseAndRepeats(t *testing.T) {
	endpoint := newEndpoint(t, 1, nil, 0)
	endpoint.lot("l", "a")
	first := endpoint.take("x", 1, ms(1))[0].Number
	endpoint.ExpireLocks(ms(2001))
	second := endpoint.take("y", 1, ms(4000))[0].Number
	text := func(entry *messages.Acknowledgement) { entry.Output = []byte("t") }
	// A complete output is an output; told again before or after it is durable, it is
	// answered the same, and the other executor's comes too late.
	for round := 0; round < 2; round++ {
		if endpoint.say("x", messages.AckAccept, first, "a", ms(4100), text) != messages.AckRecorded {
			t.Fatal("not taken in round ", round)
		}
		if endpoint.say("y", messages.AckAccept, second, "a", ms(4200), text) != messages.AckTerminal ||
			endpoint.say("y", messages.AckRenew, second, "a", ms(4200)) != messages.AckStopped {
			t.Fatal("a second output was taken in round ", round)
		}
		endpoint.settle()
	}
	if len(endpoint.records) != 4 || len(endpoint.Jobs.Job("l").Listings) != 1 || endpoint.Counts.Late != 2 {
		t.Fatal(len(endpoint.records), endpoint.Counts)
	}
	// A later leader answers the repeat the same, from the record.
	next := newEndpoint(t, 2, endpoint.records, ms(5000))
	if next.say("x", messages.AckAccept, first, "a", ms(5000), text) != messages.AckRecorded ||
		next.say("y", messages.AckAccept, second, "a", ms(5000), text) != messages.AckTerminal {
		t.Fatal("a later holder answers otherwise")
	}
}

func TestReleaseReturnsEvents(t *testing.T) {
	endpoint := newEndpoint(t, 1, nil, 0)
	endpoint.lot("l", "a")
	first := endpoint.take("x", 1, ms(1))[0].Number
	endpoint.ExpireLocks(ms(2001))
	// Late events count while nobody runs the item; fewer never replace more.
	endpoint.say("x", messages.AckRelease, first, "a", ms(2100), events(3))
	endpoint.say("x", messages.AckRelease, first, "a", ms(2100), events(2))
	second := endpoint.take("y", 1, ms(4000))
	if item := second[0].Item; item.LastID != 3 || len(item.Events) != 3 {
		t.Fatal(item.LastID, len(item.Events))
	}
	// A run that goes on from three must not find five beneath it.
	endpoint.say("x", messages.AckRelease, first, "a", ms(4100), events(5))
	if item := second[0].Item; item.LastID != 3 || endpoint.InFlight() != 1 {
		t.Fatal("a late release changed what another goes on from")
	}
	endpoint.say("y", messages.AckRelease, second[0].Number, "a", ms(4200), events(4))
	if item := second[0].Item; item.LastID != 4 || endpoint.InFlight() != 0 || item.Releases != 1 {
		t.Fatal(item.LastID, endpoint.InFlight())
	}
}

func TestFailuresCountOnceAndDurably(t *testing.T) {
	endpoint := newEndpoint(t, 1, nil, 0)
	endpoint.lot("l", "a")
	first := endpoint.take("x", 1, ms(1))[0].Number
	for repeat := 0; repeat < 5; repeat++ {
		endpoint.say("x", messages.AckRelease, first, "a", ms(10), failed)
	}
	if item := endpoint.Jobs.Job("l").Item("a"); item.State != ItemAvailable || len(item.FailedBy) != 1 {
		t.Fatal("one 500 counted as ", len(item.FailedBy))
	}
	// The count outlives the leader, and so does what was counted.
	next := newEndpoint(t, 2, endpoint.records, ms(1000))
	if item := next.Jobs.Job("l").Item("a"); len(item.FailedBy) != 1 {
		t.Fatal("the count was lost with its holder")
	}
	next.say("x", messages.AckRelease, first, "a", ms(1001), failed)
	if item := next.Jobs.Job("l").Item("a"); len(item.FailedBy) != 1 || item.State != ItemAvailable {
		t.Fatal("after a takeover it counts as ", len(item.FailedBy))
	}
	second := next.take("y", 1, ms(4000))[0].Number
	if next.say("y", messages.AckRelease, second, "a", ms(4001), failed) != messages.AckRecorded {
		t.Fatal("not taken")
	}
	next.settle()
	if item := next.Jobs.Job("l").Item("a"); item.State != ItemAbandoned {
		t.Fatal("tries answers of 500 did not end it: ", item.State)
	}
}

func TestTakeoverAdoptsReportedAcquisitions(t *testing.T) {
	old := newEndpoint(t, 1, nil, 0)
	old.lot("l", "a", "b", "c")
	given := old.take("x", 3, ms(1))
	next := newEndpoint(t, 2, old.records, ms(100))
	if len(next.take("y", 3, ms(2000))) != 0 {
		t.Fatal("perhaps acquired, and acquired again")
	}
	if next.say("x", messages.AckRenew, given[0].Number, "a", ms(200)) != messages.AckRenewed {
		t.Fatal("what was shown was not adopted")
	}
	// Of two that show the same item the later number stands.
	if next.say("z", messages.AckRenew, given[0].Number+7, "a", ms(300)) != messages.AckRenewed ||
		next.say("x", messages.AckRenew, given[0].Number, "a", ms(300)) != messages.AckStopped {
		t.Fatal("two hold one item")
	}
	// An output is taken at any time.
	if next.say("x", messages.AckAccept, given[1].Number, "b", ms(300)) != messages.AckRecorded {
		t.Fatal("an earlier acquisition's output was refused")
	}
	// One lock length after the leadership was taken nothing is shown any more.
	if next.say("x", messages.AckRenew, given[2].Number, "c", ms(2200)) != messages.AckStopped {
		t.Fatal("adopted after its lock had ended")
	}
	if left := next.take("y", 3, ms(2200)); len(left) != 1 || left[0].Item.ID != "c" || left[0].Number <= given[2].Number {
		t.Fatal("not available again: ", left)
	}
}

func TestEndedJobDispatchesNothing(t *testing.T) {
	endpoint := newEndpoint(t, 1, nil, 0)
	endpoint.lot("l", "a", "b")
	found := endpoint.take("x", 1, ms(1))[0].Number
	closed := true
	endpoint.Ending = func(*Job) bool { return closed }
	if executors := endpoint.StopJob(endpoint.Jobs.Job("l")); len(executors) != 1 || executors[0].Name != "x" || endpoint.InFlight() != 0 {
		t.Fatal(executors)
	}
	if len(endpoint.take("y", 2, ms(100))) != 0 || endpoint.say("x", messages.AckRenew, found, "a", ms(100)) != messages.AckTerminal ||
		endpoint.say("x", messages.AckAccept, found, "a", ms(100)) != messages.AckTerminal {
		t.Fatal("an ending lot goes on")
	}
}
