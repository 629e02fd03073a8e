package inbound

import (
	"io"
	"net"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// halfCloser is what a TCP connection can do.
type halfCloser interface{ CloseWrite() error }

// CloseWrite ends our side of a connection and lets the client come to its end, for a bounded time
// and number of bytes: closing with unread bytes resets, and a reset takes the answer along that
// says why.
func CloseWrite(connection net.Conn) error {
	raw := connection
	if counted, is := connection.(*Conn); is {
		raw = counted.Conn
	}
	half, can := raw.(halfCloser)
	if !can {
		return nil
	}
	err := half.CloseWrite()
	if err == nil && raw.SetReadDeadline(clock.Deadline(constants.LingerTimeout)) == nil {
		_, _ = io.CopyN(io.Discard, raw, constants.LingerBytes)
	}
	return err
}

// CloseWrite does so. The standard server asks for it where it answers a body that is too large.
func (c *Conn) CloseWrite() error { return CloseWrite(c) }
