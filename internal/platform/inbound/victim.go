package inbound

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// candidate is a snapshot of a connection that may be evicted.
type candidate struct {
	connection *Conn
	phase      phase
	// waitingSince is when the current wait for the client began; recent is how many bytes were
	// received in the last one to two rate windows.
	waitingSince clock.Instant
	recent       int64
	// writingSince is when the write in progress began, 0 if there is none.
	writingSince clock.Instant
	// charged is how many bytes are charged to the request.
	charged int64
}

// chooseRequest returns the request to evict for its memory: the slowest of those that have been
// arriving for at least ClientGrace; if there is none, the largest, provided that it is charged more
// than twice the total that the requesting one needs. A request that was received completely is never
// evicted. It returns nil if there is no such request.
func chooseRequest(candidates []candidate, total int64, now clock.Instant) *candidate {
	var slowest, largest *candidate
	for i := range candidates {
		c := &candidates[i]
		if c.charged == 0 || (c.phase != phaseHead && c.phase != phaseBody) {
			continue
		}
		if now.Sub(c.waitingSince) >= constants.ClientGrace && (slowest == nil || c.recent < slowest.recent) {
			slowest = c
		}
		if largest == nil || c.charged > largest.charged {
			largest = c
		}
	}
	if slowest != nil {
		return slowest
	}
	if largest != nil && largest.charged > 2*total {
		return largest
	}
	return nil
}

// chooseConnection returns the connection to close for a new one: the one that has been idle for the
// longest time; else the slowest of those whose request has been arriving for at least ClientGrace;
// else the one whose client has not read its response for the longest time, at least ClientUnreadTimeout.
// It returns nil if there is no such connection.
func chooseConnection(candidates []candidate, now clock.Instant) *candidate {
	var idle, slowest, stalled *candidate
	for i := range candidates {
		c := &candidates[i]
		switch {
		case c.phase == phaseIdle:
			if idle == nil || c.waitingSince < idle.waitingSince {
				idle = c
			}
		case c.writingSince > 0:
			if now.Sub(c.writingSince) >= constants.ClientUnreadTimeout && (stalled == nil || c.writingSince < stalled.writingSince) {
				stalled = c
			}
		case c.phase != phaseServing && now.Sub(c.waitingSince) >= constants.ClientGrace:
			if slowest == nil || c.recent < slowest.recent {
				slowest = c
			}
		}
	}
	for _, chosen := range []*candidate{idle, slowest, stalled} {
		if chosen != nil {
			return chosen
		}
	}
	return nil
}
