package proxy

import (
	"errors"
	"io"
	"net/http"
	"strings"

	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/traffic/workerconn"
)

// Why a response is not taken.
var (
	// ErrResponseMismatch: the response does not name the request.
	ErrResponseMismatch = errs.Define("answer to another request")
	// ErrUnprovenSuccess: a success that can't be known to be the worker's complete response.
	ErrUnprovenSuccess = errs.Define("success is not proven")
)

// protocolName begins every status line.
const protocolName = "HTTP/1."

// surplusLimit is how many responses to earlier requests are read past.
const surplusLimit = 2

// readOwnResponse reads the head of the response to a request. On a connection that was used
// before, or on which another request's response came, only a response that names the
// request is its own; on a fresh one there is no other request to which it could belong.
func readOwnResponse(connection *workerconn.Connection, outgoing *Request) (*http.Response, error) {
	named := connection.Reused
	for skipped := 0; ; skipped++ {
		resp, err := connection.ReadResponse(outgoing.Method)
		if err != nil {
			return nil, err
		}
		if hasMergedHead(resp) {
			return nil, ErrResponseMismatch.New("two heads in one")
		}
		echoed := resp.Header.Get(headerAttempt)
		if echoed == outgoing.Attempt || (echoed == "" && !named) {
			return resp, nil
		}
		connection.Taint()
		if echoed == "" || skipped == surplusLimit || !skipBody(resp) {
			return nil, ErrResponseMismatch.New(echoed)
		}
		if err = connection.Await(outgoing.wait()); err != nil {
			return nil, err
		}
		named = true
	}
}

// hasMergedHead tells whether a head that was cut short has run into the next one: its status and
// first lines would pass for those of the response that follows, and so name the request.
func hasMergedHead(resp *http.Response) bool {
	if strings.Contains(resp.Status, protocolName) || len(resp.Header[headerAttempt]) > 1 {
		return true
	}
	for _, values := range resp.Header {
		for _, value := range values {
			if strings.Contains(value, protocolName) {
				return true
			}
		}
	}
	return false
}

// skipBody reads the rest of another request's response, and tells whether it is certain
// where that ends.
func skipBody(resp *http.Response) bool {
	if resp.Close || !hasKnownEnd(resp) || resp.Request.Method == http.MethodHead {
		return false
	}
	count, err := io.CopyN(io.Discard, resp.Body, constants.BufferedResponseMax)
	return errors.Is(err, io.EOF) && count < constants.BufferedResponseMax
}

// hasKnownEnd tells whether a length or chunks say where a response ends: one that lasts until
// the connection closes can't be told from one that was cut.
func hasKnownEnd(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// verifySuccess checks that a success bears the worker's stamp and tells where it ends.
func verifySuccess(resp *http.Response) error {
	switch {
	case resp.StatusCode >= 300:
		return nil
	case resp.Header.Get(headerSeal) == "":
		return ErrUnprovenSuccess.New("no stamp")
	case resp.Header.Get("Content-Encoding") != "":
		return ErrUnprovenSuccess.New("encoded")
	case !hasKnownEnd(resp):
		return ErrUnprovenSuccess.New("no length")
	}
	return nil
}
