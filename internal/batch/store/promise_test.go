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
func put(test *testing.T, server *Server, call *messages.LotCall) *messages.LotAnswer {
	body, err := transport.Write(call)
	if err != nil {
		test.Fatal(err)
	}
	back, err := server.lotCall(body)
	if err != nil {
		test.Fatal(err)
	}
	answer := &messages.LotAnswer{}
	if err = transport.Read(back, answer); err != nil {
		test.Fatal(err)
	}
	return answer
}

// A question that was refused, or sent on, is never taken by its second copy,
// whatever has changed in between; the same lot in a new question is.
func TestSecondCopyOfARefusedHandIn(test *testing.T) {
	one := rule(test, soleLocker(test, simulation.NewDisk(4)), 1)
	full := lotCallOf("full", 6)
	full.Ask = "f#1"
	if answer := put(test, one.server, full); answer.Status != 202 {
		test.Fatal(answer.Status)
	}
	late := lotCallOf("late", 2)
	late.Ask = "f#2"
	if answer := put(test, one.server, late); answer.Status != 429 {
		test.Fatal(answer.Status)
	}
	if answer := put(test, one.server, &messages.LotCall{Method: "DELETE", Lot: "full"}); answer.Status != 200 {
		test.Fatal(answer.Status)
	}
	if answer := put(test, one.server, late); answer.Status != 504 || one.book.Lot("late") != nil {
		test.Fatal("a refused question was taken: ", answer.Status)
	}
	late.Ask = "f#3"
	if answer := put(test, one.server, late); answer.Status != 202 {
		test.Fatal(answer.Status)
	}
	// Sent on by one that held nothing, then met by the same process as the holder.
	one.end("another takes over")
	moved := lotCallOf("moved", 2)
	moved.Ask = "f#4"
	if answer := put(test, one.server, moved); !answer.Elsewhere {
		test.Fatal(answer.Status)
	}
	next := rule(test, one.server, 2)
	if answer := put(test, one.server, moved); answer.Status != 504 || next.book.Lot("moved") != nil {
		test.Fatal("a question that was sent on was taken: ", answer.Status)
	}
}

// Many copies of many questions race: each question has one outcome, and a lot
// stands only if one of its questions was not refused.
func TestCopiesOfHandInsRace(test *testing.T) {
	one := rule(test, soleLocker(test, simulation.NewDisk(5)), 1)
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
			answer := put(test, one.server, call)
			lock.Lock()
			defer lock.Unlock()
			refused[call.Ask] = refused[call.Ask] || answer.Status == 429
			taken[call.Ask] = taken[call.Ask] || answer.Status == 202
		}()
	}
	group.Wait()
	for ask := range refused {
		if refused[ask] && taken[ask] {
			test.Error("two outcomes of ", ask)
		}
	}
	if len(one.book.Lots()) != 3 {
		test.Fatal(len(one.book.Lots()))
	}
}

// What has outlived its time is not taken, even where it fits; a lot that stands
// already is told so all the same.
func TestHandInIsNotTakenAfterItsTime(test *testing.T) {
	one := rule(test, soleLocker(test, simulation.NewDisk(6)), 1)
	call := lotCallOf("lot", 1)
	call.Until = int64(clock.Now())
	if answer := one.handIn(call); !answer.Elsewhere || one.book.Lot("lot") != nil {
		test.Fatal("taken after its time: ", answer.Status)
	}
	call.Until = int64(clock.Now().Plus(clock.Milliseconds(60_000)))
	if answer := one.handIn(call); answer.Status != 202 {
		test.Fatal(answer.Status)
	}
	call.Until = int64(clock.Now())
	if answer := one.handIn(call); answer.Status != 202 {
		test.Fatal(answer.Status)
	}
	// The span that a frame carries is counted from its arrival.
	slow, now := &messages.LotCall{LiveMs: 60_000}, clock.Moment(7)
	one.server.fresh(slow, now)
	if expired(slow, now.Plus(clock.Milliseconds(59_999))) || !expired(slow, now.Plus(clock.Milliseconds(60_000))) {
		test.Fatal(slow.Until)
	}
}
