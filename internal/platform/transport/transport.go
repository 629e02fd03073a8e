// Package transport is the transport between our processes: msgp frames over TCP,
// with a twin in memory for tests.
package transport

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
)

// The errors of the transport.
var (
	// Unreached means that the call certainly did not arrive.
	Unreached = errs.Define("peer unreached")
	// Unanswered means that it may have arrived.
	Unanswered = errs.Define("peer unanswered")
	// Refused means that the peer does not know the call or could not read it.
	Refused = errs.Define("peer refused")
	// Damaged means bytes that are no frame.
	Damaged = errs.Define("frame damaged")
)

// Handler answers a call; a nil answer with no error means an unknown kind.
type Handler func(kind messages.Kind, body []byte) ([]byte, error)

// Transport carries calls between processes.
type Transport interface {
	// Call sends a body and waits for the answer.
	Call(address string, kind messages.Kind, body []byte, span clock.Span) ([]byte, error)
	// Serve hands calls that arrive at this process to the handler.
	Serve(handler Handler) error
	// Close ends it.
	Close()
}

// Writable is a message that can be written.
type Writable interface {
	MarshalMsg([]byte) ([]byte, error)
}

// Readable is a message that can be read.
type Readable interface {
	UnmarshalMsg([]byte) ([]byte, error)
}

// Ask sends a message and reads the answer into another.
func Ask(transport Transport, address string, kind messages.Kind, question Writable, answer Readable, span clock.Span) error {
	body, err := question.MarshalMsg(nil)
	if err != nil {
		return Damaged.Wrap(err, "question can't be written")
	}
	back, err := transport.Call(address, kind, body, span)
	if err != nil {
		return err
	}
	if _, err = answer.UnmarshalMsg(back); err != nil {
		// Bytes after the message are allowed: later versions may add some.
		return Damaged.Wrap(err, "answer can't be read")
	}
	return nil
}

// Read turns the body of a call into a message.
func Read(body []byte, message Readable) error {
	if _, err := message.UnmarshalMsg(body); err != nil {
		return Damaged.Wrap(err, "call can't be read")
	}
	return nil
}

// Write turns a message into the body of an answer.
func Write(message Writable) ([]byte, error) {
	return message.MarshalMsg(nil)
}
