package proxy

import (
	"io"
	"net/http"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/traffic/admission"
	"lemonarch/internal/traffic/workerconn"
)

// The errors of an attempt at a worker.
var (
	// ErrNotSent means that no byte of the request reached a worker.
	ErrNotSent = errs.Define("request not sent to worker")
	// ErrCorruptResponse means that what was received is not a valid response to the request, or that
	// the connection failed within the head of the response.
	ErrCorruptResponse = errs.Define("corrupt response")
	// ErrResponseLost means that a timeout, a reset or a broken connection followed after sending.
	ErrResponseLost = errs.Define("response lost")
	// ErrStaleConnection means that the worker had discarded the idle connection, which is no sign of
	// bad health.
	ErrStaleConnection = errs.Define("idle connection discarded by worker")
)

// Sender sends single requests to single workers. Gateways and stores use it.
type Sender struct {
	Scheduler *admission.Scheduler
	Pool      *workerconn.Pool
	// Budget returns the maximum number of connections that this process may have to a worker; 0
	// means no limit.
	Budget func(worker messages.Worker) int
}

// Request is one request to a worker.
type Request struct {
	Method string
	// Attempt is the attempt id that the response must echo.
	Attempt string
	// Text is the encoded request, head and body.
	Text           []byte
	Deadline       clock.Instant
	SilenceTimeout clock.Duration
	// ShouldGiveUp reports whether to end the wait if the worker sent nothing for longer than
	// SilenceTimeout; see workerconn.Wait.
	ShouldGiveUp func(elapsed clock.Duration) bool
	// Retryable means that the request may use any idle connection, and is sent again if the worker
	// had already discarded that connection.
	Retryable bool
	// RequireSeal means that a success must carry the worker's seal.
	RequireSeal bool
	// OnConnection, if not nil, is called with each connection used, so that the caller can close it.
	OnConnection func(connection *workerconn.Connection)
}

// Response is a response whose head has been read.
type Response struct {
	HTTPResponse *http.Response
	Connection   *workerconn.Connection
	Load         string
	NotRun       bool
	// ShouldGiveUp reports whether to end the wait if the worker sends nothing for long within the
	// stream.
	ShouldGiveUp func(elapsed clock.Duration) bool
}

// RoundTrip sends the request and reads the head of its response.
func (s *Sender) RoundTrip(grant *admission.Grant, outgoing *Request) (*Response, Evidence, error) {
	// A drain may have been acknowledged since the grant, and must be obeyed: check again before sending.
	if !s.Scheduler.Allowed(grant.Worker.ID, clock.Now()) {
		return nil, Evidence{}, ErrNotSent.New("worker no longer accepts requests")
	}
	connection, evidence, err := s.send(grant, outgoing)
	if err != nil {
		return nil, evidence, err
	}
	resp, err := readMatchingResponse(connection, outgoing)
	if err == nil && outgoing.RequireSeal {
		err = verifySuccess(resp)
	}
	if err != nil {
		s.Pool.Drop(connection)
		return nil, evidence, ErrCorruptResponse.Wrap(err, grant.Worker.ID)
	}
	response := &Response{HTTPResponse: resp, Connection: connection, ShouldGiveUp: outgoing.ShouldGiveUp, Load: resp.Header.Get(headerLoad)}
	response.NotRun = resp.Header.Get(headerNotRun) != "" || resp.StatusCode == http.StatusMisdirectedRequest
	evidence.NotRun = response.NotRun
	return response, evidence, nil
}

// Release returns the connection to the pool. The whole response must have been read.
func (s *Sender) Release(response *Response) {
	s.Pool.Put(response.Connection, response.HTTPResponse)
}

// Discard closes the connection, which makes the worker stop working on the request.
func (s *Sender) Discard(response *Response) { s.Pool.Drop(response.Connection) }

// ReadBody reads the body up to a limit in bytes. complete reports that nothing is left to read; if it
// is false, body has one byte more than the limit. An error means that the response was truncated.
func (s *Sender) ReadBody(response *Response, limit int) (body []byte, complete bool, err error) {
	body, err = io.ReadAll(io.LimitReader(response.HTTPResponse.Body, int64(limit)+1))
	if err != nil {
		return body, false, ErrResponseLost.Wrap(err, "read body")
	}
	return body, len(body) <= limit, nil
}

// Stream reads an event stream and calls onEvents with complete events as they arrive. It returns nil
// when the stream ends cleanly, and the error of onEvents if it returns one. timeout is the silence
// timeout between events; it applies only to a chunked response.
func (s *Sender) Stream(response *Response, splitter *Splitter, deadline clock.Instant, timeout clock.Duration, onEvents func(events []byte) error) error {
	buffer := make([]byte, 8<<10)
	chunked := response.HTTPResponse.ContentLength < 0
	for {
		if chunked {
			if err := response.Connection.Await(workerconn.Wait{Until: deadline, SilenceTimeout: timeout, ShouldGiveUp: response.ShouldGiveUp}); err != nil {
				return ErrResponseLost.Wrap(err, "read event stream")
			}
		}
		count, err := response.HTTPResponse.Body.Read(buffer)
		if count > 0 {
			events, consecutive := splitter.Feed(buffer[:count])
			if len(events) > 0 {
				if writeErr := onEvents(events); writeErr != nil {
					return writeErr
				}
			}
			if !consecutive {
				return ErrCorruptResponse.New("event ids are not consecutive")
			}
		}
		if err == io.EOF {
			if len(splitter.Remainder()) > 0 {
				return ErrCorruptResponse.New("stream ends inside an event")
			}
			return nil
		}
		if err != nil {
			return ErrResponseLost.Wrap(err, "read event stream")
		}
	}
}
