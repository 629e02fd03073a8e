package leader

import (
	"fmt"
	"net/http"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// admitted tells whether an offer was let in.
func admitted(queued *offer) bool {
	select {
	case <-queued.admitted:
		return true
	default:
		return false
	}
}

// Jobs are let in by their age as far as there is room, and make room once they are durable,
// refused, or have not come in time.
func TestIntakeLetsInByAge(t *testing.T) {
	in, now := newIntake(), clock.Now()
	const half = constants.IntakeBytes / 2
	var offers []*offer
	for i := 0; i < 5; i++ {
		offers = append(offers, in.offer(fmt.Sprint(i), half, now))
	}
	state := func() (text string) {
		for i, queued := range offers {
			if admitted(queued) {
				text += fmt.Sprint(i)
			}
		}
		return text
	}
	if state() != "01" {
		t.Fatal(state())
	}
	in.release("1")
	in.release("unknown")
	if state() != "012" {
		t.Fatal(state())
	}
	if !in.withdraw(offers[3]) || in.withdraw(offers[2]) {
		t.Fatal("withdrawn wrongly")
	}
	in.admit(now.Add(constants.IntakeTime - 1))
	if state() != "012" {
		t.Fatal(state())
	}
	in.admit(clock.Now().Add(constants.IntakeTime))
	if state() != "0124" || in.bytes != half || len(in.admitted) != 1 {
		t.Fatal(state(), in.bytes)
	}
	// One that is larger than everything is let in alone.
	in.release("4")
	if big := in.offer("big", 3*constants.IntakeBytes, now); !admitted(big) || admitted(in.offer("next", 1, now)) {
		t.Fatal("a large job keeps others out, or is kept out")
	}
}

// A leader asks for a job that it does not know, says 202 for one that it has, and refuses an
// offer that waited too long or can't fit; a job that was refused makes room.
func TestOffersAreAnswered(t *testing.T) {
	term := startServingTerm(t, soleStore(t, simulation.NewDisk(31)), 1)
	offerOf := func(id string, bytes int) int {
		return term.Serve(&messages.JobCallRequest{Method: messages.MethodOffer, Host: "h", Path: "/b/", Job: id, BodyBytes: bytes, WaitMs: 150}).Status
	}
	if status := offerOf("a", constants.IntakeBytes); status != messages.StatusSendNow {
		t.Fatal(status)
	}
	if status := offerOf("b", 10); status != http.StatusServiceUnavailable {
		t.Fatal("let in beside a full intake: ", status)
	}
	if status := term.Serve(jobCallOf("a", 1)).Status; status != http.StatusAccepted {
		t.Fatal(status)
	}
	if status := offerOf("a", 10); status != http.StatusAccepted {
		t.Fatal("asked again for what it has: ", status)
	}
	if status := offerOf("b", constants.IntakeBytes); status != messages.StatusSendNow {
		t.Fatal("a durable job keeps its room: ", status)
	}
	// Seven items of 15 tokens do not fit a cap of 100.
	if status := term.Serve(jobCallOf("b", 7)).Status; status != http.StatusTooManyRequests {
		t.Fatal(status)
	}
	if status := offerOf("c", constants.IntakeBytes); status != messages.StatusSendNow {
		t.Fatal("a refused job keeps its room: ", status)
	}
	if status := term.Serve(jobCallOf("c", 5)).Status; status != http.StatusAccepted {
		t.Fatal(status)
	}
	if status := term.Serve(jobCallOf("d", 1)).Status; status != http.StatusTooManyRequests && status != http.StatusAccepted {
		t.Fatal(status)
	}
}
