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
)

// keptServer serves kept connections and knows which requests its handler took.
type keepAliveServer struct {
	clients *clientConns
	server  *http.Server
	taken   sync.Map
	closing atomic.Bool
}

func newKeepAliveServer(t *testing.T, limits routeconfig.Limits) *keepAliveServer {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &keepAliveServer{clients: newClientConns(listener, limits)}
	s.server = &http.Server{ConnState: trackState, IdleTimeout: time.Minute, ReadHeaderTimeout: time.Minute,
		Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			s.taken.Store(request.URL.Path, true)
			if s.closing.Load() {
				writer.Header().Set("Connection", "close")
			}
			_, _ = io.WriteString(writer, request.URL.Path)
		})}
	go func() { _ = s.server.Serve(s.clients) }()
	t.Cleanup(func() { s.server.Close() })
	return s
}

// ask sends requests on kept connections until the end, resting between them, and fails where
// one that was taken got no answer.
func (s *keepAliveServer) sendRequests(t *testing.T, client int, random *rand.Rand, rest time.Duration, end <-chan struct{}) (answered int) {
	t.Helper()
	var connection net.Conn
	var reader *bufio.Reader
	for number := 0; ; number++ {
		select {
		case <-end:
			return answered
		default:
		}
		if connection == nil {
			var err error
			if connection, err = net.Dial("tcp4", s.clients.Addr().String()); err != nil {
				return answered
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
			if err == nil && string(body) != path {
				err = io.ErrUnexpectedEOF
			}
		}
		if err != nil {
			if _, taken := s.taken.Load(path); taken {
				t.Errorf("%s was taken and got no whole answer: %v", path, err)
			}
			connection.Close()
			connection = nil
			continue
		}
		answered++
		if resp.Close {
			connection.Close()
			connection = nil
		}
		<-clock.After(time.Duration(random.Int63n(int64(rest))))
	}
}

// Whatever closes a kept connection, the idle limit, a changed limit, or the end of the process,
// a request that was taken from it is answered before.
func TestKeepAliveConnectionsCloseBetweenRequests(t *testing.T) {
	const idleMs = 12
	for _, found := range []struct {
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
			s.closing.Store(true)
			for end := clock.Now().Add(time.Second); !s.clients.closeIdle() && clock.Now() < end; {
				<-clock.After(time.Millisecond)
			}
		}},
	} {
		t.Run(found.what, func(t *testing.T) {
			s := newKeepAliveServer(t, routeconfig.Limits{IdleMs: idleMs, HeaderWaitMs: 3000})
			end := make(chan struct{})
			var group sync.WaitGroup
			var answered atomic.Int64
			for client := range 16 {
				group.Add(1)
				go func() {
					defer group.Done()
					// Rests come close to the limit, on both sides.
					answered.Add(int64(s.sendRequests(t, client, rand.New(rand.NewSource(int64(client))), 2*idleMs*time.Millisecond, end)))
				}()
			}
			found.close(s)
			<-clock.After(200 * time.Millisecond)
			close(end)
			group.Wait()
			if answered.Load() < 50 {
				t.Fatal("too few requests: ", answered.Load())
			}
		})
	}
}
