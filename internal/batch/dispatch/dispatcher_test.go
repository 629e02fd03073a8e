package dispatch

import (
	"fmt"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// testDispatcher is a dispatcher whose records become durable when applyRecords is called.
type testDispatcher struct {
	*Dispatcher
	test    *testing.T
	records []messages.Record
	applied int
	terms   JobTerms
}

const testLock = clock.Duration(2_000_000_000)

func ms(count float64) clock.Instant { return clock.Instant(clock.Milliseconds(count)) }

// newTestDispatcher continues from records, as a new leader does. startedAt is when it became the leader.
func newTestDispatcher(t *testing.T, epoch uint64, records []messages.Record, startedAt clock.Instant) *testDispatcher {
	t.Helper()

	jobs := NewJobTable()
	for i := range records {
		if err := jobs.Apply(&records[i]); err != nil {
			t.Fatal(err)
		}
	}
	d := &testDispatcher{Dispatcher: NewDispatcher(jobs, epoch, int64(len(records)+1), testLock, startedAt), test: t, records: records, applied: len(records)}
	d.Attempts = func(*Item) int { return 2 }
	d.Append = func(record messages.Record) int64 {
		record.Index, record.Epoch = int64(len(d.records)+1), epoch
		d.records = append(d.records, record)
		return record.Index
	}
	return d
}

// applyRecords makes all records durable.
func (d *testDispatcher) applyRecords() {
	for ; d.applied < len(d.records); d.applied++ {
		if err := d.Jobs.Apply(&d.records[d.applied]); err != nil {
			d.test.Fatal(err)
		}
	}
}

// addJob submits a job with the given items.
func (d *testDispatcher) addJob(id string, items ...string) {
	body := &messages.JobBody{Path: "/p/"}
	for _, item := range items {
		body.Items = append(body.Items, messages.JobItem{ID: item, Tokens: 1})
	}
	encoded, _ := body.MarshalMsg(nil)
	d.Append(messages.Record{Kind: messages.RecordJob, Job: id, Body: encoded, AtMs: int64(len(d.records))})
	d.applyRecords()
}

// acquire registers an executor and acquires items up to its free capacity.
func (d *testDispatcher) acquire(executor string, freeCapacity int, now clock.Instant) []*Acquisition {
	if d.RegisterExecutor(Executor{Name: executor}) > 0 {
		d.applyRecords()
	}
	return d.Acquire(&AcquireOptions{Executor: Executor{Name: executor}, Capacity: map[string]int{"s": freeCapacity},
		Terms: func(job *Job) JobTerms { return JobTerms{Due: job.SubmittedMs, Overdue: d.terms.Overdue} }, Service: func(*Item) string { return "s" }}, now)
}

// acknowledge sends an acknowledgement with optional changes and returns the verdict.
func (d *testDispatcher) acknowledge(executor string, kind messages.AckKind, number uint64, item string, now clock.Instant, options ...func(*messages.Acknowledgement)) messages.AckVerdict {
	ack := &messages.Acknowledgement{Kind: kind, Number: number, Job: "l", Item: item}
	for _, option := range options {
		option(ack)
	}
	return d.Acknowledge(Executor{Name: executor}, ack, now).Verdict
}

// events is an option of acknowledge: the executor returns events with the ids 1 to count.
func events(count int) func(*messages.Acknowledgement) {
	return func(ack *messages.Acknowledgement) {
		for event := 1; event <= count; event++ {
			ack.Events = append(ack.Events, []byte(fmt.Sprint(event)))
		}
		ack.LastID = int64(count)
	}
}

func failed(ack *messages.Acknowledgement) { ack.Failed = true }

// Only one executor runs an item while its lock lasts. Expired locks, however many, delay it by a backoff but never end it.
func TestOneAcquisitionUntilLockExpires(t *testing.T) {
	dispatcher := newTestDispatcher(t, 1, nil, 0)
	dispatcher.addJob("l", "a")
	acquired := dispatcher.acquire("x", 3, ms(1))
	if len(acquired) != 1 || len(dispatcher.acquire("y", 3, ms(1))) != 0 {
		t.Fatal("want one acquisition by x and none by y")
	}
	if dispatcher.acknowledge("x", messages.AckRenew, acquired[0].Number, "a", ms(1500)) != messages.AckRenewed || dispatcher.ExpireLocks(ms(2500)) != 0 {
		t.Fatal("renewed lock expired")
	}
	if dispatcher.acknowledge("y", messages.AckRenew, acquired[0].Number, "a", ms(2500)) != messages.AckStopped {
		t.Fatal("renewal by another executor was accepted")
	}
	now := ms(3500)
	for expiry := 1; expiry <= 40; expiry++ {
		if dispatcher.ExpireLocks(now) != 1 || len(dispatcher.acquire("y", 1, now)) != 0 {
			t.Fatal("lock did not expire, or the item was available without backoff, at expiry ", expiry)
		}
		if dispatcher.AbandonExpired(func(*Job) JobTerms { return JobTerms{} }, now) != 0 {
			t.Fatal("expired lock ended an item")
		}
		if now = now.Add(retryBackoff(expiry)); len(dispatcher.acquire("y", 1, now)) != 1 {
			t.Fatal("item was not available after the backoff, at expiry ", expiry)
		}
		now = now.Add(testLock)
	}
	if dispatcher.acknowledge("x", messages.AckRenew, acquired[0].Number, "a", now) != messages.AckStopped {
		t.Fatal("expired lock was renewed")
	}
}

// A late output must not be lost, and a repeated one must not count twice. A complete output counts after
// its lock has expired. Sent again, before or after it is durable, it gets the same verdict.
func TestAcceptAfterLockExpiryAndRepeats(t *testing.T) {
	dispatcher := newTestDispatcher(t, 1, nil, 0)
	dispatcher.addJob("l", "a")
	first := dispatcher.acquire("x", 1, ms(1))[0].Number
	dispatcher.ExpireLocks(ms(2001))
	second := dispatcher.acquire("y", 1, ms(4000))[0].Number
	text := func(ack *messages.Acknowledgement) { ack.Output = []byte("t") }
	for round := 0; round < 2; round++ {
		if dispatcher.acknowledge("x", messages.AckAccept, first, "a", ms(4100), text) != messages.AckRecorded {
			t.Fatal("output was not accepted in round ", round)
		}
		if dispatcher.acknowledge("y", messages.AckAccept, second, "a", ms(4200), text) != messages.AckTerminal ||
			dispatcher.acknowledge("y", messages.AckRenew, second, "a", ms(4200)) != messages.AckStopped {
			t.Fatal("second output was accepted in round ", round)
		}
		dispatcher.applyRecords()
	}
	if len(dispatcher.records) != 4 || len(dispatcher.Jobs.Job("l").Listings) != 1 || dispatcher.Counts.Late != 2 {
		t.Fatalf("got %d records, %d listings and %d late outputs, want 4, 1 and 2", len(dispatcher.records), len(dispatcher.Jobs.Job("l").Listings), dispatcher.Counts.Late)
	}
	// A later leader returns the same verdicts, from the record.
	next := newTestDispatcher(t, 2, dispatcher.records, ms(5000))
	if next.acknowledge("x", messages.AckAccept, first, "a", ms(5000), text) != messages.AckRecorded ||
		next.acknowledge("y", messages.AckAccept, second, "a", ms(5000), text) != messages.AckTerminal {
		t.Fatal("later leader returned other verdicts")
	}
}

// Late events are kept while the item is not acquired; fewer events never replace more.
func TestReleaseReturnsEvents(t *testing.T) {
	dispatcher := newTestDispatcher(t, 1, nil, 0)
	dispatcher.addJob("l", "a")
	first := dispatcher.acquire("x", 1, ms(1))[0].Number
	dispatcher.ExpireLocks(ms(2001))
	dispatcher.acknowledge("x", messages.AckRelease, first, "a", ms(2100), events(3))
	dispatcher.acknowledge("x", messages.AckRelease, first, "a", ms(2100), events(2))
	second := dispatcher.acquire("y", 1, ms(4000))
	if item := second[0].Item; item.LastID != 3 || len(item.Events) != 3 {
		t.Fatalf("got last id %d and %d events after late releases with 3 and 2 events, want 3 and 3", item.LastID, len(item.Events))
	}
	// The events of a run that resumed after three must not be replaced by five late ones.
	dispatcher.acknowledge("x", messages.AckRelease, first, "a", ms(4100), events(5))
	if item := second[0].Item; item.LastID != 3 || dispatcher.InFlight() != 1 {
		t.Fatal("late release changed the events from which another run resumed")
	}
	dispatcher.acknowledge("y", messages.AckRelease, second[0].Number, "a", ms(4200), events(4))
	if item := second[0].Item; item.LastID != 4 || dispatcher.InFlight() != 0 || item.Releases != 1 {
		t.Fatalf("got last id %d, %d acquisitions and %d releases after the release by y, want 4, 0 and 1", item.LastID, dispatcher.InFlight(), item.Releases)
	}
}

// A 500 response counts once, also after a takeover. Otherwise an item would be abandoned too early.
func TestFailuresCountOnceAndDurably(t *testing.T) {
	dispatcher := newTestDispatcher(t, 1, nil, 0)
	dispatcher.addJob("l", "a")
	first := dispatcher.acquire("x", 1, ms(1))[0].Number
	for repeat := 0; repeat < 5; repeat++ {
		dispatcher.acknowledge("x", messages.AckRelease, first, "a", ms(10), failed)
	}
	if item := dispatcher.Jobs.Job("l").Item("a"); item.State != ItemAvailable || len(item.FailedBy) != 1 {
		t.Fatalf("one 500 response: %d failures, state %d; want 1 and available", len(item.FailedBy), item.State)
	}
	next := newTestDispatcher(t, 2, dispatcher.records, ms(1000))
	if item := next.Jobs.Job("l").Item("a"); len(item.FailedBy) != 1 {
		t.Fatalf("%d failures counted after a takeover, want 1", len(item.FailedBy))
	}
	next.acknowledge("x", messages.AckRelease, first, "a", ms(1001), failed)
	if item := next.Jobs.Job("l").Item("a"); len(item.FailedBy) != 1 || item.State != ItemAvailable {
		t.Fatalf("repeated 500 response: %d failures, state %d; want 1 and available", len(item.FailedBy), item.State)
	}
	second := next.acquire("y", 1, ms(4000))[0].Number
	if next.acknowledge("y", messages.AckRelease, second, "a", ms(4001), failed) != messages.AckRecorded {
		t.Fatal("release was not recorded")
	}
	next.applyRecords()
	if item := next.Jobs.Job("l").Item("a"); item.State != ItemAbandoned {
		t.Fatal("item not abandoned after all its attempts failed, state: ", item.State)
	}
}

// An item must not run twice after a takeover, and outputs of earlier acquisitions must not be lost.
func TestTakeoverAdoptsReportedAcquisitions(t *testing.T) {
	old := newTestDispatcher(t, 1, nil, 0)
	old.addJob("l", "a", "b", "c")
	acquired := old.acquire("x", 3, ms(1))
	next := newTestDispatcher(t, 2, old.records, ms(100))
	if len(next.acquire("y", 3, ms(2000))) != 0 {
		t.Fatal("item acquired although an executor may still own it")
	}
	if next.acknowledge("x", messages.AckRenew, acquired[0].Number, "a", ms(200)) != messages.AckRenewed {
		t.Fatal("reported acquisition was not adopted")
	}
	// If two executors report the same item, the acquisition with the higher number is valid.
	if next.acknowledge("z", messages.AckRenew, acquired[0].Number+7, "a", ms(300)) != messages.AckRenewed ||
		next.acknowledge("x", messages.AckRenew, acquired[0].Number, "a", ms(300)) != messages.AckStopped {
		t.Fatal("two executors own one item")
	}
	if next.acknowledge("x", messages.AckAccept, acquired[1].Number, "b", ms(300)) != messages.AckRecorded {
		t.Fatal("output of an earlier leader's acquisition was rejected")
	}
	// From one lock duration after the takeover on, no acquisition is adopted any more.
	if next.acknowledge("x", messages.AckRenew, acquired[2].Number, "c", ms(2200)) != messages.AckStopped {
		t.Fatal("acquisition adopted after its lock had expired")
	}
	if remaining := next.acquire("y", 3, ms(2200)); len(remaining) != 1 || remaining[0].Item.ID != "c" || remaining[0].Number <= acquired[2].Number {
		t.Fatalf("acquired items %q, want only c under a number above %d", itemIDs(remaining), acquired[2].Number)
	}
}

func TestEndedJobDispatchesNothing(t *testing.T) {
	dispatcher := newTestDispatcher(t, 1, nil, 0)
	dispatcher.addJob("l", "a", "b")
	number := dispatcher.acquire("x", 1, ms(1))[0].Number
	ending := true
	dispatcher.Ending = func(*Job) bool { return ending }
	if executors := dispatcher.StopJob(dispatcher.Jobs.Job("l")); len(executors) != 1 || executors[0].Name != "x" || dispatcher.InFlight() != 0 {
		t.Fatalf("StopJob returned %v and left %d acquisitions, want executor x and 0", executors, dispatcher.InFlight())
	}
	if len(dispatcher.acquire("y", 2, ms(100))) != 0 || dispatcher.acknowledge("x", messages.AckRenew, number, "a", ms(100)) != messages.AckTerminal ||
		dispatcher.acknowledge("x", messages.AckAccept, number, "a", ms(100)) != messages.AckTerminal {
		t.Fatal("items of an ending job were acquired, renewed or accepted")
	}
}
