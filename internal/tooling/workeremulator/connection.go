package workeremulator

import (
	"fmt"
	"net"
	"net/http"
	"sync"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/httpreply"
)

// writeGarbled writes bytes that are not a valid response if the fault was drawn, and reports
// whether it was.
func (e *exchange) writeGarbled() bool {
	if !e.faults.garble {
		return false
	}
	if connection := e.hijack(); connection != nil {
		_, _ = connection.Write([]byte("\x00this is no answer\r\n\r\n"))
		connection.Close()
	}
	return true
}

// writeTwice writes a complete response twice.
func (e *exchange) writeTwice(text string) bool {
	resp := "HTTP/1.1 200 OK\r\n"
	for name := range e.writer.Header() {
		if name != "Connection" {
			resp += name + ": " + e.writer.Header().Get(name) + "\r\n"
		}
	}
	resp += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(text), text)
	connection := e.hijack()
	if connection == nil {
		return false
	}
	defer connection.Close()
	_, err := connection.Write([]byte(resp + resp))
	return err == nil
}

func (e *exchange) hijack() net.Conn {
	hijacker, ok := e.writer.(http.Hijacker)
	if !ok {
		return nil
	}
	connection, _, err := hijacker.Hijack()
	if err != nil {
		return nil
	}
	return connection
}

// serveProbe waits for a slot as a request does, then reports whether the worker is healthy.
func (w *Worker) serveProbe(writer http.ResponseWriter, request *http.Request) {
	ticket, waiting := w.submit(EngineRequest{Work: 1}, Run{})
	defer w.cancel(ticket)
	for done := false; !done; {
		select {
		case effect := <-waiting.effects:
			if effect.Kind == EffectReject {
				w.rejectNotExecuted(writer, http.StatusServiceUnavailable, "full")
				return
			}
			done = effect.Kind == EffectFinish
		case <-request.Context().Done():
			return
		}
	}
	w.lock.Lock()
	healthy := !w.draining != w.faults.Lying
	load := w.load()
	w.lock.Unlock()
	writer.Header().Set(headerID, w.Settings.ID)
	writer.Header().Set(headerLoad, load)
	status := http.StatusOK
	if !healthy {
		status = http.StatusServiceUnavailable
	}
	httpreply.JSON(writer, status, struct{}{})
}

// limitedListener resets connections beyond the limit. At a crash it resets all of them.
type limitedListener struct {
	net.Listener
	worker *Worker
	lock   sync.Mutex
	open   map[*connection]bool
}

func newLimitedListener(listener net.Listener, worker *Worker) *limitedListener {
	return &limitedListener{Listener: listener, worker: worker, open: map[*connection]bool{}}
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &connection{Conn: raw, listener: l, active: l.worker.clockValue.Now()}
		l.lock.Lock()
		limit := l.worker.Settings.ConnLimit
		full := limit > 0 && len(l.open) >= limit
		if !full {
			l.open[conn] = true
		}
		l.lock.Unlock()
		if full {
			conn.reset()
			continue
		}
		return conn, nil
	}
}

// reset closes the listener and resets every connection.
func (l *limitedListener) reset() {
	l.Listener.Close()
	l.lock.Lock()
	var all []*connection
	for conn := range l.open {
		all = append(all, conn)
	}
	l.lock.Unlock()
	for _, conn := range all {
		conn.reset()
	}
}

// connection counts against the limit until it is closed.
type connection struct {
	net.Conn
	listener *limitedListener
	lock     sync.Mutex
	active   clock.Instant
}

// Read records that bytes arrived. If the connection was forgotten, it is reset. A read that
// ends without bytes is not activity: the server cancels a pending read after each response,
// which the other side can't see.
func (c *connection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count == 0 {
		return 0, err
	}
	worker := c.listener.worker
	worker.lock.Lock()
	forget := worker.faults.forgetAfter()
	worker.lock.Unlock()
	now := worker.clockValue.Now()
	c.lock.Lock()
	forgotten := forget > 0 && now.Sub(c.active) > forget
	c.active = now
	c.lock.Unlock()
	if forgotten {
		c.reset()
		return 0, net.ErrClosed
	}
	return count, err
}

// Write records that the connection is in use.
func (c *connection) Write(buffer []byte) (int, error) {
	c.lock.Lock()
	c.active = c.listener.worker.clockValue.Now()
	c.lock.Unlock()
	return c.Conn.Write(buffer)
}

// Close removes the connection from the listener's open connections.
func (c *connection) Close() error {
	c.listener.lock.Lock()
	delete(c.listener.open, c)
	c.listener.lock.Unlock()
	return c.Conn.Close()
}

func (c *connection) reset() {
	if socket, ok := c.Conn.(*net.TCPConn); ok {
		_ = socket.SetLinger(0)
	}
	_ = c.Close()
}
