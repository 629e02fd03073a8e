package inbound

import (
	"net"
	"net/http"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/contexts"
	"lemonarch/internal/platform/errs"
)

// connKey is the context key of a request's connection.
type connKey struct{}

// wrapper is a connection that wraps another one.
type wrapper interface{ NetConn() net.Conn }

// connOf unwraps a connection until it finds a Conn. It returns nil if there is none.
func connOf(raw net.Conn) *Conn {
	for raw != nil {
		if connection, ok := raw.(*Conn); ok {
			return connection
		}
		wrapped, ok := raw.(wrapper)
		if !ok {
			return nil
		}
		raw = wrapped.NetConn()
	}
	return nil
}

// ConnContext is the ConnContext hook of http.Server. It stores the connection in the context of its
// requests.
func ConnContext(parent contexts.Context, raw net.Conn) contexts.Context {
	if connection := connOf(raw); connection != nil {
		return contexts.WithValue(parent, connKey{}, connection)
	}
	return parent
}

// ConnState is the ConnState hook of http.Server. It marks the connection as idle once the response to
// a request has been sent.
func ConnState(raw net.Conn, state http.ConnState) {
	if connection := connOf(raw); connection != nil && state == http.StateIdle {
		connection.becomeIdle()
	}
}

func connOfRequest(request *http.Request) *Conn {
	connection, _ := request.Context().Value(connKey{}).(*Conn)
	return connection
}

// Handler wraps a handler so that each request releases its memory when the handler returns, bounds
// the wait for a body that the handler doesn't read, rejects requests with ambiguous framing, and
// rejects every request once the listener drains.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		connection := connOfRequest(request)
		if connection == nil {
			next.ServeHTTP(writer, request)
			return
		}
		defer connection.end()
		framing, refusal := connection.begin(request)
		if errs.Is(refusal, ErrDraining) {
			rejectDraining(writer)
			return
		}
		if refusal != nil {
			// The connection is closed, so the request gets no response.
			panic(http.ErrAbortHandler)
		}
		if framing != framingUnambiguous {
			writer.Header().Set("Connection", "close")
		}
		if framing == framingAmbiguous {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
		next.ServeHTTP(&closeAnnouncer{ResponseWriter: writer, listener: connection.listener}, request)
	})
}

// framing classifies whether the end of a request is known with certainty.
type framing int

const (
	// framingUnambiguous: the head defines the end of the body in one way.
	framingUnambiguous framing = iota
	// framingUnverified: not all bytes of the head were scanned, so the connection is closed after
	// this request.
	framingUnverified
	// framingAmbiguous: the head has both Content-Length and Transfer-Encoding.
	// The request is rejected.
	framingAmbiguous
)

// begin records that the head is complete, and classifies its framing. Until the handler reads the
// body, the body is treated as one to discard. The error is that of refusalLocked.
func (c *Conn) begin(request *http.Request) (framing, error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.phase = phaseServing
	if request.ContentLength != 0 {
		c.drainLocked()
	}
	return c.framingLocked(request), c.refusalLocked()
}

func (c *Conn) framingLocked(request *http.Request) framing {
	switch {
	case len(request.TransferEncoding) == 0:
		return framingUnambiguous
	case !c.head.covers(request):
		return framingUnverified
	case c.head.ambiguous():
		return framingAmbiguous
	}
	return framingUnambiguous
}

// refusalLocked returns the error why a request must not be begun, or nil: ErrMemoryLimit if its
// connection was evicted, also while its bytes were being read, and ErrDraining if the listener drains.
// Once the request has been received completely, nil means that the connection is neither evicted nor
// closed by a drain before the response is complete, unless its client doesn't read it. The caller holds
// the lock.
func (c *Conn) refusalLocked() error {
	switch {
	case c.evicted:
		return ErrMemoryLimit.New("connection was evicted to free memory")
	case c.listener.draining.Load():
		c.listener.rejectedDraining.Add(1)
		return ErrDraining.New("listener drains")
	}
	return nil
}

// drainLocked bounds the wait for the rest of the body. The caller holds the lock.
func (c *Conn) drainLocked() {
	c.phase = phaseDraining
	c.bodyDeadline = clock.Deadline(constants.ClientDrainTimeout)
	_ = c.applyDeadlineLocked()
}

// beginBody records that the handler starts to read the body, and sets the body deadline.
func (c *Conn) beginBody(timeout clock.Duration) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.phase = phaseBody
	c.bodyDeadline = clock.Deadline(timeout)
	_ = c.applyDeadlineLocked()
}

// endBody records that the handler has read the complete body. The error is that of refusalLocked.
func (c *Conn) endBody() error {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.phase, c.bodyDeadline = phaseServing, clock.Time{}
	_ = c.applyDeadlineLocked()
	return c.refusalLocked()
}

// abandonBody records that the handler reads no more of the body, because of a failure. It returns the
// failure, or ErrMemoryLimit if the connection was evicted.
func (c *Conn) abandonBody(failure error) error {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.drainLocked()
	if c.evicted {
		return ErrMemoryLimit.New("connection was evicted to free memory")
	}
	return failure
}

// end releases the memory charged to the request. If the rest of the body is still to be discarded, its
// timeout starts again.
func (c *Conn) end() {
	c.listener.memory.release(c)
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.phase == phaseDraining {
		c.drainLocked()
	}
}

// becomeIdle records that the connection waits for the next request.
func (c *Conn) becomeIdle() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.phase, c.waitingSince = phaseIdle, clock.Now()
	c.head, c.unmetered, c.rate = headScan{}, constants.ClientUnmeteredBytes, rate{}
	if len(c.pipelined) > 0 {
		// A part of the next request has already been received.
		c.phase = phaseHead
		c.head.feed(c.pipelined)
		c.pipelined = nil
	}
	if !c.bodyDeadline.IsZero() {
		c.bodyDeadline = clock.Time{}
		_ = c.applyDeadlineLocked()
	}
	if c.phase == phaseIdle && c.listener.draining.Load() {
		c.lingerLocked()
	}
}
