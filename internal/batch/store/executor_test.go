package store

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// fakeWorker streams four events for each item. For some items the id selects another behaviour:
// "mixed...-0" responds with 422, "mixed...-1" always with 500, the first attempt at
// "mixed...-2" is cut off after two events, and "stuck..." hangs after its first event.
type fakeWorker struct {
	lock sync.Mutex
	// attempts counts the requests for each item; resumed contains the last Last-Event-Id of each item.
	attempts map[string]int
	resumed  map[string]string
	// hanging receives the id of each item that begins to hang, disconnected that of each whose
	// connection is closed afterwards.
	hanging      chan string
	disconnected chan string
}

func (s *fakeWorker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Lemonarch-Attempt-Id")
	s.lock.Lock()
	s.attempts[id]++
	attempt := s.attempts[id]
	if last := request.Header.Get("Last-Event-Id"); last != "" {
		s.resumed[id] = last
	}
	s.lock.Unlock()
	header := writer.Header()
	header.Set("Lemonarch-Attempt-Id", id)
	header.Set("Lemonarch-Server-Seal", "s")
	switch {
	case strings.HasSuffix(id, "-0") && strings.HasPrefix(id, "mixed"):
		writer.WriteHeader(http.StatusUnprocessableEntity)
		return
	case strings.HasSuffix(id, "-1") && strings.HasPrefix(id, "mixed"):
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	header.Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for event := from + 1; event <= 4; event++ {
		fmt.Fprintf(writer, "id: %d\ndata: %s.%d\n\n", event, id, event)
		writer.(http.Flusher).Flush()
		if strings.HasSuffix(id, "-2") && strings.HasPrefix(id, "mixed") && event == 2 && attempt == 1 {
			panic(http.ErrAbortHandler)
		}
		if strings.HasPrefix(id, "stuck") {
			s.hanging <- id
			<-request.Context().Done()
			s.disconnected <- id
			return
		}
	}
}

// leaderWithWorker starts a store that leads, runs items, and has one worker.
func leaderWithWorker(t *testing.T, seed int64) (*Server, *fakeWorker) {
	t.Helper()

	worker := &fakeWorker{attempts: map[string]int{}, resumed: map[string]string{}, hanging: make(chan string, 9), disconnected: make(chan string, 9)}
	upstream := httptest.NewServer(worker)
	t.Cleanup(upstream.Close)
	server := soleLeader(t, simulation.NewDisk(seed))
	server.Gossip.Scheduler.SetConfig(server.Node.Config())
	server.Gossip.Scheduler.Merge([]messages.Worker{{ID: "w", Backend: "s", Address: strings.TrimPrefix(upstream.URL, "http://"), Capacity: 12, CallCount: 1}}, clock.Now())
	server.executor.Start()
	t.Cleanup(server.Node.Shutdown)
	return server, worker
}

// outputsPage is the response to a read of a job (PROTOCOL).
type outputsPage struct {
	Outputs []listedOutput `json:"outputs"`
}

// listedOutput is one output in an outputsPage.
type listedOutput struct {
	ID    string `json:"id"`
	Phase string `json:"phase"`
	Text  string `json:"text"`
}

// outputs reads a job until sum items are listed, for at most 15 s, and returns them by item id.
func outputs(t *testing.T, server *Server, jobID string, sum int) map[string]listedOutput {
	t.Helper()

	found := map[string]listedOutput{}
	end := clock.Now().Add(clock.Milliseconds(15_000))
	for len(found) < sum && clock.Now() < end {
		page := outputsPage{}
		if err := json.Unmarshal(server.currentTerm().Serve(&messages.JobCallRequest{Method: http.MethodGet, Job: jobID, Cursor: len(found), WaitMs: 1000}).Body, &page); err != nil {
			t.Fatal(err)
		}
		for _, output := range page.Outputs {
			if _, twice := found[output.ID]; twice {
				t.Fatal("item is listed twice: ", output.ID)
			}
			found[output.ID] = output
		}
	}
	if len(found) != sum {
		t.Fatalf("got %d listed items, want %d", len(found), sum)
	}
	return found
}

// An executor derives its acknowledgement from the worker's stream: a complete stream is an
// ACCEPT, a broken one a RELEASE with the events so far, a 500 a RELEASE that counts as a failed
// attempt, and a 422 a REJECT.
func TestExecutorDerivesAcknowledgements(t *testing.T) {
	server, worker := leaderWithWorker(t, 11)
	if resp := server.currentTerm().Serve(submitCall("mixed", 5)); resp.Status != 202 {
		t.Fatalf("submission returned status %d, want 202", resp.Status)
	}
	for id, output := range outputs(t, server, "mixed", 5) {
		complete := fmt.Sprintf("%s.1\n%s.2\n%s.3\n%s.4", id, id, id, id)
		abandoned := strings.HasSuffix(id, "-0") || strings.HasSuffix(id, "-1")
		if (output.Phase == "abandoned") != abandoned || (!abandoned && output.Text != complete) {
			t.Fatalf("got output %+v, want abandoned %v, or else the text %q", output, abandoned, complete)
		}
	}
	worker.lock.Lock()
	defer worker.lock.Unlock()
	// The route allows two attempts.
	if worker.attempts["mixed-1"] != 2 || worker.attempts["mixed-0"] != 1 || worker.resumed["mixed-2"] != "2" {
		t.Fatalf("got attempts %v and resumptions %v, want mixed-1 attempted twice, mixed-0 once, and mixed-2 resumed after event 2", worker.attempts, worker.resumed)
	}
}

// Ending a job stops its runs at once, and none of its items is started again.
func TestEndOfAJobStopsRuns(t *testing.T) {
	server, worker := leaderWithWorker(t, 12)
	if resp := server.currentTerm().Serve(submitCall("stuck", 3)); resp.Status != 202 {
		t.Fatalf("submission returned status %d, want 202", resp.Status)
	}
	started := map[string]bool{}
	for len(started) < 3 {
		select {
		case id := <-worker.hanging:
			started[id] = true
		case <-clock.After(clock.Milliseconds(10_000)):
			t.Fatal("not all items were started within 10 s: ", started)
		}
	}
	if resp := server.currentTerm().Serve(&messages.JobCallRequest{Method: http.MethodDelete, Job: "stuck"}); resp.Status != 200 {
		t.Fatalf("end of the job returned status %d, want 200", resp.Status)
	}
	for count := 0; count < 3; count++ {
		select {
		case <-worker.disconnected:
		case <-clock.After(clock.Milliseconds(1500)):
			t.Fatal("runs continue after the end of their job; stopped so far: ", count)
		}
	}
	// The next job runs to completion; no item of the ended job runs meanwhile.
	if resp := server.currentTerm().Serve(submitCall("next", 2)); resp.Status != 202 {
		t.Fatalf("submission returned status %d, want 202", resp.Status)
	}
	outputs(t, server, "next", 2)
	worker.lock.Lock()
	defer worker.lock.Unlock()
	for id, attempts := range worker.attempts {
		if strings.HasPrefix(id, "stuck") && attempts != 1 {
			t.Fatal("item was started again after the end of its job: ", id)
		}
	}
}
