package inbound

import (
	"errors"
	"io"
	"net/http"
	"os"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// Body says how a body is read.
type Body struct {
	// Limit is the most bytes that it may have.
	Limit int64
	// Copies is how often the handler holds it at most, this one included.
	Copies int64
	// Timeout is how long it may take from now on.
	Timeout clock.Duration
}

// Read reads the whole body of a request. What it holds counts until the request's handler
// returns. The errors are ErrTooLarge, ErrNoRoom, ErrTooSlow and ErrBroken; after any of them
// nothing of the request has run.
func (b Body) Read(writer http.ResponseWriter, request *http.Request) ([]byte, error) {
	if request.ContentLength > b.Limit {
		return nil, ErrTooLarge.New("as announced")
	}
	if request.ContentLength == 0 {
		return nil, nil
	}
	connection := ofRequest(request)
	if connection == nil {
		return b.read(writer, request, nil)
	}
	connection.beginBody(b.Timeout)
	body, err := b.read(writer, request, connection)
	if !connection.endBody(err == nil) {
		return nil, ErrNoRoom.New("connection had to give way")
	}
	return body, err
}

func (b Body) read(writer http.ResponseWriter, request *http.Request, connection *Conn) ([]byte, error) {
	source := http.MaxBytesReader(writer, request.Body, b.Limit)
	expected, first := b.Limit, int64(constants.BodyFirstBytes)
	if request.ContentLength > 0 {
		// One byte more than is announced, to see the end.
		expected = request.ContentLength
		first = min(expected+1, constants.BodyAnnouncedBytes)
	}
	body := make([]byte, 0, first)
	counted := int64(0)
	for {
		if len(body) == cap(body) {
			body = append(make([]byte, 0, min(2*int64(cap(body)), expected+1)), body...)
		}
		if connection != nil && int64(cap(body)) > counted {
			grown := int64(cap(body))
			if !connection.hold((grown-counted)*b.Copies, max(grown, request.ContentLength)*b.Copies) {
				return nil, ErrNoRoom.New("body")
			}
			counted = grown
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

// readError names why a body could not be read.
func readError(err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return ErrTooLarge.New("as sent")
	case errors.Is(err, ErrNoRoom):
		return ErrNoRoom.Wrap(err, "body")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ErrTooSlow.Wrap(err, "body")
	}
	return ErrBroken.Wrap(err, "body")
}

// hold counts bytes that the request is about to hold, of all that it wants; false where there is
// no room for them.
func (c *Conn) hold(count, wanted int64) bool {
	needed := c.meter(count)
	if needed == 0 {
		return true
	}
	if c.listener.memory.reserve(c, needed, wanted) {
		return true
	}
	c.listener.refused.Add(1)
	return false
}
