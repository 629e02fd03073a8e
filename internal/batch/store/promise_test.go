package store

import (
	"fmt"
	"sync"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/tooling/simulation"
)

// put hands a call in as a frame brings it.
func put(t *testing.T, server *Server, call *messages.LotCall) *messages.LotAnswer {
	body, err := transport.Write(call)
	if err != nil {
		t.Fatal(err)
	}
	back, err := server.lotCall(body)
	if err != nil {
		t.Fatal(err)
	}
	answer := &messages.LotAnswer{}
	if err = transport.Read(back, answer); err != nil {
		t.Fatal(err)
	}
	return answer
}

// A question that was refused, or sent on, is never taken by its second copy,
// whatever has changed in between; the same lot in a new question is.
func TestSecondCopyOfARefusedHandIn(t *testing.T) {
	one := rule(t, soleLocker(t, simulation.NewDisk(4)), 1)
	full := lotCallOf("full", 6)
	full.Ask = "f#1"
	if answer := put(t, one.server, full); answer.Status != 202 {
		t.Fatal(answer.Status)
	}
	late := lotCallOf("late", 2)
	late.Ask = "f#2"
	if answer := put(t, one.server, late); answer.Status != 429 {
		t.Fatal(answer.Status)
	}
	if answer := put(t, one.server, &messages.LotCall{Method: "DELETE", Lot: "full"}); answer.Status != 200 {
		t.Fatal(answer.Status)
	}
	if answer := put(t, one.server, late); answer.Status != 504 || one.book.Lot("late") != nil {
		t.Fatal("a refused question was taken: ", answer.Status)
	}
	late.Ask = "f#3"
	if answer := put(t, one.server, late); answer.Status != 202 {
		t.Fatal(answer.Status)
	}
	// Sent on by one that held nothing, then met by the same process as the holder.
	one.end("another takes over")
	moved := lotCallOf("moved", 2)
	moved.Ask = "f#4"
	if answer := put(t, one.server, moved); !answer.Elsewhere {
		t.Fatal(answer.Status)
	}
	next := rule(t, one.server, 2)
	if answer := put(t, one.server, moved); answer.Status != 504 || next.book.Lot("moved") != nil {
		t.Fatal("a question that was sent on was taken: ", answer.Status)
	}
}

// Many copies of many questions race: each question has one outcome, and a lot
// stands only if one of its questions was not refused.
func TestCopiesOfHandInsRace(t *testing.T) {
	one := rule(t, soleLocker(t, simulation.NewDisk(5)), 1)
	var group sync.WaitGroup
	var lock sync.Mutex
	refused, taken := map[string]bool{}, map[string]bool{}
	for number := 0; number < 60; number++ {
		call := lotCallOf(fmt.Sprint("lot", number%10), 2)
		// Six copies a lot make three questions of two copies.
		call.Ask = fmt.Sprint(number%10, "/", number/20)
		group.Add(1)
		go func() {
			defer group.Done()
			answer := put(t, one.server, call)
			lock.Lock()
			defer lock.Unlock()
			refused[call.Ask] = refused[call.Ask] || answer.Status == 429
			taken[call.Ask] = taken[call.Ask] || answer.Status == 202
		}()
	}
	group.Wait()
	for ask := range refused {
		if refused[ask] && taken[ask] {
			t.Error("two outcomes of ", ask)
		}
	}
	if len(one.book.Lots()) != 3 {
		t.Fatal(len(one.book.Lots()))
	}
}

// What has outlived its time is not taken, even where it fits; a lot that stands
// already is told so all the same.
func TestHandInIsNotTakenAfterItsTime(t *testing.T) {
	one := rule(t, soleLocker(t, simulation.NewDisk(6)), 1)
	call := lotCallOf("lot", 1)
	call.Until = int64(clock.Now())
	if answer := one.handIn(call); !answer.Elsewhere || one.book.Lot("lot") != nil {
		t.Fatal("taken after its time: ", answer.Status)
	}
	call.Until = int64(clock.Now().Plus(clock.Milliseconds(60_000)))
	if answer := one.handIn(call); answer.Status != 202 {
		t.Fatal(answer.Status)
	}
	call.Until = int64(clock.Now())
	if answer := one.handIn(call); answer.Status != 202 {
		t.Fatal(answer.Status)
	}
	// The span that a frame carries is counted from its arrival.
	slow, now := &messages.LotCall{LiveMs: 60_000}, clock.Moment(7)
	one.server.fresh(slow, now)
	if expired(slow, now.Plus(clock.Milliseconds(59_999))) || !expired(slow, now.Plus(clock.Milliseconds(60_000))) {
		t.Fatal(slow.Until)
	}
}
