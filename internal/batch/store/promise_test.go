package store

import (
	"fmt"
	"sync"
	"testing"

	"lemonarch/internal/batch/leader"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/tooling/simulation"
)

// put hands a call in as a frame brings it.
func sendCall(t *testing.T, server *Server, call *messages.JobCallRequest) *messages.JobCallResponse {
	t.Helper()

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
// whatever has changed in between; the same job in a new question is.
func TestSecondCopyOfARejectedSubmission(t *testing.T) {
	server := soleLeader(t, simulation.NewDisk(4))
	full := submitCall("full", 6)
	full.RequestID = "f#1"
	if resp := sendCall(t, server, full); resp.Status != 202 {
		t.Fatal(resp.Status)
	}
	late := submitCall("late", 2)
	late.RequestID = "f#2"
	if resp := sendCall(t, server, late); resp.Status != 429 {
		t.Fatal(resp.Status)
	}
	if resp := sendCall(t, server, &messages.JobCallRequest{Method: "DELETE", Job: "full"}); resp.Status != 200 {
		t.Fatal(resp.Status)
	}
	if resp := sendCall(t, server, late); resp.Status != 504 || jobKnown(t, server, "late") {
		t.Fatal("a refused question was taken: ", resp.Status)
	}
	late.RequestID = "f#3"
	if resp := sendCall(t, server, late); resp.Status != 202 {
		t.Fatal(resp.Status)
	}
	// Sent on by one that held nothing, then met by the same process as the leader.
	server.currentTerm().Close("another takes over")
	moved := submitCall("moved", 2)
	moved.RequestID = "f#4"
	if resp := sendCall(t, server, moved); !resp.NotLeader {
		t.Fatal(resp.Status)
	}
	startTerm(t, server, 2)
	if resp := sendCall(t, server, moved); resp.Status != 504 || jobKnown(t, server, "moved") {
		t.Fatal("a question that was sent on was taken: ", resp.Status)
	}
}

// Many copies of many requests race: each request has one outcome, and a job
// stands only if one of its requests was not refused.
func TestCopiesOfSubmissionsRace(t *testing.T) {
	server := soleLeader(t, simulation.NewDisk(5))
	var group sync.WaitGroup
	var lock sync.Mutex
	refused, taken := map[string]bool{}, map[string]bool{}
	for number := 0; number < 60; number++ {
		call := submitCall(fmt.Sprint("lot", number%10), 2)
		// Six copies a job make three requests of two copies.
		call.RequestID = fmt.Sprint(number%10, "/", number/20)
		group.Add(1)
		go func() {
			defer group.Done()
			resp := sendCall(t, server, call)
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
	if jobCount(server) != 3 {
		t.Fatal(jobCount(server))
	}
}

// The time to live that a frame carries is counted from its arrival.
func TestTimeToLiveCountsFromTheArrival(t *testing.T) {
	call, now := &messages.JobCallRequest{TTLMs: 60_000}, clock.Instant(7)
	soleLeader(t, simulation.NewDisk(6)).isFirstCopy(call, now)
	if leader.Expired(call, now.Add(clock.Milliseconds(59_999))) || !leader.Expired(call, now.Add(clock.Milliseconds(60_000))) {
		t.Fatal(call.ExpiresAt)
	}
}
