package forge

import (
	"io"

	"lemonarch/internal/watch"
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
func (pipe *patientPipe) CloseWrite() error {
	half, can := pipe.Conn.(halfCloser)
	if !can {
		return nil
	}
	failure := half.CloseWrite()
	if failure == nil && pipe.Conn.SetReadDeadline(watch.Deadline(watch.Milliseconds(partingMs))) == nil {
		_, _ = io.CopyN(io.Discard, pipe.Conn, partingBytes)
	}
	return failure
}
