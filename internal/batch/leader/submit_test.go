package leader

import (
	"fmt"
	"sync"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// Concurrent submissions compete for the rest of a quota. The quota must never be exceeded, and a job
// submitted through several nodes at once must count once.
func TestQuotaUnderRaces(t *testing.T) {
	term := startServingTerm(t, soleStore(t, simulation.NewDisk(1)), 1)
	var group sync.WaitGroup
	var lock sync.Mutex
	statuses := map[int]int{}
	for number := 0; number < 24; number++ {
		group.Add(1)
		go func() {
			defer group.Done()
			// Each job of 30 tokens is sent twice; three of them fit into 100.
			resp := term.submitJob(jobCallOf(fmt.Sprint("lot", number/2), 2))
			lock.Lock()
			defer lock.Unlock()
			statuses[resp.Status]++
		}()
	}
	group.Wait()
	if statuses[202] < 3 || statuses[202] > 6 || statuses[202]+statuses[429] != 24 || len(term.jobs.Jobs()) != 3 {
		t.Fatalf("responses per status are %v, %d jobs accepted; want 3 to 6 of status 202, all others 429, and 3 jobs",
			statuses, len(term.jobs.Jobs()))
	}
	// An accepted job that is submitted again to a later leader is still accepted.
	accepted := term.jobs.Jobs()[0].ID
	term.Close("another process takes over")
	next := startServingTerm(t, term.process, 2)
	if resp := next.submitJob(jobCallOf(accepted, 2)); resp.Status != 202 || len(next.jobs.Jobs()) != 3 {
		t.Fatalf("accepted job submitted to a later leader: status %d, %d jobs; want 202 and 3",
			resp.Status, len(next.jobs.Jobs()))
	}
}

// The leader changes just after a job was ended. Once the end was acknowledged, no later leader may run
// an item of the job, and its listed outputs must stay.
func TestEndedJobStaysEndedAfterTakeover(t *testing.T) {
	disk := simulation.NewDisk(2)
	term := startServingTerm(t, soleStore(t, disk), 1)
	if resp := term.submitJob(jobCallOf("lot", 3)); resp.Status != 202 {
		t.Fatalf("submission: status %d, want 202", resp.Status)
	}
	req := &messages.AcquireRequest{Executor: "d", Incarnation: 1, Capacity: []messages.ServiceCapacity{{Service: "s", Count: 2}}}
	items := term.Acquire(req).Items
	if len(items) != 2 {
		t.Fatalf("acquired %d items, want 2", len(items))
	}
	accept := func(i int, text string) messages.AckVerdict {
		ack := messages.Acknowledgement{Kind: messages.AckAccept, Number: items[i].Number, Job: "lot", Item: items[i].Item.ID, Output: []byte(text)}
		return term.Acknowledge(&messages.AcknowledgeRequest{Executor: "d", Incarnation: 1, Entries: []messages.Acknowledgement{ack}}).Verdicts[0]
	}
	item := items[0].Item
	// A repeated acknowledgement gets the same verdict and counts once.
	first, repeated := accept(0, "text"), accept(0, "text")
	if first != messages.AckRecorded || repeated != messages.AckRecorded {
		t.Fatalf("verdicts on an output and its repetition are %v and %v, want %v for both",
			first, repeated, messages.AckRecorded)
	}
	if resp := term.endJob(&messages.JobCallRequest{Job: "lot"}); resp.Status != 200 {
		t.Fatalf("end of the job: status %d, want 200", resp.Status)
	}
	// The result of a run that was in progress is not accepted any more.
	if accept(1, "late") != messages.AckTerminal || len(term.Acquire(req).Items) != 0 {
		t.Fatal("ended job accepts a result or dispatches an item")
	}
	term.Close("another process takes over")
	disk.PowerLoss()
	next := startServingTerm(t, soleStore(t, disk), 2)
	job := next.jobs.Job("lot")
	if job == nil || !job.Ended || job.Open() || len(job.Listings) != 1 || job.Listings[0].Item != item.ID {
		t.Fatalf("job after the takeover is %+v, want it ended, not open, with one listing of item %s", job, item.ID)
	}
	for _, jobItem := range job.Items {
		if !jobItem.Terminal() && jobItem.StartRun() != 0 {
			t.Fatal("item of an ended job would run: ", jobItem.ID)
		}
	}
	if resp := next.endJob(&messages.JobCallRequest{Job: "lot"}); resp.Status != 200 {
		t.Fatalf("repeated end of the job: status %d, want 200", resp.Status)
	}
	text := string(next.readJob(&messages.JobCallRequest{Job: "lot"}).Body)
	if want := fmt.Sprintf(`{"sum":3,"next-token":1,"outputs":[{"id":"%s","phase":"settled","text":"text"}]}`, item.ID); text != want {
		t.Fatalf("page is %s, want %s", text, want)
	}
}

// Malformed, too large and unknown jobs must be rejected with the corresponding status.
func TestMalformedJobsAreRejected(t *testing.T) {
	term := startServingTerm(t, soleStore(t, simulation.NewDisk(3)), 1)
	smuggled := jobCallOf("x", 1)
	smuggled.Body = []byte(`{"requests":[{"id":"i","path":"/b/x","headers":{"A":"b\r\nX: y"},"body":"aGk=","tokens":1}]}`)
	for status, calls := range map[int][]*messages.JobCallRequest{
		400: {{Job: "x", Host: "h", Path: "/b/", Body: []byte("{")}, jobCallOf("x", 0), smuggled},
		413: {jobCallOf("x", 201)},
		429: {jobCallOf("x", 7)},
	} {
		for _, call := range calls {
			if resp := term.submitJob(call); resp.Status != status {
				t.Errorf("job %s of %d bytes: status %d, body %s; want status %d",
					call.Job, len(call.Body), resp.Status, resp.Body, status)
			}
		}
	}
	if term.readJob(&messages.JobCallRequest{Job: "x"}).Status != 404 || term.itemBody(&messages.JobCallRequest{Job: "x"}).Status != 404 || term.endJob(&messages.JobCallRequest{Job: "x"}).Status != 404 {
		t.Error("call on an unknown job did not return 404")
	}
}

// An expired submission must not be accepted even if the job fits. A job that was already accepted must
// still be acknowledged.
func TestSubmissionExpires(t *testing.T) {
	term := startServingTerm(t, soleStore(t, simulation.NewDisk(6)), 1)
	call := jobCallOf("lot", 1)
	call.ExpiresAt = int64(clock.Now())
	if resp := term.submitJob(call); !resp.NotLeader || term.jobs.Job("lot") != nil {
		t.Fatalf("expired submission: status %d, want a response that this process does not lead, and no job", resp.Status)
	}
	call.ExpiresAt = int64(clock.Now().Add(clock.Milliseconds(60_000)))
	if resp := term.submitJob(call); resp.Status != 202 {
		t.Fatalf("submission before its expiry: status %d, want 202", resp.Status)
	}
	call.ExpiresAt = int64(clock.Now())
	if resp := term.submitJob(call); resp.Status != 202 {
		t.Fatalf("expired submission of an accepted job: status %d, want 202", resp.Status)
	}
}
