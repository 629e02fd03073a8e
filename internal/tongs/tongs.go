// Package tongs is the transport between our processes: msgp frames over TCP,
// with a twin in memory for tests.
package tongs

import (
	"lemonarch/internal/mishap"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

// The mishaps of the transport.
var (
	// Unreached means that the call certainly did not arrive.
	Unreached = mishap.Define("peer unreached")
	// Unanswered means that it may have arrived.
	Unanswered = mishap.Define("peer unanswered")
	// Refused means that the peer does not know the call or could not read it.
	Refused = mishap.Define("peer refused")
	// Damaged means bytes that are no frame.
	Damaged = mishap.Define("frame damaged")
)

// Handler answers a call; a nil answer with no mishap means an unknown kind.
type Handler func(kind pattern.Kind, body []byte) ([]byte, error)

// Transport carries calls between processes.
type Transport interface {
	// Call sends a body and waits for the answer.
	Call(address string, kind pattern.Kind, body []byte, span watch.Span) ([]byte, error)
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
func Ask(transport Transport, address string, kind pattern.Kind, question Writable, answer Readable, span watch.Span) error {
	body, failure := question.MarshalMsg(nil)
	if failure != nil {
		return Damaged.Wrap(failure, "question can't be written")
	}
	back, failure := transport.Call(address, kind, body, span)
	if failure != nil {
		return failure
	}
	if _, failure = answer.UnmarshalMsg(back); failure != nil {
		// Bytes after the message are allowed: later versions may add some.
		return Damaged.Wrap(failure, "answer can't be read")
	}
	return nil
}

// Read turns the body of a call into a message.
func Read(body []byte, message Readable) error {
	if _, failure := message.UnmarshalMsg(body); failure != nil {
		return Damaged.Wrap(failure, "call can't be read")
	}
	return nil
}

// Write turns a message into the body of an answer.
func Write(message Writable) ([]byte, error) {
	return message.MarshalMsg(nil)
}
