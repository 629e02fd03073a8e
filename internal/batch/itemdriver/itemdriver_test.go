package itemdriver

import (
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

const lock = 2 * clock.Span(1_000_000_000)

func ms(count float64) clock.Moment { return clock.Moment(clock.Milliseconds(count)) }

func given(numbers ...uint64) *messages.Acquired {
	answer := &messages.Acquired{LockMs: clock.ToMilliseconds(lock), HeldMs: 500}
	for _, number := range numbers {
		answer.Items = append(answer.Items, messages.AcquiredItem{Number: number, Lot: "l", Item: messages.LotItem{ID: "i"}})
	}
	return answer
}

// However late an answer comes, the lock ends here before it does at the dispatcher.
func TestLockIsReckonedFromTheAsking(t *testing.T) {
	one := New()
	if tasks := one.Take(given(1), ms(0), ms(2500)); len(tasks) != 0 {
		t.Fatal("taken after its lock had ended")
	}
	task := one.Take(given(2), ms(0), ms(2000))[0]
	end := ms(2500).Plus(-constants.LockMargin)
	if !task.May(end-1) || task.May(end) || len(one.Lapsed(end-1)) != 0 {
		t.Fatal("the lock ends at another time")
	}
	if stopped := one.Lapsed(end); len(stopped) != 1 || len(one.Lapsed(end)) != 0 || len(one.Renewals(end)) != 0 {
		t.Fatal("a lapsed run goes on")
	}
}

func TestRenewalCountsFromItsAsking(t *testing.T) {
	one := New()
	task := one.Take(given(1), ms(0), ms(500))[0]
	entries := one.Renewals(ms(1000))
	one.Renewed(entries, []messages.AckVerdict{messages.AckRenewed}, ms(1000), lock)
	if !task.May(ms(2800)) || task.May(ms(3000)) {
		t.Fatal("renewed for another time")
	}
	if stopped := one.Renewed(entries, []messages.AckVerdict{messages.AckUnknown}, ms(1500), lock); len(stopped) != 0 || task.May(ms(3000)) {
		t.Fatal("an unclear answer renewed or stopped it")
	}
	if stopped := one.Renewed(entries, []messages.AckVerdict{messages.AckStopped}, ms(1500), lock); len(stopped) != 1 || !task.Stopped() {
		t.Fatal("not stopped")
	}
}

// An acknowledgement is repeated until it is answered, under the same number.
func TestAcknowledgementsAreRepeated(t *testing.T) {
	one := New()
	for _, task := range one.Take(given(1, 2, 3), ms(0), ms(500)) {
		kind := messages.AckAccept
		if task.Number == 3 {
			kind = messages.AckRelease
			task.Item.Gather(task.Run, [][]byte{[]byte("x")}, 1)
		}
		one.Done(task, messages.Acknowledgement{Kind: kind})
		one.Done(task, messages.Acknowledgement{Kind: messages.AckReject})
	}
	batch := one.Results()
	if len(batch) != 2 || one.Owing() != 3 {
		t.Fatal(len(batch), one.Owing())
	}
	one.Answered(batch, nil)
	one.Answered(batch, []messages.AckVerdict{messages.AckUnknown, messages.AckTerminal})
	if batch = one.Results(); len(batch) != 1 || batch[0].Number != 1 || batch[0].Kind != messages.AckAccept {
		t.Fatal(batch)
	}
	if back := one.Returns(); len(back) != 1 || back[0].LastID != 1 || len(back[0].Pieces) != 1 {
		t.Fatal(back)
	}
	one.Answered(batch, []messages.AckVerdict{messages.AckTaken})
	if len(one.Results()) != 0 || one.Owing() != 1 {
		t.Fatal("answered, and repeated")
	}
}

func TestStopOfALot(t *testing.T) {
	one := New()
	one.Take(given(1, 2), ms(0), ms(500))
	if len(one.StopLot("other")) != 0 || len(one.StopLot("l")) != 2 || len(one.StopLot("l")) != 0 {
		t.Fatal("not each run once")
	}
}

func TestBatchesAreBounded(t *testing.T) {
	one := New()
	var numbers []uint64
	for number := uint64(1); number <= constants.AckEntries+5; number++ {
		numbers = append(numbers, number)
	}
	for _, task := range one.Take(given(numbers...), ms(0), ms(500)) {
		one.Done(task, messages.Acknowledgement{Kind: messages.AckAccept, Text: make([]byte, 10)})
	}
	if len(one.Results()) != constants.AckEntries {
		t.Fatal(len(one.Results()))
	}
}

// Once a later holder was told what is held here, an earlier one's answer is late.
func TestFence(t *testing.T) {
	one := New()
	one.Take(given(5<<40|1), ms(0), ms(100))
	one.Fence(6)
	if len(one.Take(given(5<<40|2), ms(0), ms(100))) != 0 || len(one.Take(given(6<<40|1), ms(0), ms(100))) != 1 || len(one.Renewals(ms(100))) != 2 {
		t.Fatal("what an earlier holder handed out was taken, or what is held was dropped")
	}
}

// A run that hangs is not renewed for ever: its lock lapses, and it is stopped.
func TestHangingRunsAreNotRenewed(t *testing.T) {
	one := New()
	task := one.Take(given(1), ms(0), ms(0))[0]
	for at := 500.0; at < 20_000; at += 500 {
		entries := one.Renewals(ms(at))
		if at <= 10_000 {
			task.Moved(ms(at))
		}
		hangs := clock.Milliseconds(at-10_000) >= constants.RenewPatience
		if (len(entries) == 0) != hangs {
			t.Fatal("renewed or not at ", at)
		}
		one.Renewed(entries, []messages.AckVerdict{messages.AckRenewed}, ms(at), lock)
	}
	if !task.May(ms(16_000)) || len(one.Lapsed(ms(17_000))) != 1 {
		t.Fatal("not stopped")
	}
}
