package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/traffic/admission"
	"lemonarch/internal/traffic/workerconn"
)

// workerStub is a worker for tests. It passes each request to a script, which may write any bytes or
// none.
type workerStub struct {
	id       string
	listener net.Listener
	lock     sync.Mutex
	requests []*http.Request
	script   func(count int, request *http.Request, connection net.Conn)
	// accepted counts the connections, and serving those that are still being read.
	accepted atomic.Int64
	serving  sync.WaitGroup
	// closing is the client address of the connection at which accept stops, guarded by lock.
	// acceptEnded is closed when no more connections will be accepted.
	closing     string
	acceptEnded chan struct{}
}

func newWorkerStub(t *testing.T, id string, script func(count int, request *http.Request, connection net.Conn)) *workerStub {
	t.Helper()

	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	worker := &workerStub{id: id, listener: listener, script: script, acceptEnded: make(chan struct{})}
	t.Cleanup(func() { listener.Close() })
	go worker.accept()
	return worker
}

// accept serves connections until the listener is closed or the connection of drain arrives.
func (s *workerStub) accept() {
	defer close(s.acceptEnded)
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			return
		}
		if s.isClosing(connection) {
			connection.Close()
			return
		}
		s.accepted.Add(1)
		s.serving.Add(1)
		go s.serve(connection)
	}
}

// isClosing reports whether a connection is the one that drain made.
func (s *workerStub) isClosing(connection net.Conn) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return connection.RemoteAddr().String() == s.closing
}

// drain accepts the connections made before its call, waits until they have been read to their end, and
// accepts no more. It makes a last connection as a marker: connections are accepted in the order in
// which they were made.
func (s *workerStub) drain(t *testing.T) {
	t.Helper()

	// The lock prevents accept from checking the connection before its address is set.
	s.lock.Lock()
	last, err := net.Dial("tcp4", s.listener.Addr().String())
	if err == nil {
		s.closing = last.LocalAddr().String()
	}
	s.lock.Unlock()
	if err != nil {
		t.Fatal(err)
	}
	defer last.Close()
	<-s.acceptEnded
	s.serving.Wait()
}

func (s *workerStub) serve(connection net.Conn) {
	defer s.serving.Done()
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		request.Body = io.NopCloser(strings.NewReader(string(body)))
		s.lock.Lock()
		s.requests = append(s.requests, request)
		count := len(s.requests)
		s.lock.Unlock()
		s.script(count, request, connection)
	}
}

// requestCount returns the number of requests that were read completely.
func (s *workerStub) requestCount() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return len(s.requests)
}

// ran returns how often a request was read completely.
func (s *workerStub) ran(attempt string) int {
	s.lock.Lock()
	defer s.lock.Unlock()
	count := 0
	for _, request := range s.requests {
		if request.Header.Get(headerAttempt) == attempt {
			count++
		}
	}
	return count
}

func success(request *http.Request, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nLemonarch-Attempt-Id: %s\r\nLemonarch-Server-Seal: seal\r\nContent-Length: %d\r\n\r\n%s",
		request.Header.Get(headerAttempt), len(body), body)
}

func streamHead(request *http.Request) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nLemonarch-Attempt-Id: %s\r\nLemonarch-Server-Seal: seal-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		request.Header.Get(headerAttempt), request.Header.Get(headerTarget))
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

const testConfig = `{"generation":1,"channels":[
{"name":"safe","host":"h.example","path-prefix":"/safe/","route-kind":"idempotent","cutoff-ms":3000,"setpoint-ms":60,"backend":"s","tries":3},
{"name":"once","host":"h.example","path-prefix":"/once/","route-kind":"effectful","cutoff-ms":700,"setpoint-ms":100,"backend":"s","tries":3},
{"name":"stream","host":"h.example","path-prefix":"/stream/","route-kind":"streaming","resumable":true,"priority":1,"cutoff-ms":4000,"setpoint-ms":100,"backend":"s","tries":3},
{"name":"rigid","host":"h.example","path-prefix":"/rigid/","route-kind":"streaming","cutoff-ms":2000,"setpoint-ms":100,"backend":"s","tries":3}
],"backends":[{"name":"s","conn-limit":50}],"limits":{"max-header-bytes":8192,"max-body-bytes":1000,"header-wait-ms":3000,"idle-ms":5000}}`

// newProxyServer starts a proxy in front of worker stubs. The first one listed is preferred.
func newProxyServer(t *testing.T, stubs ...*workerStub) (*httptest.Server, *Proxy) {
	t.Helper()

	var list []messages.Worker
	for _, worker := range stubs {
		list = append(list, messages.Worker{ID: worker.id, Address: worker.listener.Addr().String()})
	}
	return newProxyServerFor(t, list)
}

// newProxyServerFor starts a proxy in front of workers given by id and address.
func newProxyServerFor(t *testing.T, list []messages.Worker) (*httptest.Server, *Proxy) {
	t.Helper()

	scheduler := admission.New(messages.NodeInfo{Name: "n", Role: membership.RoleGateway, Zone: "h"}, 1_200_000_000)
	sender := Sender{Scheduler: scheduler, Pool: workerconn.NewPool(), Budget: func(messages.Worker) int { return 20 }}
	proxy := New(sender, nil, hclog.NewNullLogger())
	config, err := routeconfig.Parse([]byte(testConfig))
	if err != nil {
		t.Fatal(err)
	}
	proxy.SetConfig(config)
	for i := range list {
		// The other workers are in other zones, so that the first wins a tie.
		list[i].Backend, list[i].Zone, list[i].Capacity, list[i].CallCount = "s", "h", 4, 1
		if i > 0 {
			list[i].Zone = "far" + fmt.Sprint(i)
		}
	}
	scheduler.Merge(list, clock.Now())
	server := httptest.NewServer(proxy)
	t.Cleanup(server.Close)
	return server, proxy
}

// sendRequest sends one request over a new connection and returns the response and its body.
func sendRequest(t *testing.T, server *httptest.Server, path string, header map[string]string) (*http.Response, string, error) {
	t.Helper()

	request, err := http.NewRequest(http.MethodPost, server.URL+path, strings.NewReader("the body"))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h.example"
	request.Header.Set(headerAttempt, "attempt-1")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}
