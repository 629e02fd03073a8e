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

// Why an answer is not taken.
var (
	// ErrResponseMismatch: the answer does not name the request.
	ErrResponseMismatch = errs.Define("answer to another request")
	// ErrUnprovenSuccess: a success that can't be known to be the worker's whole answer.
	ErrUnprovenSuccess = errs.Define("success is not proven")
)

// protocolName begins every status line.
const protocolName = "HTTP/1."

// surplusLimit is how many answers to earlier requests are read past.
const surplusLimit = 2

// ownAnswer reads the head of the answer to a request. On a connection that was used
// before, or on which another request's answer came, only an answer that names the
// request is its own; on a fresh one there is no other request to which it could belong.
func ownAnswer(connection *workerconn.Connection, outgoing *Request) (*http.Response, error) {
	named := connection.Reused
	for surplus := 0; ; surplus++ {
		answer, err := connection.ReadResponse(outgoing.Method)
		if err != nil {
			return nil, err
		}
		if glued(answer) {
			return nil, ErrResponseMismatch.New("two heads in one")
		}
		echoed := answer.Header.Get(headerAttempt)
		if echoed == outgoing.Attempt || (echoed == "" && !named) {
			return answer, nil
		}
		connection.Taint()
		if echoed == "" || surplus == surplusLimit || !readPast(answer) {
			return nil, ErrResponseMismatch.New(echoed)
		}
		if err = connection.Await(outgoing.wait()); err != nil {
			return nil, err
		}
		named = true
	}
}

// glued tells whether a head that was cut short has run into the next one: its status and
// first lines would pass for those of the answer that follows, and so name the request.
func glued(answer *http.Response) bool {
	if strings.Contains(answer.Status, protocolName) || len(answer.Header[headerAttempt]) > 1 {
		return true
	}
	for _, values := range answer.Header {
		for _, value := range values {
			if strings.Contains(value, protocolName) {
				return true
			}
		}
	}
	return false
}

// readPast reads the rest of another request's answer, and tells whether it is certain
// where that ends.
func readPast(answer *http.Response) bool {
	if answer.Close || !framed(answer) || answer.Request.Method == http.MethodHead {
		return false
	}
	count, err := io.CopyN(io.Discard, answer.Body, constants.BufferedResponseMax)
	return errors.Is(err, io.EOF) && count < constants.BufferedResponseMax
}

// framed tells whether a length or chunks say where an answer ends: one that lasts until
// the connection closes can't be told from one that was cut.
func framed(answer *http.Response) bool {
	return answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
}

// provenSuccess checks that a success bears the worker's stamp and tells where it ends.
func provenSuccess(answer *http.Response) error {
	switch {
	case answer.StatusCode >= 300:
		return nil
	case answer.Header.Get(headerSeal) == "":
		return ErrUnprovenSuccess.New("no stamp")
	case answer.Header.Get("Content-Encoding") != "":
		return ErrUnprovenSuccess.New("encoded")
	case !framed(answer):
		return ErrUnprovenSuccess.New("no length")
	}
	return nil
}
