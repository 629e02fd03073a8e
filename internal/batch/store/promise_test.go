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
func put(t *testing.T, server *Server, call *messages.JobCallRequest) *messages.JobCallResponse {
	body, err := transport.Encode(call)
	if err != nil {
		t.Fatal(err)
	}
	received := &messages.JobCallRequest{}
	if err = transport.Decode(body, received); err != nil {
		t.Fatal(err)
	}
	resp, err := server.handleJobCall(received)
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// A question that was refused, or sent on, is never taken by its second copy,
// whatever has changed in between; the same lot in a new question is.
func TestSecondCopyOfARefusedHandIn(t *testing.T) {
	term := rule(t, soleLocker(t, simulation.NewDisk(4)), 1)
	full := lotCallOf("full", 6)
	full.RequestID = "f#1"
	if resp := put(t, term.server, full); resp.Status != 202 {
		t.Fatal(resp.Status)
	}
	late := lotCallOf("late", 2)
	late.RequestID = "f#2"
	if resp := put(t, term.server, late); resp.Status != 429 {
		t.Fatal(resp.Status)
	}
	if resp := put(t, term.server, &messages.JobCallRequest{Method: "DELETE", Job: "full"}); resp.Status != 200 {
		t.Fatal(resp.Status)
	}
	if resp := put(t, term.server, late); resp.Status != 504 || term.jobs.Job("late") != nil {
		t.Fatal("a refused question was taken: ", resp.Status)
	}
	late.RequestID = "f#3"
	if resp := put(t, term.server, late); resp.Status != 202 {
		t.Fatal(resp.Status)
	}
	// Sent on by one that held nothing, then met by the same process as the holder.
	term.close("another takes over")
	moved := lotCallOf("moved", 2)
	moved.RequestID = "f#4"
	if resp := put(t, term.server, moved); !resp.NotLeader {
		t.Fatal(resp.Status)
	}
	next := rule(t, term.server, 2)
	if resp := put(t, term.server, moved); resp.Status != 504 || next.jobs.Job("moved") != nil {
		t.Fatal("a question that was sent on was taken: ", resp.Status)
	}
}

// Many copies of many questions race: each question has one outcome, and a lot
// stands only if one of its questions was not refused.
func TestCopiesOfHandInsRace(t *testing.T) {
	term := rule(t, soleLocker(t, simulation.NewDisk(5)), 1)
	var group sync.WaitGroup
	var lock sync.Mutex
	refused, taken := map[string]bool{}, map[string]bool{}
	for number := 0; number < 60; number++ {
		call := lotCallOf(fmt.Sprint("lot", number%10), 2)
		// Six copies a lot make three questions of two copies.
		call.RequestID = fmt.Sprint(number%10, "/", number/20)
		group.Add(1)
		go func() {
			defer group.Done()
			resp := put(t, term.server, call)
			lock.Lock()
			defer lock.Unlock()
			refused[call.RequestID] = refused[call.RequestID] || resp.Status == 429
			taken[call.RequestID] = taken[call.RequestID] || resp.Status == 202
		}()
	}
	group.Wait()
	for ask := range refused {
		if refused[ask] && taken[ask] {
			t.Error("two outcomes of ", ask)
		}
	}
	if len(term.jobs.Jobs()) != 3 {
		t.Fatal(len(term.jobs.Jobs()))
	}
}

// What has outlived its time is not taken, even where it fits; a lot that stands
// already is told so all the same.
func TestHandInIsNotTakenAfterItsTime(t *testing.T) {
	term := rule(t, soleLocker(t, simulation.NewDisk(6)), 1)
	call := lotCallOf("lot", 1)
	call.ExpiresAt = int64(clock.Now())
	if resp := term.submitJob(call); !resp.NotLeader || term.jobs.Job("lot") != nil {
		t.Fatal("taken after its time: ", resp.Status)
	}
	call.ExpiresAt = int64(clock.Now().Add(clock.Milliseconds(60_000)))
	if resp := term.submitJob(call); resp.Status != 202 {
		t.Fatal(resp.Status)
	}
	call.ExpiresAt = int64(clock.Now())
	if resp := term.submitJob(call); resp.Status != 202 {
		t.Fatal(resp.Status)
	}
	// The span that a frame carries is counted from its arrival.
	slow, now := &messages.JobCallRequest{TTLMs: 60_000}, clock.Instant(7)
	term.server.firstSeen(slow, now)
	if expired(slow, now.Add(clock.Milliseconds(59_999))) || !expired(slow, now.Add(clock.Milliseconds(60_000))) {
		t.Fatal(slow.ExpiresAt)
	}
}
