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

// admitted reports whether an offer was admitted.
func admitted(queued *offer) bool {
	select {
	case <-queued.admitted:
		return true
	default:
		return false
	}
}

// Jobs must be admitted in order of age while there is capacity. They free their capacity when they
// are durable, rejected, or not sent in time.
func TestIntakeAdmitsOldestFirst(t *testing.T) {
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
		t.Fatal("want a waiting offer withdrawn and an admitted one kept")
	}
	in.admit(now.Add(constants.IntakeTimeout - 1))
	if state() != "012" {
		t.Fatal(state())
	}
	in.admit(clock.Now().Add(constants.IntakeTimeout))
	if state() != "0124" || in.bytes != half || len(in.admitted) != 1 {
		t.Fatal(state(), in.bytes)
	}
	// A job larger than the whole capacity must be admitted alone.
	in.release("4")
	if big := in.offer("big", 3*constants.IntakeBytes, now); !admitted(big) || admitted(in.offer("next", 1, now)) {
		t.Fatal("want the large job admitted, and no other job beside it")
	}
}

// The leader must request an unknown job, respond with 202 to the offer of a job that it has, and
// reject an offer that times out or does not fit. A rejected job must free its capacity.
func TestOfferResponses(t *testing.T) {
	term := startServingTerm(t, soleStore(t, simulation.NewDisk(31)), 1)
	offerOf := func(id string, bytes int) int {
		return term.Serve(&messages.JobCallRequest{Method: messages.MethodOffer, Host: "h", Path: "/b/", Job: id, BodyBytes: bytes, WaitMs: 150}).Status
	}
	if status := offerOf("a", constants.IntakeBytes); status != messages.StatusSendNow {
		t.Fatal(status)
	}
	if status := offerOf("b", 10); status != http.StatusServiceUnavailable {
		t.Fatal("offer admitted although the intake is full: status ", status)
	}
	if status := term.Serve(jobCallOf("a", 1)).Status; status != http.StatusAccepted {
		t.Fatal(status)
	}
	if status := offerOf("a", 10); status != http.StatusAccepted {
		t.Fatal("known job requested again: status ", status)
	}
	if status := offerOf("b", constants.IntakeBytes); status != messages.StatusSendNow {
		t.Fatal("durable job still uses capacity: status ", status)
	}
	// Seven items of 15 tokens do not fit a cap of 100.
	if status := term.Serve(jobCallOf("b", 7)).Status; status != http.StatusTooManyRequests {
		t.Fatal(status)
	}
	if status := offerOf("c", constants.IntakeBytes); status != messages.StatusSendNow {
		t.Fatal("rejected job still uses capacity: status ", status)
	}
	if status := term.Serve(jobCallOf("c", 5)).Status; status != http.StatusAccepted {
		t.Fatal(status)
	}
	if status := term.Serve(jobCallOf("d", 1)).Status; status != http.StatusTooManyRequests && status != http.StatusAccepted {
		t.Fatal(status)
	}
}
