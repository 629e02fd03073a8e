// Package transport carries calls between lemonarch processes: msgp messages in frames over TCP, with
// an in-memory implementation for tests and hollow fleets.
package transport

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
)

// The errors of the transport.
var (
	// ErrUnreachable means that the call was certainly not delivered. It is also the error of Serve
	// if the transport can't listen on its address.
	ErrUnreachable = errs.Define("peer unreachable")
	// ErrTimeout means that no response arrived; the call may have been delivered.
	ErrTimeout = errs.Define("no response from peer")
	// ErrRejected means that the peer does not know the call's kind or that its handler returned an
	// error, for example for a body that it could not decode.
	ErrRejected = errs.Define("peer rejected the call")
	// ErrMalformed means that bytes could not be decoded as a frame or as a message, or that a message
	// could not be encoded.
	ErrMalformed = errs.Define("malformed frame or message")
)

// Handler handles a call and returns the response body; nil without an error means that the kind is
// unknown.
type Handler func(kind messages.Kind, body []byte) ([]byte, error)

// Transport sends calls to other processes and serves those it receives.
type Transport interface {
	// Call sends a request with a body and waits for the body of the response until the timeout.
	Call(address string, kind messages.Kind, body []byte, timeout clock.Duration) ([]byte, error)
	// Serve passes calls that arrive at this process to the handler. It does not block.
	Serve(handler Handler) error
	// Close stops serving and closes all connections.
	Close()
}

// Marshaler is a message that can be encoded.
type Marshaler interface {
	MarshalMsg([]byte) ([]byte, error)
}

// Unmarshaler is a message that can be decoded.
type Unmarshaler interface {
	UnmarshalMsg([]byte) ([]byte, error)
}

// Call sends a message as a request and decodes the response into resp.
func Call(transport Transport, address string, kind messages.Kind, req Marshaler, resp Unmarshaler, timeout clock.Duration) error {
	body, err := req.MarshalMsg(nil)
	if err != nil {
		return ErrMalformed.Wrap(err, "encode request")
	}
	response, err := transport.Call(address, kind, body, timeout)
	if err != nil {
		return err
	}
	if _, err = resp.UnmarshalMsg(response); err != nil {
		// Bytes after the message are allowed: later versions may add some.
		return ErrMalformed.Wrap(err, "decode response")
	}
	return nil
}

// Decode decodes the body of a request into a message.
func Decode(body []byte, message Unmarshaler) error {
	if _, err := message.UnmarshalMsg(body); err != nil {
		return ErrMalformed.Wrap(err, "decode request")
	}
	return nil
}

// Encode encodes a message as the body of a response.
func Encode(message Marshaler) ([]byte, error) {
	return message.MarshalMsg(nil)
}
