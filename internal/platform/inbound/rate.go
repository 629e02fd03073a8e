package inbound

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// rate counts the bytes of the present window and of the one before.
type rate struct {
	window          clock.Instant
	present, before int64
}

// add counts bytes.
func (r *rate) add(count int, now clock.Instant) {
	r.turn(now)
	r.present += int64(count)
}

// turn begins a new window where the present one is over.
func (r *rate) turn(now clock.Instant) {
	age := now.Sub(r.window)
	if age < constants.ClientRateWindow {
		return
	}
	r.before = r.present
	if age >= 2*constants.ClientRateWindow {
		r.before = 0
	}
	r.present, r.window = 0, now
}

// recent is how many bytes came in the last one to two windows.
func (r *rate) recent(now clock.Instant) int64 {
	r.turn(now)
	return r.present + r.before
}
