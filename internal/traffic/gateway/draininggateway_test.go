package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/settings"
	"lemonarch/internal/platform/transport"
)

const drainConfig = `{"generation":1,"channels":[
{"name":"s","host":"h","path-prefix":"/stream/","route-kind":"streaming","cutoff-ms":60000,"setpoint-ms":20000,"gap-setpoint-ms":20000,"tries":1,"resumable":false,"backend":"b"},
{"name":"p","host":"h","path-prefix":"/plain/","route-kind":"effectful","cutoff-ms":60000,"setpoint-ms":20000,"tries":1,"backend":"b"},
{"name":"j","host":"h","path-prefix":"/jobs/","route-kind":"bulk","cutoff-ms":60000,"setpoint-ms":1000,"result-setpoint-ms":60000,"tries":3,"backend":"b"}],
"backends":[{"name":"b","probe":"/health","conn-limit":100}],
"limits":{"max-header-bytes":8192,"max-body-bytes":100000,"header-wait-ms":30000,"idle-ms":30000}}`

// drainWorker is a worker that completes its responses once finish is closed. A stream has one event
// before that and one after it; any other response is sent whole, after it.
type drainWorker struct {
	finish chan struct{}
	began  chan string
	lock   sync.Mutex
	ran    map[string]bool
}

func (w *drainWorker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	attempt := request.Header.Get("Lemonarch-Attempt-Id")
	w.lock.Lock()
	w.ran[attempt] = true
	w.lock.Unlock()
	writer.Header().Set("Lemonarch-Attempt-Id", attempt)
	writer.Header().Set("Lemonarch-Server-Seal", "seal")
	if !strings.HasPrefix(request.URL.Path, "/stream/") {
		w.began <- attempt
		<-w.finish
		writer.Header().Set("Content-Length", "4")
		_, _ = io.WriteString(writer, "done")
		return
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(writer, "id: 1\ndata: x\n\n")
	writer.(http.Flusher).Flush()
	w.began <- attempt
	<-w.finish
	_, _ = io.WriteString(writer, "id: 2\ndata: y\n\n")
}

func (w *drainWorker) hasRun(attempt string) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.ran[attempt]
}

// Forward implements proxy.JobForwarder: a read of a job is held until finish is closed.
func (w *drainWorker) Forward(call *messages.JobCallRequest, _ clock.Duration) (*messages.JobCallResponse, bool) {
	w.began <- call.Job
	<-w.finish
	return &messages.JobCallResponse{Status: http.StatusOK, Body: []byte("{}")}, false
}

// drainingGateway is a gateway in this process with one worker, and the client connections of a test.
type drainingGateway struct {
	t        *testing.T
	gateway  *Gateway
	worker   *drainWorker
	stopped  chan clock.Duration
	deadline clock.Time
}

func newDrainingGateway(t *testing.T, graceS float64) *drainingGateway {
	t.Helper()
	nodeSettings := &settings.Settings{NodeName: "g", Address: "10.0.0.1", Zone: "h", InternalPorts: []int{7000, 7010},
		Seeds: []string{"10.0.0.99:80"}, HeartbeatMs: 60_000}
	nodeSettings.Tolerances.GraceS = graceS
	nodeSettings.Bind.Ingress, nodeSettings.Bind.Readiness = "127.0.0.1:0", "127.0.0.1:0"
	d := &drainingGateway{t: t, gateway: New(nodeSettings, hclog.NewNullLogger()), stopped: make(chan clock.Duration, 1),
		worker:   &drainWorker{finish: make(chan struct{}), began: make(chan string, 16), ran: map[string]bool{}},
		deadline: clock.Deadline(20 * constants.GossipPeriod)}
	server := httptest.NewServer(d.worker)
	t.Cleanup(server.Close)
	d.gateway.Proxy.Jobs = d.worker
	d.gateway.Node.Transport = transport.NewMemoryNetwork().Transport(d.gateway.Node.Self.Address)
	go func() { _ = d.gateway.Run() }()
	d.gateway.Node.ApplyConfig([]byte(drainConfig))
	d.gateway.Gossip.Scheduler.Merge([]messages.Worker{{ID: "w", Backend: "b", Zone: "h", Address: server.Listener.Addr().String(),
		Capacity: 32, CallCount: 1}}, clock.Now())
	for d.gateway.clients.Load() == nil {
		<-clock.After(constants.PollPeriod)
	}
	return d
}

// shutDown starts the shutdown of the gateway.
func (d *drainingGateway) shutDown() {
	started := clock.Now()
	go func() {
		d.gateway.Shutdown()
		d.stopped <- clock.Now().Sub(started)
	}()
	for !d.gateway.Proxy.Draining.Load() {
		<-clock.After(constants.PollPeriod)
	}
}

// awaitEndOfAccepting waits until new connections are refused.
func (d *drainingGateway) awaitEndOfAccepting() {
	for {
		late, err := net.Dial("tcp4", d.gateway.clients.Load().Addr().String())
		if err != nil {
			return
		}
		late.Close()
		<-clock.After(constants.PollPeriod)
	}
}

// drainClient is one kept connection of a client.
type drainClient struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (d *drainingGateway) dial() *drainClient {
	d.t.Helper()
	connection, err := net.Dial("tcp4", d.gateway.clients.Load().Addr().String())
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { connection.Close() })
	_ = connection.SetDeadline(d.deadline)
	return &drainClient{Conn: connection, t: d.t, reader: bufio.NewReader(connection)}
}

// awaitRun waits until the worker, or the leading store, has received a request.
func (d *drainingGateway) awaitRun(attempt string) {
	d.t.Helper()
	if got := <-d.worker.began; got != attempt {
		d.t.Fatalf("%s was passed on, want %s", got, attempt)
	}
}

func requestHead(method, path, attempt string, length int) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nLemonarch-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n", method, path, attempt, length)
}

func (c *drainClient) send(text string) { _, _ = io.WriteString(c.Conn, text) }

// response reads one response, and returns an error if it is not complete.
func (c *drainClient) response() (*http.Response, string, error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// expectComplete reads a successful response to its end and returns whether it announces the close.
func (c *drainClient) expectComplete(what string) (closes bool) {
	c.t.Helper()
	resp, body, err := c.response()
	if err != nil || resp.StatusCode != http.StatusOK {
		c.t.Fatalf("%s: got %v, body %q, error %v, want a complete response with status 200", what, resp, body, err)
	}
	return resp.Close
}

// expectRefusal reads a response which promises that the request has not run. If the request may have
// been sent after LingerTimeout, the end of the connection will do.
func (c *drainClient) expectRefusal(what string, mayCrossClose bool) {
	c.t.Helper()
	resp, body, err := c.response()
	switch {
	case err != nil && mayCrossClose:
	case err != nil:
		c.t.Errorf("%s: got error %v, want 503", what, err)
	case resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || !resp.Close:
		c.t.Errorf("%s: got status %d, Retry-After %q, Connection: close %v, body %.40q; want 503 with both", what, resp.StatusCode,
			resp.Header.Get("Retry-After"), resp.Close, body)
	}
}
