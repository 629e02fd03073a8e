package executor

import (
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

const lock = 2 * clock.Duration(1_000_000_000)

func ms(count float64) clock.Instant { return clock.Instant(clock.Milliseconds(count)) }

func given(numbers ...uint64) *messages.AcquireResponse {
	resp := &messages.AcquireResponse{LockMs: clock.ToMilliseconds(lock), WaitedMs: 500}
	for _, number := range numbers {
		resp.Items = append(resp.Items, messages.AcquiredItem{Number: number, Job: "l", Item: messages.JobItem{ID: "i"}})
	}
	return resp
}

// However late an answer comes, the lock ends here before it does at the dispatcher.
func TestLockCountsFromTheRequest(t *testing.T) {
	runner := New()
	if tasks := runner.Add(given(1), ms(0), ms(2500)); len(tasks) != 0 {
		t.Fatal("taken after its lock had ended")
	}
	task := runner.Add(given(2), ms(0), ms(2000))[0]
	end := ms(2500).Add(-constants.LockMargin)
	if !task.MayRun(end-1) || task.MayRun(end) || len(runner.Lapsed(end-1)) != 0 {
		t.Fatal("the lock ends at another time")
	}
	if stopped := runner.Lapsed(end); len(stopped) != 1 || len(runner.Lapsed(end)) != 0 || len(runner.Renewals(end)) != 0 {
		t.Fatal("a lapsed run goes on")
	}
}

func TestRenewalCountsFromItsRequest(t *testing.T) {
	runner := New()
	task := runner.Add(given(1), ms(0), ms(500))[0]
	entries := runner.Renewals(ms(1000))
	runner.HandleRenewals(entries, []messages.AckVerdict{messages.AckRenewed}, ms(1000), lock)
	if !task.MayRun(ms(2800)) || task.MayRun(ms(3000)) {
		t.Fatal("renewed for another time")
	}
	if stopped := runner.HandleRenewals(entries, []messages.AckVerdict{messages.AckUnknown}, ms(1500), lock); len(stopped) != 0 || task.MayRun(ms(3000)) {
		t.Fatal("an unclear answer renewed or stopped it")
	}
	if stopped := runner.HandleRenewals(entries, []messages.AckVerdict{messages.AckStopped}, ms(1500), lock); len(stopped) != 1 || !task.Stopped() {
		t.Fatal("not stopped")
	}
}

// An acknowledgement is repeated until it is answered, under the same number.
func TestAcknowledgementsAreRepeated(t *testing.T) {
	runner := New()
	for _, task := range runner.Add(given(1, 2, 3), ms(0), ms(500)) {
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
		t.Fatal(len(batch), runner.Unacknowledged())
	}
	runner.HandleVerdicts(batch, nil)
	runner.HandleVerdicts(batch, []messages.AckVerdict{messages.AckUnknown, messages.AckTerminal})
	if batch = runner.Results(); len(batch) != 1 || batch[0].Number != 1 || batch[0].Kind != messages.AckConfirm {
		t.Fatal(batch)
	}
	runner.HandleVerdicts(batch, []messages.AckVerdict{messages.AckOutputNeeded})
	if batch = runner.Results(); len(batch) != 1 || batch[0].Number != 1 || batch[0].Kind != messages.AckAccept {
		t.Fatal(batch)
	}
	if resp := runner.Releases(); len(resp) != 1 || resp[0].LastID != 1 || len(resp[0].Events) != 1 {
		t.Fatal(resp)
	}
	runner.HandleVerdicts(batch, []messages.AckVerdict{messages.AckRecorded})
	if len(runner.Results()) != 0 || runner.Unacknowledged() != 1 {
		t.Fatal("answered, and repeated")
	}
}

func TestStopJob(t *testing.T) {
	runner := New()
	runner.Add(given(1, 2), ms(0), ms(500))
	if len(runner.StopJob("other")) != 0 || len(runner.StopJob("l")) != 2 || len(runner.StopJob("l")) != 0 {
		t.Fatal("not each run once")
	}
}

func TestBatchesAreBounded(t *testing.T) {
	runner := New()
	var numbers []uint64
	for number := uint64(1); number <= constants.AckEntries+5; number++ {
		numbers = append(numbers, number)
	}
	for _, task := range runner.Add(given(numbers...), ms(0), ms(500)) {
		runner.Done(task, messages.Acknowledgement{Kind: messages.AckAccept, Output: make([]byte, 10)})
	}
	if len(runner.Results()) != constants.AckEntries {
		t.Fatal(len(runner.Results()))
	}
}

// Once a later leader was told what is held here, an earlier one's answer is late.
func TestDropBefore(t *testing.T) {
	runner := New()
	runner.Add(given(5<<40|1), ms(0), ms(100))
	runner.DropBefore(6)
	if len(runner.Add(given(5<<40|2), ms(0), ms(100))) != 0 || len(runner.Add(given(6<<40|1), ms(0), ms(100))) != 1 || len(runner.Renewals(ms(100))) != 2 {
		t.Fatal("what an earlier holder handed out was taken, or what is held was dropped")
	}
}

// A run that hangs is not renewed for ever: its lock lapses, and it is stopped.
func TestHangingRunsAreNotRenewed(t *testing.T) {
	runner := New()
	task := runner.Add(given(1), ms(0), ms(0))[0]
	for at := 500.0; at < 20_000; at += 500 {
		entries := runner.Renewals(ms(at))
		if at <= 10_000 {
			task.NoteProgress(ms(at))
		}
		hangs := clock.Milliseconds(at-10_000) >= constants.RenewWithoutEventsMax
		if (len(entries) == 0) != hangs {
			t.Fatal("renewed or not at ", at)
		}
		runner.HandleRenewals(entries, []messages.AckVerdict{messages.AckRenewed}, ms(at), lock)
	}
	if !task.MayRun(ms(16_000)) || len(runner.Lapsed(ms(17_000))) != 1 {
		t.Fatal("not stopped")
	}
}

// What the inputs take is given back once a task is done, and once only.
func TestInputsOfTasksAreCounted(t *testing.T) {
	runner := New()
	resp := given(1, 2)
	resp.Items[0].Item.Body, resp.Items[1].Item.Body = make([]byte, 100), make([]byte, 10)
	tasks := runner.Add(resp, ms(0), ms(500))
	if runner.InputBytes() != 110 {
		t.Fatal(runner.InputBytes())
	}
	for range 2 {
		runner.Done(tasks[0], messages.Acknowledgement{Kind: messages.AckReject})
	}
	if runner.InputBytes() != 10 {
		t.Fatal(runner.InputBytes())
	}
}
