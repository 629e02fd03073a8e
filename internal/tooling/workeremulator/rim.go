package workeremulator

import (
	"fmt"
	"net"
	"net/http"
	"sync"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/httpreply"
)

// garbled writes bytes that form no answer, where the fault asks for it.
func (talk *exchange) garbled() bool {
	if !talk.fate.garble {
		return false
	}
	if connection := talk.hijack(); connection != nil {
		_, _ = connection.Write([]byte("\x00this is no answer\r\n\r\n"))
		connection.Close()
	}
	return true
}

// doubled writes a whole answer, and the same once more behind it.
func (talk *exchange) doubled(text string) bool {
	answer := "HTTP/1.1 200 OK\r\n"
	for name := range talk.writer.Header() {
		if name != "Connection" {
			answer += name + ": " + talk.writer.Header().Get(name) + "\r\n"
		}
	}
	answer += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(text), text)
	connection := talk.hijack()
	if connection == nil {
		return false
	}
	defer connection.Close()
	_, err := connection.Write([]byte(answer + answer))
	return err == nil
}

func (talk *exchange) hijack() net.Conn {
	hijacker, can := talk.writer.(http.Hijacker)
	if !can {
		return nil
	}
	connection, _, err := hijacker.Hijack()
	if err != nil {
		return nil
	}
	return connection
}

// answerProbe waits for a slot as a request does, and says whether the worker is well.
func (worker *Worker) answerProbe(writer http.ResponseWriter, request *http.Request) {
	ticket, one := worker.enter(Ask{Work: 1}, Run{})
	defer worker.leave(ticket)
	for done := false; !done; {
		select {
		case effect := <-one.effects:
			if effect.Kind == EffectRefuse {
				worker.notRun(writer, http.StatusServiceUnavailable, "full")
				return
			}
			done = effect.Kind == EffectFinish
		case <-request.Context().Done():
			return
		}
	}
	worker.lock.Lock()
	well := !worker.leaving != worker.faults.Lying
	load := worker.load()
	worker.lock.Unlock()
	writer.Header().Set(headerID, worker.Settings.ID)
	writer.Header().Set(headerLoad, load)
	status := http.StatusOK
	if !well {
		status = http.StatusServiceUnavailable
	}
	httpreply.JSON(writer, status, struct{}{})
}

// limitedListener resets connections beyond the limit, and all of them at a crash.
type limitedListener struct {
	net.Listener
	worker *Worker
	lock   sync.Mutex
	open   map[*connection]bool
}

func newLimitedListener(listener net.Listener, worker *Worker) *limitedListener {
	return &limitedListener{Listener: listener, worker: worker, open: map[*connection]bool{}}
}

// Accept gives the next connection within the limit.
func (listener *limitedListener) Accept() (net.Conn, error) {
	for {
		raw, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		one := &connection{Conn: raw, listener: listener, active: listener.worker.clockValue.Now()}
		listener.lock.Lock()
		limit := listener.worker.Settings.ConnLimit
		full := limit > 0 && len(listener.open) >= limit
		if !full {
			listener.open[one] = true
		}
		listener.lock.Unlock()
		if full {
			one.reset()
			continue
		}
		return one, nil
	}
}

// reset ends every connection with a reset.
func (listener *limitedListener) reset() {
	listener.Listener.Close()
	listener.lock.Lock()
	var all []*connection
	for one := range listener.open {
		all = append(all, one)
	}
	listener.lock.Unlock()
	for _, one := range all {
		one.reset()
	}
}

// connection counts against the limit until it is closed.
type connection struct {
	net.Conn
	listener *limitedListener
	lock     sync.Mutex
	active   clock.Moment
}

// Read notes that bytes came; what comes on a forgotten connection is reset. A read that
// ends without bytes is no use of the connection: the server calls a pending read off
// after each answer, which the other side can't see.
func (one *connection) Read(buffer []byte) (int, error) {
	count, err := one.Conn.Read(buffer)
	if count == 0 {
		return 0, err
	}
	worker := one.listener.worker
	worker.lock.Lock()
	forget := worker.faults.forget()
	worker.lock.Unlock()
	now := worker.clockValue.Now()
	one.lock.Lock()
	forgotten := forget > 0 && now.Since(one.active) > forget
	one.active = now
	one.lock.Unlock()
	if forgotten {
		one.reset()
		return 0, net.ErrClosed
	}
	return count, err
}

// Write notes that the connection is in use.
func (one *connection) Write(buffer []byte) (int, error) {
	one.lock.Lock()
	one.active = one.listener.worker.clockValue.Now()
	one.lock.Unlock()
	return one.Conn.Write(buffer)
}

// Close gives its place back.
func (one *connection) Close() error {
	one.listener.lock.Lock()
	delete(one.listener.open, one)
	one.listener.lock.Unlock()
	return one.Conn.Close()
}

func (one *connection) reset() {
	if socket, is := one.Conn.(*net.TCPConn); is {
		_ = socket.SetLinger(0)
	}
	one.Close()
}
