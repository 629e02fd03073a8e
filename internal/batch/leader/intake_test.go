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
		t.Fatalf("admitted offers are %q at first, want %q", state(), "01")
	}
	in.release("1")
	in.release("unknown")
	if state() != "012" {
		t.Fatalf("admitted offers are %q after the release of 1, want %q", state(), "012")
	}
	if !in.withdraw(offers[3]) || in.withdraw(offers[2]) {
		t.Fatal("want a waiting offer withdrawn and an admitted one kept")
	}
	in.admit(now.Add(constants.IntakeTimeout - 1))
	if state() != "012" {
		t.Fatalf("admitted offers are %q before the timeout, want %q", state(), "012")
	}
	in.admit(clock.Now().Add(constants.IntakeTimeout))
	if state() != "0124" || in.bytes != half || len(in.admitted) != 1 {
		t.Fatalf("admitted offers are %q after the timeout, %d jobs with %d bytes count; want %q, 1 job and %d bytes",
			state(), len(in.admitted), in.bytes, "0124", half)
	}
	// A job larger than the whole capacity must be admitted alone.
	in.release("4")
	if big := in.offer("big", 3*constants.IntakeBytes, now); !admitted(big) || admitted(in.offer("next", 1, now)) {
		t.Fatal("want the large job admitted, and no other job beside it")
	}
}

// The leader must request an unknown job, respond with 202 to the offer of a job that it has, and
// reject an offer that waits too long for capacity and a job above the backlog cap. A job must free its
// capacity when it becomes durable or is rejected.
func TestOfferResponses(t *testing.T) {
	term := startServingTerm(t, soleStore(t, simulation.NewDisk(31)), 1)
	offerOf := func(id string, bytes int) int {
		return term.Serve(&messages.JobCallRequest{Method: messages.MethodOffer, Host: "h", Path: "/b/", Job: id, BodyBytes: bytes, WaitMs: 150}).Status
	}
	if status := offerOf("a", constants.IntakeBytes); status != messages.StatusSendNow {
		t.Fatalf("offer of an unknown job: status %d, want %d", status, messages.StatusSendNow)
	}
	if status := offerOf("b", 10); status != http.StatusServiceUnavailable {
		t.Fatalf("offer while the intake is full: status %d, want %d", status, http.StatusServiceUnavailable)
	}
	if status := term.Serve(jobCallOf("a", 1)).Status; status != http.StatusAccepted {
		t.Fatalf("admitted job: status %d, want %d", status, http.StatusAccepted)
	}
	if status := offerOf("a", 10); status != http.StatusAccepted {
		t.Fatalf("offer of a known job: status %d, want %d", status, http.StatusAccepted)
	}
	if status := offerOf("b", constants.IntakeBytes); status != messages.StatusSendNow {
		t.Fatalf("offer after the admitted job became durable: status %d, want %d", status, messages.StatusSendNow)
	}
	// Seven items of 15 tokens do not fit a cap of 100.
	if status := term.Serve(jobCallOf("b", 7)).Status; status != http.StatusTooManyRequests {
		t.Fatalf("job of 105 tokens: status %d, want %d", status, http.StatusTooManyRequests)
	}
	if status := offerOf("c", constants.IntakeBytes); status != messages.StatusSendNow {
		t.Fatalf("offer after the admitted job was rejected: status %d, want %d", status, messages.StatusSendNow)
	}
	if status := term.Serve(jobCallOf("c", 5)).Status; status != http.StatusAccepted {
		t.Fatalf("job of 75 tokens: status %d, want %d", status, http.StatusAccepted)
	}
	if status := term.Serve(jobCallOf("d", 1)).Status; status != http.StatusTooManyRequests && status != http.StatusAccepted {
		t.Fatalf("job that was not offered: status %d, want %d or %d", status, http.StatusTooManyRequests, http.StatusAccepted)
	}
}
