package inbound

import (
	"errors"
	"io"
	"net/http"
	"os"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// Body configures how a request body is read.
type Body struct {
	// Limit is the maximum length of the body in bytes.
	Limit int64
	// Copies is the maximum number of copies of the body that the handler keeps in memory at a
	// time, including the one that Read returns.
	Copies int64
	// Timeout bounds reading the whole body, counted from the call of Read.
	Timeout clock.Duration
}

// Read reads the whole body of a request. The memory of the body is charged to the request until
// the request's handler returns. The errors are ErrTooLarge, ErrMemoryLimit, ErrTooSlow,
// ErrMalformedBody and ErrDraining; after any of them no part of the request has been executed.
func (b Body) Read(writer http.ResponseWriter, request *http.Request) ([]byte, error) {
	if request.ContentLength > b.Limit {
		return nil, ErrTooLarge.New("content length exceeds the limit")
	}
	if request.ContentLength == 0 {
		return nil, nil
	}
	connection := connOfRequest(request)
	if connection == nil {
		return b.read(writer, request, nil)
	}
	connection.beginBody(b.Timeout)
	body, err := b.read(writer, request, connection)
	if err != nil {
		return nil, connection.abandonBody(err)
	}
	if err = connection.endBody(); err != nil {
		return nil, err
	}
	return body, nil
}

func (b Body) read(writer http.ResponseWriter, request *http.Request, connection *Conn) ([]byte, error) {
	source := http.MaxBytesReader(serverWriter(writer), request.Body, b.Limit)
	expected, first := b.Limit, int64(constants.BodyFirstBytes)
	if request.ContentLength > 0 {
		// One byte more than the content length, so that the read that reaches the end of the body
		// needs no larger buffer.
		expected = request.ContentLength
		first = min(expected+1, constants.BodyAnnouncedBytes)
	}
	body := make([]byte, 0, first)
	charged := int64(0)
	for {
		if len(body) == cap(body) {
			body = append(make([]byte, 0, min(2*int64(cap(body)), expected+1)), body...)
		}
		if connection != nil && int64(cap(body)) > charged {
			capacity := int64(cap(body))
			if !connection.charge((capacity-charged)*b.Copies, max(capacity, request.ContentLength)*b.Copies) {
				return nil, ErrMemoryLimit.New("reserve memory for the body")
			}
			charged = capacity
		}
		count, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, readError(err)
		}
	}
}

// readError maps an error of reading a body to one of the errors of this package.
func readError(err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return ErrTooLarge.New("received body exceeds the limit")
	case errors.Is(err, ErrMemoryLimit):
		return ErrMemoryLimit.Wrap(err, "read body")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ErrTooSlow.Wrap(err, "read body")
	}
	return ErrMalformedBody.Wrap(err, "read body")
}

// charge charges count bytes that the request is about to allocate; total is the memory that the
// whole request needs. It returns false if the memory limit does not allow the bytes.
func (c *Conn) charge(count, total int64) bool {
	needed := c.meter(count)
	if needed == 0 {
		return true
	}
	if c.listener.memory.reserve(c, needed, total) {
		return true
	}
	c.listener.rejected.Add(1)
	return false
}
