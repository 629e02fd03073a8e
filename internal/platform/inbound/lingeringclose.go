package inbound

import (
	"io"
	"net"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// halfCloser is a connection whose write side can be closed alone, such as a TCP connection.
type halfCloser interface{ CloseWrite() error }

// CloseWrite closes the write side of a connection and then reads until the client ends its side, for
// a bounded time and number of bytes. Closing a connection with unread bytes resets it, and a reset
// can discard the response before the client has read it.
func CloseWrite(connection net.Conn) error {
	raw := connection
	if counted, ok := connection.(*Conn); ok {
		raw = counted.Conn
	}
	closer, ok := raw.(halfCloser)
	if !ok {
		return nil
	}
	err := closer.CloseWrite()
	if err == nil && raw.SetReadDeadline(clock.Deadline(constants.LingerTimeout)) == nil {
		_, _ = io.CopyN(io.Discard, raw, constants.LingerBytes)
	}
	return err
}

// CloseWrite calls the function CloseWrite. The standard server uses this method when it responds to
// a body that is too large.
func (c *Conn) CloseWrite() error { return CloseWrite(c) }
