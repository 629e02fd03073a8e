package gateway

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/inbound"
)

// keepAliveServer serves keep-alive connections and records which requests its handler received.
type keepAliveServer struct {
	listener *inbound.Listener
	clients  *clientConns
	server   *http.Server
	handled  sync.Map
}

func newKeepAliveServer(t *testing.T, limits routeconfig.Limits) *keepAliveServer {
	t.Helper()
	listener, err := inbound.Listen("127.0.0.1:0", 0, inbound.NewMemory(0))
	if err != nil {
		t.Fatal(err)
	}
	s := &keepAliveServer{listener: listener, clients: newClientConns(listener, limits)}
	s.server = inbound.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		s.handled.Store(request.URL.Path, true)
		_, _ = io.WriteString(writer, request.URL.Path)
	}))
	s.server.ConnState, s.server.IdleTimeout, s.server.ReadHeaderTimeout = trackState, time.Minute, time.Minute
	go func() { _ = s.server.Serve(s.clients) }()
	t.Cleanup(func() { s.server.Close() })
	return s
}

// sendRequests sends requests on a keep-alive connection until end is closed, pausing between them for up
// to maxPause. It fails the test if a request that the handler received got no complete response.
func (s *keepAliveServer) sendRequests(t *testing.T, client int, random *rand.Rand, maxPause time.Duration, end <-chan struct{}) (responses int) {
	t.Helper()
	var connection net.Conn
	var reader *bufio.Reader
	for number := 0; ; number++ {
		select {
		case <-end:
			return responses
		default:
		}
		if connection == nil {
			var err error
			if connection, err = net.Dial("tcp4", s.clients.Addr().String()); err != nil {
				return responses
			}
			reader = bufio.NewReader(connection)
		}
		path := fmt.Sprintf("/%d/%d", client, number)
		_, err := fmt.Fprintf(connection, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(reader, nil)
		}
		if err == nil {
			var body []byte
			body, err = io.ReadAll(resp.Body)
			if err == nil && resp.StatusCode == http.StatusOK && string(body) != path {
				err = io.ErrUnexpectedEOF
			}
			if _, handled := s.handled.Load(path); err == nil && handled != (resp.StatusCode == http.StatusOK) {
				t.Errorf("%s got status %d, handled: %v", path, resp.StatusCode, handled)
			}
		}
		if err != nil {
			if _, handled := s.handled.Load(path); handled {
				t.Errorf("%s was handled but got no complete response: %v", path, err)
			}
			connection.Close()
			connection = nil
			continue
		}
		responses++
		if resp.Close {
			connection.Close()
			connection = nil
		}
		<-clock.After(time.Duration(random.Int63n(int64(maxPause))))
	}
}

// Keep-alive connections are closed by the idle timeout, by changed limits or by the shutdown. A request
// that was handled must get its complete response before its connection is closed.
func TestKeepAliveConnectionsCloseBetweenRequests(t *testing.T) {
	const idleMs = 12
	for _, testCase := range []struct {
		what  string
		close func(s *keepAliveServer)
	}{
		{"idle limit", func(*keepAliveServer) {}},
		{"changed limits", func(s *keepAliveServer) {
			for i := range 40 {
				s.clients.setLimits(routeconfig.Limits{IdleMs: float64(1 + i%idleMs), HeaderWaitMs: 3000})
				<-clock.After(5 * time.Millisecond)
			}
		}},
		{"end of the process", func(s *keepAliveServer) {
			<-clock.After(60 * time.Millisecond)
			s.listener.DrainWithin(time.Second)
		}},
	} {
		t.Run(testCase.what, func(t *testing.T) {
			s := newKeepAliveServer(t, routeconfig.Limits{IdleMs: idleMs, HeaderWaitMs: 3000})
			end := make(chan struct{})
			var group sync.WaitGroup
			var responses atomic.Int64
			for client := range 16 {
				group.Add(1)
				go func() {
					defer group.Done()
					// The pauses are spread around the idle timeout, shorter and longer.
					responses.Add(int64(s.sendRequests(t, client, rand.New(rand.NewSource(int64(client))), 2*idleMs*time.Millisecond, end)))
				}()
			}
			testCase.close(s)
			<-clock.After(200 * time.Millisecond)
			close(end)
			group.Wait()
			if responses.Load() < 50 {
				t.Fatalf("%d requests got a response, want at least 50", responses.Load())
			}
		})
	}
}
