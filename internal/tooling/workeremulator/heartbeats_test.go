package workeremulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
)

// TestHeartbeatsFollowTheTargetUntilItFails checks that heartbeats carry an increasing count, go to the
// target named in a response, and return to the controllers once that target fails.
func TestHeartbeatsFollowTheTargetUntilItFails(t *testing.T) {
	var lock sync.Mutex
	var paths []string
	var counts []int64
	serve := func(name, target string, status int) *httptest.Server {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			var call heartbeatBody
			_ = json.NewDecoder(request.Body).Decode(&call)
			lock.Lock()
			paths, counts = append(paths, name+request.URL.Path+" "+call.Phase), append(counts, call.Count)
			lock.Unlock()
			writer.WriteHeader(status)
			fmt.Fprintf(writer, `{"beat-target":%s}`, strconv.Quote(target))
		}))
		t.Cleanup(server.Close)
		return server
	}
	other := serve("other", "", 200)
	first := serve("first", other.Listener.Addr().String(), 200)
	worker, _, address, _ := start(t, plainSettings)
	sender := NewHeartbeatSender(worker, address, []string{first.Listener.Addr().String()})
	for count := 0; count < 2; count++ {
		if err := sender.SendHeartbeat(); err != nil {
			t.Fatal(err)
		}
	}
	other.Close()
	worker.Drain()
	if sender.SendHeartbeat() != nil || sender.Depart() != nil {
		t.Fatal("heartbeat or departure failed although the first controller responds")
	}
	want := "[first/-/Workers.Heartbeat/w1 steady other/-/Workers.Heartbeat/w1 steady first/-/Workers.Heartbeat/w1 draining first/-/Workers.Depart/w1 draining]"
	if fmt.Sprint(paths) != want || fmt.Sprint(counts) != "[1 2 3 4]" {
		t.Fatalf("calls %v with counts %v, want %s with counts [1 2 3 4]", paths, counts, want)
	}
}
