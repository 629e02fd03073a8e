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

// Beats carry a rising count, follow the told target, and forget it once it fails.
func TestHeartbeats(t *testing.T) {
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
	beater := NewBeater(worker, address, []string{first.Listener.Addr().String()})
	for count := 0; count < 2; count++ {
		if err := beater.Beat(); err != nil {
			t.Fatal(err)
		}
	}
	other.Close()
	worker.Leave()
	if beater.Beat() != nil || beater.Depart() != nil {
		t.Fatal("the first control still answers")
	}
	want := "[first/-/Workers.Heartbeat/w1 steady other/-/Workers.Heartbeat/w1 steady first/-/Workers.Heartbeat/w1 draining first/-/Workers.Depart/w1 draining]"
	if fmt.Sprint(paths) != want || fmt.Sprint(counts) != "[1 2 3 4]" {
		t.Fatal(paths, counts)
	}
}
