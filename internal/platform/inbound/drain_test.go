package inbound

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
)

// heldServer serves requests that end once release is closed. A path that starts with /begun sends the
// head and a part of the response before that.
type heldServer struct {
	listener *Listener
	began    chan string
	release  chan struct{}
	// closed receives a value for each connection that the server has closed.
	closed chan struct{}
}

func newHeldServer(t *testing.T, listener *Listener) *heldServer {
	t.Helper()
	s := &heldServer{listener: listener, began: make(chan string, 1<<14), release: make(chan struct{}), closed: make(chan struct{}, 64)}
	server := NewServer(s)
	server.ConnState = func(raw net.Conn, state http.ConnState) {
		ConnState(raw, state)
		if state == http.StateClosed {
			s.closed <- struct{}{}
		}
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// listen returns a listener without limits.
func listen(t *testing.T) *Listener {
	t.Helper()
	listener, err := Listen("127.0.0.1:0", 0, NewMemory(0))
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func (s *heldServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	_, err := Body{Limit: bodyLimit, Copies: 1, Timeout: constants.ControlBodyTimeout}.Read(writer, request)
	if errs.Is(err, ErrDraining) {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if strings.HasPrefix(request.URL.Path, "/begun") {
		_, _ = io.WriteString(writer, "part ")
		writer.(http.Flusher).Flush()
	}
	s.began <- request.URL.Path
	<-s.release
	_, _ = io.WriteString(writer, request.URL.Path)
}

// awaitBegin waits until a request is handled.
func (s *heldServer) awaitBegin(t *testing.T, path string) {
	t.Helper()
	if got := <-s.began; got != path {
		t.Fatalf("%s is handled, want %s", got, path)
	}
}

// awaitPhase waits until the server has received so much of a client's request.
func (s *heldServer) awaitPhase(t *testing.T, c *client, at phase) {
	t.Helper()
	waitFor(t, fmt.Sprintf("phase %d", at), func() bool {
		for _, connection := range s.listener.connectionList() {
			if connection.RemoteAddr().String() == c.LocalAddr().String() {
				connection.lock.Lock()
				defer connection.lock.Unlock()
				return connection.phase == at
			}
		}
		return false
	})
}

// A draining listener must begin no request, whatever was on the connection before: a response in
// progress, a part of a head or of a body, a pipelined request. A request that had begun must get its
// complete response.
func TestNoRequestBeginsAfterDrain(t *testing.T) {
	s := newHeldServer(t, listen(t))
	pipelined, head, body, idle := dial(t, s.listener), dial(t, s.listener), dial(t, s.listener), dial(t, s.listener)
	pipelined.send("GET /begun HTTP/1.1\r\nHost: h\r\n\r\nGET /next HTTP/1.1\r\nHost: h\r\n\r\n")
	s.awaitBegin(t, "/begun")
	head.send("GET /head HTTP/1.1\r\nHo")
	s.awaitPhase(t, head, phaseHead)
	body.sendPartialBody(10, 5)
	s.awaitPhase(t, body, phaseBody)
	s.awaitPhase(t, idle, phaseIdle)

	s.listener.Drain()
	if late, err := net.Dial("tcp4", s.listener.Addr().String()); err == nil {
		late.Close()
		t.Error("the listener still accepts connections")
	}
	close(s.release)
	if status := pipelined.status(); status != http.StatusOK {
		t.Errorf("response that had begun: got status %d, want 200", status)
	}
	if status := pipelined.status(); status != http.StatusServiceUnavailable {
		t.Errorf("pipelined request: got status %d, want 503", status)
	}
	head.send("st: h\r\n\r\n")
	if status := head.status(); status != http.StatusServiceUnavailable {
		t.Errorf("request whose head was completed later: got status %d, want 503", status)
	}
	body.send("56789")
	if status := body.status(); status != http.StatusServiceUnavailable {
		t.Errorf("request whose body was completed later: got status %d, want 503", status)
	}
	for what, c := range map[string]*client{"pipelined": pipelined, "head": head, "body": body, "idle": idle} {
		if _, err := c.reader.ReadByte(); err == nil {
			t.Errorf("%s: got more bytes, want the end of the connection", what)
		}
	}
	waitFor(t, "no connection is open", func() bool { return s.listener.Open() == 0 })
	if len(s.began) > 0 || s.listener.RejectedDraining() != 3 {
		t.Errorf("%d requests began and %d were rejected after the drain, want 0 and 3", len(s.began), s.listener.RejectedDraining())
	}
}

// A response whose head is sent after the close was announced must say so, also if its request came
// before; otherwise its client goes on using the connection. Requests are still served.
func TestHeadSentAfterAnnouncementCarriesClose(t *testing.T) {
	s := newHeldServer(t, listen(t))
	before, begun := dial(t, s.listener), dial(t, s.listener)
	before.send("GET /before HTTP/1.1\r\nHost: h\r\n\r\n")
	s.awaitBegin(t, "/before")
	begun.send("GET /begun HTTP/1.1\r\nHost: h\r\n\r\n")
	s.awaitBegin(t, "/begun")
	s.listener.AnnounceClose()
	close(s.release)
	for _, test := range []struct {
		path  string
		c     *client
		close bool
	}{{"/before", before, true}, {"/begun", begun, false}, {"/after", begun, true}} {
		if test.path == "/after" {
			test.c.send("GET /after HTTP/1.1\r\nHost: h\r\n\r\n")
		}
		resp, err := http.ReadResponse(test.c.reader, nil)
		if err != nil {
			t.Fatalf("%s: %v", test.path, err)
		}
		text, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || !strings.HasSuffix(string(text), test.path) || resp.StatusCode != http.StatusOK || resp.Close != test.close {
			t.Errorf("%s: got status %d, body %q, error %v, Connection: close %v, want %v", test.path, resp.StatusCode, text, err, resp.Close, test.close)
		}
	}
}

// Clients that send the next request the moment a response is complete must not keep a listener from
// draining, and no request that was handled may lose its response, at whatever point the drain meets it.
func TestDrainEndsUnderClientsThatNeverPause(t *testing.T) {
	for round := range 20 {
		s := newHeldServer(t, listen(t))
		close(s.release)
		var group sync.WaitGroup
		var lock sync.Mutex
		handled, answered := map[string]bool{}, map[string]bool{}
		for number := range 8 {
			c := dial(t, s.listener)
			group.Go(func() {
				for count := 0; ; count++ {
					path := fmt.Sprintf("/begun/%d/%d", number, count)
					c.send("GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
					resp, err := http.ReadResponse(c.reader, nil)
					if err != nil {
						return
					}
					text, err := io.ReadAll(resp.Body)
					resp.Body.Close()
					lock.Lock()
					answered[path] = err == nil && string(text) == "part "+path
					lock.Unlock()
					if err != nil || resp.Close {
						return
					}
				}
			})
		}
		for range 1 + round*5 {
			handled[<-s.began] = true
		}
		if open := s.listener.DrainWithin(constants.ControlBodyTimeout); open > 0 {
			t.Fatalf("%d connections are open after the drain", open)
		}
		group.Wait()
		for len(s.began) > 0 {
			handled[<-s.began] = true
		}
		for path := range handled {
			if !answered[path] {
				t.Errorf("round %d: %s was handled but got no complete response", round, path)
			}
		}
	}
}
