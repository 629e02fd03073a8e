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
	// ErrNotSent: no byte reached a worker.
	ErrNotSent = errs.Define("not sent")
	// ErrCorruptResponse: what came is not the response to the request.
	ErrCorruptResponse = errs.Define("answer spoilt")
	// ErrResponseLost: a time-out, a reset or a break after sending.
	ErrResponseLost = errs.Define("answer lost")
	// ErrStaleConnection: the worker had forgotten the idle connection; this says nothing about its health.
	ErrStaleConnection = errs.Define("connection forgotten")
)

// Sender sends one request to one worker. Gateways and stores share it.
type Sender struct {
	Scheduler *admission.Scheduler
	Pool      *workerconn.Pool
	// Budget is how many connections this process may have to a worker.
	Budget func(worker messages.Worker) int
}

// Request is one request to a worker.
type Request struct {
	Method         string
	Attempt        string
	Text           []byte
	Deadline       clock.Instant
	SilenceTimeout clock.Duration
	// ShouldGiveUp decides on a silence longer than SilenceTimeout, see workerconn.Wait.
	ShouldGiveUp func(elapsed clock.Duration) bool
	// Retryable: it may travel on any idle connection, and is sent again when its worker has
	// forgotten that connection.
	Retryable bool
	// RequireSeal says that a success must carry the worker's stamp.
	RequireSeal bool
	// OnConnection is given the connection, so that it can be closed from outside.
	OnConnection func(connection *workerconn.Connection)
}

// Response is a response whose head was read.
type Response struct {
	HTTPResponse *http.Response
	Connection   *workerconn.Connection
	Load         string
	NotRun       bool
	// ShouldGiveUp is asked about silences in the stream.
	ShouldGiveUp func(elapsed clock.Duration) bool
}

// RoundTrip sends the request and reads the head of its response.
func (s *Sender) RoundTrip(grant *admission.Grant, outgoing *Request) (*Response, Evidence, error) {
	// A drain acknowledged since the grant binds: look once more before sending.
	if !s.Scheduler.Allowed(grant.Worker.ID, clock.Now()) {
		return nil, Evidence{}, ErrNotSent.New("worker is leaving")
	}
	connection, evidence, err := s.send(grant, outgoing)
	if err != nil {
		return nil, evidence, err
	}
	resp, err := readOwnResponse(connection, outgoing)
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

// Release puts the connection back after the whole response was read.
func (s *Sender) Release(response *Response) {
	s.Pool.Put(response.Connection, response.HTTPResponse)
}

// Discard ends the connection: the worker drops what it still does.
func (s *Sender) Discard(response *Response) { s.Pool.Drop(response.Connection) }

// ReadBody reads up to a limit; complete tells that nothing is left. A failure means
// that the response was cut off.
func (s *Sender) ReadBody(response *Response, limit int) (body []byte, complete bool, err error) {
	body, err = io.ReadAll(io.LimitReader(response.HTTPResponse.Body, int64(limit)+1))
	if err != nil {
		return body, false, ErrResponseLost.Wrap(err, "body")
	}
	return body, len(body) <= limit, nil
}

// Stream reads an event stream: each is given complete events as they come. It
// returns nil at the clean end.
func (s *Sender) Stream(response *Response, splitter *Splitter, until clock.Instant, timeout clock.Duration, each func(events []byte) error) error {
	buffer := make([]byte, 8<<10)
	chunked := response.HTTPResponse.ContentLength < 0
	for {
		if chunked {
			if err := response.Connection.Await(workerconn.Wait{Until: until, SilenceTimeout: timeout, ShouldGiveUp: response.ShouldGiveUp}); err != nil {
				return ErrResponseLost.Wrap(err, "stream")
			}
		}
		count, err := response.HTTPResponse.Body.Read(buffer)
		if count > 0 {
			events, follows := splitter.Feed(buffer[:count])
			if len(events) > 0 {
				if writeErr := each(events); writeErr != nil {
					return writeErr
				}
			}
			if !follows {
				return ErrCorruptResponse.New("events do not follow each other")
			}
		}
		if err == io.EOF {
			if len(splitter.Rest()) > 0 {
				return ErrCorruptResponse.New("stream ends inside an event")
			}
			return nil
		}
		if err != nil {
			return ErrResponseLost.Wrap(err, "stream")
		}
	}
}
