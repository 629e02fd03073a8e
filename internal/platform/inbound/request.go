package inbound

import (
	"net"
	"net/http"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/contexts"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// wrapper is a connection that has another one inside.
type wrapper interface{ NetConn() net.Conn }

// connOf finds the counted connection inside others; nil where there is none.
func connOf(raw net.Conn) *Conn {
	for raw != nil {
		if found, is := raw.(*Conn); is {
			return found
		}
		wraps, is := raw.(wrapper)
		if !is {
			return nil
		}
		raw = wraps.NetConn()
	}
	return nil
}

// ConnContext is for http.Server: requests find their connection by it.
func ConnContext(parent contexts.Context, raw net.Conn) contexts.Context {
	if found := connOf(raw); found != nil {
		return contexts.WithValue(parent, connKey{}, found)
	}
	return parent
}

// ConnState is for http.Server: it tells that a request has been answered.
func ConnState(raw net.Conn, state http.ConnState) {
	if found := connOf(raw); found != nil && state == http.StateIdle {
		found.becomeIdle()
	}
}

func ofRequest(request *http.Request) *Conn {
	found, _ := request.Context().Value(connKey{}).(*Conn)
	return found
}

// Handler makes every request of a handler end in order: it gives back what the request held, and
// doesn't wait for a body that nobody reads.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		connection := ofRequest(request)
		if connection == nil {
			next.ServeHTTP(writer, request)
			return
		}
		defer connection.end()
		framing := connection.begin(request)
		if framing != framingSound {
			writer.Header().Set("Connection", "close")
		}
		if framing == framingAmbiguous {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
		next.ServeHTTP(writer, request)
	})
}

// framing says whether it is certain where a request ends.
type framing int

// The framings.
const (
	// framingSound: there is one reading.
	framingSound framing = iota
	// framingUnseen: the head's bytes were not all seen, so nothing may follow on the connection.
	framingUnseen
	// framingAmbiguous: the head has both Content-Length and Transfer-Encoding.
	framingAmbiguous
)

// begin notes that the head is whole. A body counts as one that nobody wants until it is asked for.
func (c *Conn) begin(request *http.Request) framing {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.phase = phaseServing
	if request.ContentLength != 0 {
		c.drainLocked()
	}
	switch {
	case len(request.TransferEncoding) == 0:
		return framingSound
	case !c.head.covers(request):
		return framingUnseen
	case c.head.ambiguous():
		return framingAmbiguous
	}
	return framingSound
}

// drainLocked bounds how long the rest of the body is waited for. The lock is held.
func (c *Conn) drainLocked() {
	c.phase = phaseDraining
	c.bodyDeadline = clock.Deadline(constants.ClientDrainTimeout)
	_ = c.applyDeadlineLocked()
}

// beginBody notes that the handler reads the body, until a deadline.
func (c *Conn) beginBody(timeout clock.Duration) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.phase = phaseBody
	c.bodyDeadline = clock.Deadline(timeout)
	_ = c.applyDeadlineLocked()
}

// endBody notes that the handler has the whole body, or wants no more of it. It tells whether the
// request may be served: one that had to give way meanwhile may not.
func (c *Conn) endBody(whole bool) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	if !whole {
		c.drainLocked()
		return !c.evicted
	}
	c.phase, c.bodyDeadline = phaseServing, clock.Time{}
	_ = c.applyDeadlineLocked()
	return !c.evicted
}

// end gives back what the request held.
func (c *Conn) end() {
	c.listener.memory.release(c)
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.phase == phaseDraining {
		c.drainLocked()
	}
}

// becomeIdle notes that the connection waits for the next request.
func (c *Conn) becomeIdle() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.phase, c.since = phaseIdle, clock.Now()
	c.head, c.unmetered, c.rate = headScan{}, constants.ClientUnmeteredBytes, rate{}
	if len(c.early) > 0 {
		// The next request has begun.
		c.phase = phaseHead
		c.head.feed(c.early)
		c.early = nil
	}
	if !c.bodyDeadline.IsZero() {
		c.bodyDeadline = clock.Time{}
		_ = c.applyDeadlineLocked()
	}
}
