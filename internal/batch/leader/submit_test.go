package leader

import (
	"fmt"
	"sync"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// Calls of many nodes race for the last of the quota: the quota is never passed, and a job
// that comes over several nodes at once is one job.
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
		t.Fatal(statuses, len(term.jobs.Jobs()))
	}
	// Resent to whoever leads later, a taken job is still taken.
	taken := term.jobs.Jobs()[0].ID
	term.Close("another takes over")
	next := startServingTerm(t, term.process, 2)
	if resp := next.submitJob(jobCallOf(taken, 2)); resp.Status != 202 || len(next.jobs.Jobs()) != 3 {
		t.Fatal(resp.Status, len(next.jobs.Jobs()))
	}
}

// A job is ended while its leadership changes hands: once the end was told, no later
// leader runs any of it, and what was listed stays.
func TestCancelDuringTakeover(t *testing.T) {
	disk := simulation.NewDisk(2)
	term := startServingTerm(t, soleStore(t, disk), 1)
	if resp := term.submitJob(jobCallOf("lot", 3)); resp.Status != 202 {
		t.Fatal(resp.Status)
	}
	req := &messages.AcquireRequest{Executor: "d", Incarnation: 1, Capacity: []messages.ServiceCapacity{{Service: "s", Count: 2}}}
	given := term.Acquire(req).Items
	if len(given) != 2 {
		t.Fatal("acquired ", len(given))
	}
	accept := func(i int, text string) messages.AckVerdict {
		entry := messages.Acknowledgement{Kind: messages.AckAccept, Number: given[i].Number, Job: "lot", Item: given[i].Item.ID, Output: []byte(text)}
		return term.Acknowledge(&messages.AcknowledgeRequest{Executor: "d", Incarnation: 1, Entries: []messages.Acknowledgement{entry}}).Verdicts[0]
	}
	item := given[0].Item
	// Told again it is answered the same, and counts once.
	first, again := accept(0, "text"), accept(0, "text")
	if first != messages.AckRecorded || again != messages.AckRecorded {
		t.Fatal("output not taken")
	}
	if resp := term.endJob(&messages.JobCallRequest{Job: "lot"}); resp.Status != 200 {
		t.Fatal(resp.Status)
	}
	// A run that was under way brings nothing any more.
	if accept(1, "late") != messages.AckTerminal || len(term.Acquire(req).Items) != 0 {
		t.Fatal("an ended lot goes on")
	}
	term.Close("another takes over")
	disk.PowerLoss()
	next := startServingTerm(t, soleStore(t, disk), 2)
	job := next.jobs.Job("lot")
	if job == nil || !job.Ended || job.Open() || len(job.Listings) != 1 || job.Listings[0].Item != item.ID {
		t.Fatalf("%+v", job)
	}
	for _, each := range job.Items {
		if !each.Terminal() && each.StartRun() != 0 {
			t.Fatal("an item of an ended lot would run: ", each.ID)
		}
	}
	if resp := next.endJob(&messages.JobCallRequest{Job: "lot"}); resp.Status != 200 {
		t.Fatal("a repeated end: ", resp.Status)
	}
	text := string(next.readJob(&messages.JobCallRequest{Job: "lot"}).Body)
	if want := fmt.Sprintf(`{"sum":3,"next-token":1,"outputs":[{"id":"%s","phase":"settled","text":"text"}]}`, item.ID); text != want {
		t.Fatal(text)
	}
}

// What is malformed, too large or unknown is told so.
func TestMalformedJobsAreRejected(t *testing.T) {
	term := startServingTerm(t, soleStore(t, simulation.NewDisk(3)), 1)
	smuggled := jobCallOf("x", 1)
	smuggled.Body = []byte(`{"requests":[{"id":"i","path":"/b/x","headers":{"A":"b\r\nX: y"},"body":"aGk=","tokens":1}]}`)
	for status, call := range map[int][]*messages.JobCallRequest{
		400: {{Job: "x", Host: "h", Path: "/b/", Body: []byte("{")}, jobCallOf("x", 0), smuggled},
		413: {jobCallOf("x", 201)},
		429: {jobCallOf("x", 7)},
	} {
		for _, each := range call {
			if resp := term.submitJob(each); resp.Status != status {
				t.Error(status, resp.Status, string(resp.Body))
			}
		}
	}
	if term.readJob(&messages.JobCallRequest{Job: "x"}).Status != 404 || term.itemBody(&messages.JobCallRequest{Job: "x"}).Status != 404 || term.endJob(&messages.JobCallRequest{Job: "x"}).Status != 404 {
		t.Error("an unknown lot was known")
	}
}

// What has outlived its time is not taken, even where it fits; a job that stands
// already is told so all the same.
func TestSubmissionExpires(t *testing.T) {
	term := startServingTerm(t, soleStore(t, simulation.NewDisk(6)), 1)
	call := jobCallOf("lot", 1)
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
}
