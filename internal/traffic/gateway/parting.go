package gateway

import (
	"io"

	"lemonarch/internal/platform/clock"
)

// What is read and thrown away before a connection ends on which the client still
// sends: bytes, and time in ms (ours). Closing with unread bytes resets, and a reset
// takes the answer along that says why.
const (
	partingBytes = 1 << 20
	partingMs    = 300
)

// halfCloser is what a TCP connection can do.
type halfCloser interface{ CloseWrite() error }

// CloseWrite ends our side and lets the client come to its end. The standard server
// asks for it where it answers a head or body that is too large.
func (p *patientConnection) CloseWrite() error {
	half, can := p.Conn.(halfCloser)
	if !can {
		return nil
	}
	err := half.CloseWrite()
	if err == nil && p.Conn.SetReadDeadline(clock.Deadline(clock.Milliseconds(partingMs))) == nil {
		_, _ = io.CopyN(io.Discard, p.Conn, partingBytes)
	}
	return err
}
