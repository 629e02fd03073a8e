package inbound

import "lemonarch/internal/platform/clock"

// SetReadDeadline sets the HTTP server's deadline; an earlier deadline of this package remains in effect.
func (c *Conn) SetReadDeadline(at clock.Time) error {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.deadline = at
	return c.applyDeadlineLocked()
}

func (c *Conn) applyDeadlineLocked() error {
	at := earliest(c.deadline, earliest(c.bodyDeadline, c.lingerDeadline))
	if c.evicted {
		at = clock.Deadline(0)
	}
	return c.Conn.SetReadDeadline(at)
}

// earliest returns the earlier of two deadlines; zero means no deadline.
func earliest(a, b clock.Time) clock.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// SetDeadline sets the deadline of reads and writes.
func (c *Conn) SetDeadline(at clock.Time) error {
	if err := c.SetReadDeadline(at); err != nil {
		return err
	}
	return c.SetWriteDeadline(at)
}
