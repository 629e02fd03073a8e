package loadgen

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/contexts"
	"lemonarch/internal/tooling/lab"
	"lemonarch/internal/tooling/workeremulator"
)

// TestSessionKeepsItsConnection checks that a session sends all its requests on one connection until a
// response announces the close, and then on another one.
func TestSessionKeepsItsConnection(t *testing.T) {
	const closesAt, end = 20, 60
	var lock sync.Mutex
	var ports []string
	done, stop := contexts.WithCancel(contexts.Background())
	defer stop()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, port, _ := net.SplitHostPort(request.RemoteAddr)
		attempt := request.Header.Get("Lemonarch-Attempt-Id")
		lock.Lock()
		ports = append(ports, port)
		count := len(ports)
		lock.Unlock()
		if count == closesAt {
			writer.Header().Set("Connection", "close")
		}
		if count >= end {
			stop()
		}
		writer.Header().Set("Lemonarch-Attempt-Id", attempt)
		writer.Header().Set("Lemonarch-Server-Seal", workeremulator.Seal("w", attempt))
		_, _ = writer.Write([]byte(workeremulator.PlainBody(attempt, []byte("order "+request.URL.Path[strings.LastIndex(request.URL.Path, "/")+1:]))))
	}))
	defer server.Close()
	options := NewOptions()
	options.Mix, _ = ParseMix("status=1")
	options.For, options.JobRate = time.Minute, 0
	info := &lab.FleetInfo{Label: "test", Ingress: []string{server.Listener.Addr().String()}, Stride: 4, Routes: testRoutes}
	routes, err := options.routesOf(info)
	if err != nil {
		t.Fatal(err)
	}
	load := newRun(options, info, routes, "t-")
	load.pause = func(clock.Duration) {}
	load.runSession(done, clock.Now(), 0)
	changes := 0
	for i := 1; i < len(ports); i++ {
		if ports[i] != ports[i-1] {
			changes++
		}
	}
	if changes != 1 || ports[closesAt-1] == ports[closesAt] || load.result.Broken > 0 {
		t.Errorf("the session changed its connection %d times in %d requests, findings %v; want once, after request %d", changes, len(ports), load.result.Findings, closesAt)
	}
}
