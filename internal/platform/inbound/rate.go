package inbound

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// rate counts the bytes received in the current window and in the previous one.
type rate struct {
	window            clock.Instant
	current, previous int64
}

func (r *rate) add(count int, now clock.Instant) {
	r.rotate(now)
	r.current += int64(count)
}

// rotate starts a new window if the current one is over.
func (r *rate) rotate(now clock.Instant) {
	age := now.Sub(r.window)
	if age < constants.ClientRateWindow {
		return
	}
	r.previous = r.current
	if age >= 2*constants.ClientRateWindow {
		r.previous = 0
	}
	r.current, r.window = 0, now
}

// recent returns how many bytes were received in the last one to two windows.
func (r *rate) recent(now clock.Instant) int64 {
	r.rotate(now)
	return r.current + r.previous
}
