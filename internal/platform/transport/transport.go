// Package transport is the transport between our processes: msgp frames over TCP,
// with an in-memory implementation for tests.
package transport

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
)

// The errors of the transport.
var (
	// ErrUnreachable means that the call certainly did not arrive.
	ErrUnreachable = errs.Define("peer unreached")
	// ErrTimeout means that it may have arrived.
	ErrTimeout = errs.Define("peer unanswered")
	// ErrRejected means that the peer does not know the call or could not read it.
	ErrRejected = errs.Define("peer refused")
	// ErrMalformed means bytes that are no frame.
	ErrMalformed = errs.Define("frame damaged")
)

// Handler answers a call; a nil answer with no error means an unknown kind.
type Handler func(kind messages.Kind, body []byte) ([]byte, error)

// Transport carries calls between processes.
type Transport interface {
	// Call sends a body and waits for the answer.
	Call(address string, kind messages.Kind, body []byte, timeout clock.Duration) ([]byte, error)
	// Serve hands calls that arrive at this process to the handler.
	Serve(handler Handler) error
	// Close ends it.
	Close()
}

// Marshaler is a message that can be written.
type Marshaler interface {
	MarshalMsg([]byte) ([]byte, error)
}

// Unmarshaler is a message that can be read.
type Unmarshaler interface {
	UnmarshalMsg([]byte) ([]byte, error)
}

// Call sends a message and reads the answer into another.
func Call(transport Transport, address string, kind messages.Kind, req Marshaler, resp Unmarshaler, timeout clock.Duration) error {
	body, err := req.MarshalMsg(nil)
	if err != nil {
		return ErrMalformed.Wrap(err, "question can't be written")
	}
	response, err := transport.Call(address, kind, body, timeout)
	if err != nil {
		return err
	}
	if _, err = resp.UnmarshalMsg(response); err != nil {
		// Bytes after the message are allowed: later versions may add some.
		return ErrMalformed.Wrap(err, "answer can't be read")
	}
	return nil
}

// Decode turns the body of a call into a message.
func Decode(body []byte, message Unmarshaler) error {
	if _, err := message.UnmarshalMsg(body); err != nil {
		return ErrMalformed.Wrap(err, "call can't be read")
	}
	return nil
}

// Encode turns a message into the body of an answer.
func Encode(message Marshaler) ([]byte, error) {
	return message.MarshalMsg(nil)
}
