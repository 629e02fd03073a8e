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

// The errors of a response that is rejected.
var (
	// ErrResponseMismatch means that the response does not carry the attempt id of the request.
	ErrResponseMismatch = errs.Define("response to another request")
	// ErrUnprovenSuccess means that a success can't be verified to be the worker's complete response.
	ErrUnprovenSuccess = errs.Define("success response not verified")
)

// statusLinePrefix is the start of every status line.
const statusLinePrefix = "HTTP/1."

// maxSkippedResponses is the maximum number of responses to earlier requests that are skipped.
const maxSkippedResponses = 2

// readMatchingResponse reads the head of the response to a request. On a reused connection, or after
// a response to another request was skipped, only a response with the request's attempt id is
// accepted. On a new connection a response without an id is accepted too, since there is no other
// request to which it could belong.
func readMatchingResponse(connection *workerconn.Connection, outgoing *Request) (*http.Response, error) {
	requireID := connection.Reused
	for skipped := 0; ; skipped++ {
		resp, err := connection.ReadResponse(outgoing.Method)
		if err != nil {
			return nil, err
		}
		if hasMergedHead(resp) {
			return nil, ErrResponseMismatch.New("two response heads merged into one")
		}
		echoed := resp.Header.Get(headerAttempt)
		if echoed == outgoing.Attempt || (echoed == "" && !requireID) {
			return resp, nil
		}
		connection.Taint()
		if echoed == "" || skipped == maxSkippedResponses || !skipBody(resp) {
			return nil, ErrResponseMismatch.New(echoed)
		}
		if err = connection.Await(outgoing.waitOptions()); err != nil {
			return nil, err
		}
		requireID = true
	}
}

// hasMergedHead reports whether a truncated head was parsed together with the head of the next response.
// The status and first headers of the truncated response would then be accepted as those of the
// following response, whose attempt id the merged head carries.
func hasMergedHead(resp *http.Response) bool {
	if strings.Contains(resp.Status, statusLinePrefix) || len(resp.Header[headerAttempt]) > 1 {
		return true
	}
	for _, values := range resp.Header {
		for _, value := range values {
			if strings.Contains(value, statusLinePrefix) {
				return true
			}
		}
	}
	return false
}

// skipBody reads the rest of another request's response, and reports whether its end is known for
// certain, so that the next response can be read.
func skipBody(resp *http.Response) bool {
	if resp.Close || !hasDelimitedBody(resp) || resp.Request.Method == http.MethodHead {
		return false
	}
	copied, err := io.CopyN(io.Discard, resp.Body, constants.BufferedResponseMax)
	return errors.Is(err, io.EOF) && copied < constants.BufferedResponseMax
}

// hasDelimitedBody reports whether the length or the chunked encoding determines where a response
// ends. A body that lasts until the connection closes can't be distinguished from a truncated one.
func hasDelimitedBody(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// verifySuccess checks that a success carries the worker's seal, is not content-encoded, and has a
// body whose end is determined.
func verifySuccess(resp *http.Response) error {
	switch {
	case resp.StatusCode >= 300:
		return nil
	case resp.Header.Get(headerSeal) == "":
		return ErrUnprovenSuccess.New("no seal")
	case resp.Header.Get("Content-Encoding") != "":
		return ErrUnprovenSuccess.New("has a content encoding")
	case !hasDelimitedBody(resp):
		return ErrUnprovenSuccess.New("neither a content length nor chunked")
	}
	return nil
}
