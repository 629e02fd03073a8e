package inbound

import (
	"net/http"
	"strconv"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// A listener is shut down in two stages. After AnnounceClose, requests are still served, and every
// response whose head has not been sent carries Connection: close. After Drain, no request is begun:
//
//   - A request begins when its handler is called, or, if it has a body, when the handler has read the
//     whole body. Both check the state of the listener, so no request can be passed on later, whatever
//     connection it arrives on and whatever was sent on that connection before. It gets 503 instead.
//   - A connection that waits for a request is closed by the goroutine that reads from it, when its read
//     deadline expires. No other goroutine closes it, so it can't be closed under a request that was
//     read at the same moment.
//
// A connection that waits is not closed before constants.LingerTimeout has passed since its last
// response: its client may send the next request the moment the response is complete, and gets an
// answer then, not a reset that leaves open whether the request has run.

// AnnounceClose makes every response whose head has not been sent yet carry Connection: close.
func (l *Listener) AnnounceClose() { l.announcing.Store(true) }

// Drain stops accepting connections and requests. Requests that have begun continue. It may be called
// more than once.
func (l *Listener) Drain() {
	l.AnnounceClose()
	if l.draining.Swap(true) {
		return
	}
	l.Listener.Close()
	for _, connection := range l.connectionList() {
		connection.lingerIfIdle()
	}
}

// DrainWithin drains the listener and waits until no connection is open, but no longer than the timeout.
// It returns the number of open connections.
func (l *Listener) DrainWithin(timeout clock.Duration) int {
	l.Drain()
	for end := clock.Now().Add(timeout); l.Open() > 0 && clock.Now() < end; {
		clock.Sleep(constants.PollPeriod)
	}
	return l.Open()
}

// RejectedDraining returns the number of requests that were rejected because the listener drains.
func (l *Listener) RejectedDraining() int64 { return l.rejectedDraining.Load() }

func (l *Listener) connectionList() []*Conn {
	l.lock.Lock()
	defer l.lock.Unlock()
	list := make([]*Conn, 0, len(l.open))
	for connection := range l.open {
		list = append(list, connection)
	}
	return list
}

// lingerIfIdle bounds the wait for a request if the connection waits for one.
func (c *Conn) lingerIfIdle() {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.phase == phaseIdle {
		c.lingerLocked()
	}
}

// lingerLocked bounds the wait for the next request. The caller holds the lock.
func (c *Conn) lingerLocked() {
	left := max(c.waitingSince.Add(constants.LingerTimeout).Sub(clock.Now()), 0)
	c.lingerDeadline = clock.Deadline(left)
	_ = c.applyDeadlineLocked()
}

// rejectDraining responds to a request that is not begun because the listener drains.
func rejectDraining(writer http.ResponseWriter) {
	writer.Header().Set("Connection", "close")
	writer.Header().Set("Retry-After", strconv.FormatFloat(constants.DrainRetryAfter.Seconds(), 'f', 3, 64))
	writer.WriteHeader(http.StatusServiceUnavailable)
}

// closeAnnouncer is the writer of a response. It adds Connection: close if the close is announced by the
// time the head is sent.
type closeAnnouncer struct {
	http.ResponseWriter
	listener *Listener
	headSent bool
}

// WriteHeader sends the head.
func (w *closeAnnouncer) WriteHeader(status int) {
	if !w.headSent && status >= http.StatusOK {
		w.headSent = true
		if w.listener.announcing.Load() {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the body, after the head.
func (w *closeAnnouncer) Write(data []byte) (int, error) {
	w.sendHead()
	return w.ResponseWriter.Write(data)
}

// Flush implements http.Flusher.
func (w *closeAnnouncer) Flush() {
	w.sendHead()
	if flusher, ok := w.ResponseWriter.(http.Flusher); ok {
		flusher.Flush()
	}
}

// Unwrap returns the server's writer, for http.ResponseController and Body.
func (w *closeAnnouncer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// sendHead sends the head with status 200 unless it was sent before.
func (w *closeAnnouncer) sendHead() {
	if !w.headSent {
		w.WriteHeader(http.StatusOK)
	}
}

// serverWriter returns the server's own writer of a response: http.MaxBytesReader informs only that one
// of a body over the limit.
func serverWriter(writer http.ResponseWriter) http.ResponseWriter {
	for {
		wrapped, ok := writer.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			return writer
		}
		writer = wrapped.Unwrap()
	}
}
