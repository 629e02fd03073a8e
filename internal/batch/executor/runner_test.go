package executor

import (
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

const lockDuration = 2 * clock.Duration(1_000_000_000)

func ms(count float64) clock.Instant { return clock.Instant(clock.Milliseconds(count)) }

// acquired returns an acquire response with one item for each acquisition number.
func acquired(numbers ...uint64) *messages.AcquireResponse {
	resp := &messages.AcquireResponse{LockMs: clock.ToMilliseconds(lockDuration), WaitedMs: 500}
	for _, number := range numbers {
		resp.Items = append(resp.Items, messages.AcquiredItem{Number: number, Job: "l", Item: messages.JobItem{ID: "i"}})
	}
	return resp
}

// However late a response arrives, the lock ends here before it expires at the dispatcher. Otherwise two
// executors could run an item at the same time. The lock counts from the request plus the time that the
// dispatcher waited before it responded.
func TestLockCountsFromTheRequest(t *testing.T) {
	runner := New()
	if tasks := runner.Add(acquired(1), ms(0), ms(2500)); len(tasks) != 0 {
		t.Fatal("item added after its lock had expired")
	}
	task := runner.Add(acquired(2), ms(0), ms(2000))[0]
	end := ms(2500).Add(-constants.LockMargin)
	if !task.MayRun(end-1) || task.MayRun(end) || len(runner.StopExpired(end-1)) != 0 {
		t.Fatalf("lock does not end at %d ns: request, dispatcher's wait and lock duration, less the margin", end)
	}
	if stopped := runner.StopExpired(end); len(stopped) != 1 || len(runner.StopExpired(end)) != 0 || len(runner.Renewals(end)) != 0 {
		t.Fatal("run with an expired lock was not stopped exactly once, or was renewed")
	}
}

// A renewed lock counts from the renewal request. If it counted from the response, which may be late, the
// lock at the dispatcher could end first, and another executor could run the item at the same time.
func TestRenewalCountsFromItsRequest(t *testing.T) {
	runner := New()
	task := runner.Add(acquired(1), ms(0), ms(500))[0]
	entries := runner.Renewals(ms(1000))
	runner.HandleRenewals(entries, []messages.AckVerdict{messages.AckRenewed}, ms(1000), lockDuration)
	if !task.MayRun(ms(2800)) || task.MayRun(ms(3000)) {
		t.Fatal("renewed lock does not count from the renewal request")
	}
	if stopped := runner.HandleRenewals(entries, []messages.AckVerdict{messages.AckUnknown}, ms(1500), lockDuration); len(stopped) != 0 || task.MayRun(ms(3000)) {
		t.Fatal("verdict AckUnknown renewed or stopped the task")
	}
	if stopped := runner.HandleRenewals(entries, []messages.AckVerdict{messages.AckStopped}, ms(1500), lockDuration); len(stopped) != 1 || !task.Stopped() {
		t.Fatal("verdict AckStopped did not stop the task")
	}
}

// An acknowledgement is sent under the same number until it has a final verdict. Otherwise a lost message
// would lose a result.
func TestAcknowledgementsAreRepeated(t *testing.T) {
	runner := New()
	for _, task := range runner.Add(acquired(1, 2, 3), ms(0), ms(500)) {
		kind := messages.AckAccept
		if task.Number == 3 {
			kind = messages.AckRelease
			task.Item.AppendEvents(task.Run, [][]byte{[]byte("x")}, 1)
		}
		runner.Done(task, messages.Acknowledgement{Kind: kind})
		runner.Done(task, messages.Acknowledgement{Kind: messages.AckReject})
	}
	batch := runner.Results()
	if len(batch) != 2 || runner.Unacknowledged() != 3 {
		t.Fatalf("got %d results and %d acknowledgements without a final verdict, want 2 and 3", len(batch), runner.Unacknowledged())
	}
	runner.HandleVerdicts(batch, nil)
	runner.HandleVerdicts(batch, []messages.AckVerdict{messages.AckUnknown, messages.AckTerminal})
	if batch = runner.Results(); len(batch) != 1 || batch[0].Number != 1 || batch[0].Kind != messages.AckConfirm {
		t.Fatalf("got results %+v, want only a confirm request for acquisition 1", batch)
	}
	runner.HandleVerdicts(batch, []messages.AckVerdict{messages.AckOutputNeeded})
	if batch = runner.Results(); len(batch) != 1 || batch[0].Number != 1 || batch[0].Kind != messages.AckAccept {
		t.Fatalf("got results %+v, want only the output of acquisition 1", batch)
	}
	if releases := runner.Releases(); len(releases) != 1 || releases[0].LastID != 1 || len(releases[0].Events) != 1 {
		t.Fatalf("got releases %+v, want one with one event, whose id is 1", releases)
	}
	runner.HandleVerdicts(batch, []messages.AckVerdict{messages.AckRecorded})
	if len(runner.Results()) != 0 || runner.Unacknowledged() != 1 {
		t.Fatal("acknowledgement sent again after its final verdict")
	}
}

func TestStopJobStopsEachRunOnce(t *testing.T) {
	runner := New()
	runner.Add(acquired(1, 2), ms(0), ms(500))
	if len(runner.StopJob("other")) != 0 || len(runner.StopJob("l")) != 2 || len(runner.StopJob("l")) != 0 {
		t.Fatal("want each run of the job stopped once")
	}
}

func TestBatchesAreBounded(t *testing.T) {
	runner := New()
	var numbers []uint64
	for number := uint64(1); number <= constants.AckEntries+5; number++ {
		numbers = append(numbers, number)
	}
	for _, task := range runner.Add(acquired(numbers...), ms(0), ms(500)) {
		runner.Done(task, messages.Acknowledgement{Kind: messages.AckAccept, Output: make([]byte, 10)})
	}
	if len(runner.Results()) != constants.AckEntries {
		t.Fatalf("batch does not have the maximum of %d acknowledgements", constants.AckEntries)
	}
}

// After all tasks were reported to a later leader, items from an earlier leader are rejected: the later
// leader would not know of them.
func TestItemsOfEarlierLeadersAreRejected(t *testing.T) {
	runner := New()
	runner.Add(acquired(5<<40|1), ms(0), ms(100))
	runner.RejectEpochsBefore(6)
	if len(runner.Add(acquired(5<<40|2), ms(0), ms(100))) != 0 || len(runner.Add(acquired(6<<40|1), ms(0), ms(100))) != 1 || len(runner.Renewals(ms(100))) != 2 {
		t.Fatal("item of an earlier leader was added, or an existing task was dropped")
	}
}

// The lock of a run without events is not renewed indefinitely: it expires, and the run is stopped.
func TestHangingRunsAreNotRenewed(t *testing.T) {
	runner := New()
	task := runner.Add(acquired(1), ms(0), ms(0))[0]
	for at := 500.0; at < 20_000; at += 500 {
		entries := runner.Renewals(ms(at))
		if at <= 10_000 {
			task.NoteProgress(ms(at))
		}
		hanging := clock.Milliseconds(at-10_000) >= constants.RenewWithoutEventsMax
		if (len(entries) == 0) != hanging {
			t.Fatalf("got %d renewals at %v ms, want none once the last event is RenewWithoutEventsMax ago, else 1",
				len(entries), at)
		}
		runner.HandleRenewals(entries, []messages.AckVerdict{messages.AckRenewed}, ms(at), lockDuration)
	}
	if !task.MayRun(ms(16_000)) || len(runner.StopExpired(ms(17_000))) != 1 {
		t.Fatal("hanging run was stopped too early or not at all")
	}
}

// The memory of a task's input is subtracted when the task is done, and only once.
func TestInputsOfTasksAreCounted(t *testing.T) {
	runner := New()
	resp := acquired(1, 2)
	resp.Items[0].Item.Body, resp.Items[1].Item.Body = make([]byte, 100), make([]byte, 10)
	tasks := runner.Add(resp, ms(0), ms(500))
	if runner.InputBytes() != 110 {
		t.Fatalf("got %d input bytes of two tasks, want 110", runner.InputBytes())
	}
	for range 2 {
		runner.Done(tasks[0], messages.Acknowledgement{Kind: messages.AckReject})
	}
	if runner.InputBytes() != 10 {
		t.Fatalf("got %d input bytes after the first task was done, want 10", runner.InputBytes())
	}
}
