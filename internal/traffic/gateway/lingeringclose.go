package gateway

import (
	"io"

	"lemonarch/internal/platform/clock"
)

// What is read and thrown away before a connection ends on which the client still
// sends: bytes, and time in ms (ours). Closing with unread bytes resets, and a reset
// takes the response along that says why.
const (
	drainBytes = 1 << 20
	drainMs    = 300
)

// halfCloser is what a TCP connection can do.
type halfCloser interface{ CloseWrite() error }

// CloseWrite ends our side and lets the client come to its end. The standard server
// asks for it where it answers a head or body that is too large.
func (p *clientConn) CloseWrite() error {
	half, can := p.Conn.(halfCloser)
	if !can {
		return nil
	}
	err := half.CloseWrite()
	if err == nil && p.Conn.SetReadDeadline(clock.Deadline(clock.Milliseconds(drainMs))) == nil {
		_, _ = io.CopyN(io.Discard, p.Conn, drainBytes)
	}
	return err
}
