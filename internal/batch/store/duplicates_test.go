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

// sendCall passes a call to the server as if it had arrived in a frame.
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

// A second copy of a submission that was rejected, or that was referred to another leader, must
// not be accepted, whatever has changed in between: its sender already has the response to the
// first copy. The same job under a new request ID is accepted.
func TestSecondCopyOfARejectedSubmissionIsNotAccepted(t *testing.T) {
	server := soleLeader(t, simulation.NewDisk(4))
	full := submitCall("full", 6)
	full.RequestID = "f#1"
	if resp := sendCall(t, server, full); resp.Status != 202 {
		t.Fatalf("submission that fills the backlog returned status %d, want 202", resp.Status)
	}
	late := submitCall("late", 2)
	late.RequestID = "f#2"
	if resp := sendCall(t, server, late); resp.Status != 429 {
		t.Fatalf("submission with a full backlog returned status %d, want 429", resp.Status)
	}
	if resp := sendCall(t, server, &messages.JobCallRequest{Method: "DELETE", Job: "full"}); resp.Status != 200 {
		t.Fatalf("end of the job returned status %d, want 200", resp.Status)
	}
	if resp := sendCall(t, server, late); resp.Status != 504 || jobKnown(t, server, "late") {
		t.Fatalf("second copy of a rejected submission: status %d, want 504 and no job", resp.Status)
	}
	late.RequestID = "f#3"
	if resp := sendCall(t, server, late); resp.Status != 202 {
		t.Fatalf("submission under a new request ID returned status %d, want 202", resp.Status)
	}
	// The process does not lead when the first copy arrives, and leads when the second arrives.
	server.currentTerm().Close("another takes over")
	moved := submitCall("moved", 2)
	moved.RequestID = "f#4"
	if resp := sendCall(t, server, moved); !resp.NotLeader {
		t.Fatalf("submission to a process that does not lead returned status %d, want a referral to the leader", resp.Status)
	}
	startTerm(t, server, 2)
	if resp := sendCall(t, server, moved); resp.Status != 504 || jobKnown(t, server, "moved") {
		t.Fatalf("second copy of a submission referred to another leader: status %d, want 504 and no job", resp.Status)
	}
}

// Copies of many submissions race. Each request must have one outcome, and a job must exist only
// if one of its requests was not rejected.
func TestRacingCopiesOfARequestHaveOneOutcome(t *testing.T) {
	server := soleLeader(t, simulation.NewDisk(5))
	var group sync.WaitGroup
	var lock sync.Mutex
	rejected, accepted := map[string]bool{}, map[string]bool{}
	for number := 0; number < 60; number++ {
		call := submitCall(fmt.Sprint("lot", number%10), 2)
		// The six calls for a job are three requests, each sent twice.
		call.RequestID = fmt.Sprint(number%10, "/", number/20)
		group.Add(1)
		go func() {
			defer group.Done()
			resp := sendCall(t, server, call)
			lock.Lock()
			defer lock.Unlock()
			rejected[call.RequestID] = rejected[call.RequestID] || resp.Status == 429
			accepted[call.RequestID] = accepted[call.RequestID] || resp.Status == 202
		}()
	}
	group.Wait()
	for requestID := range rejected {
		if rejected[requestID] && accepted[requestID] {
			t.Errorf("request %s was both rejected and accepted, want one outcome", requestID)
		}
	}
	if jobCount(server) != 3 {
		t.Fatalf("got %d jobs, want 3", jobCount(server))
	}
}

// A call's time to live counts from its arrival.
func TestTimeToLiveCountsFromTheArrival(t *testing.T) {
	call, now := &messages.JobCallRequest{TTLMs: 60_000}, clock.Instant(7)
	soleLeader(t, simulation.NewDisk(6)).isFirstCopy(call, now)
	if leader.Expired(call, now.Add(clock.Milliseconds(59_999))) || !leader.Expired(call, now.Add(clock.Milliseconds(60_000))) {
		t.Fatalf("call expires at %d, want 60 s after its arrival at %d", call.ExpiresAt, now)
	}
}
