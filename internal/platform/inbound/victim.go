package inbound

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// candidate is what is known of a connection when one has to give way.
type candidate struct {
	connection *Conn
	phase      phase
	// since is when the client was last waited for; recent is how many bytes came lately.
	since  clock.Instant
	recent int64
	// writingSince is when a write began that the client does not read, 0 where there is none.
	writingSince clock.Instant
	// charged is how many bytes the request holds.
	charged int64
}

// chooseHolder gives the request that gives its memory back: of those that have been coming for a
// while the slowest, and where there is none the largest, if it holds much more than what
// the one that wants room wants in all. A request that is whole never gives way; nil where there is none.
func chooseHolder(candidates []candidate, wanted int64, now clock.Instant) *candidate {
	var slowest, largest *candidate
	for i := range candidates {
		c := &candidates[i]
		if c.charged == 0 || (c.phase != phaseHead && c.phase != phaseBody) {
			continue
		}
		if now.Sub(c.since) >= constants.ClientGrace && (slowest == nil || c.recent < slowest.recent) {
			slowest = c
		}
		if largest == nil || c.charged > largest.charged {
			largest = c
		}
	}
	if slowest != nil {
		return slowest
	}
	if largest != nil && largest.charged > 2*wanted {
		return largest
	}
	return nil
}

// chooseConnection gives the connection that is closed for a new one: the one that has been idle
// for longest, else the slowest of those whose request has been coming for a while, else one whose
// client has not read its answer for long. nil where there is none.
func chooseConnection(candidates []candidate, now clock.Instant) *candidate {
	var idle, slowest, deaf *candidate
	for i := range candidates {
		c := &candidates[i]
		switch {
		case c.phase == phaseIdle:
			if idle == nil || c.since < idle.since {
				idle = c
			}
		case c.writingSince > 0:
			if now.Sub(c.writingSince) >= constants.ClientDeafTime && (deaf == nil || c.writingSince < deaf.writingSince) {
				deaf = c
			}
		case c.phase != phaseServing && now.Sub(c.since) >= constants.ClientGrace:
			if slowest == nil || c.recent < slowest.recent {
				slowest = c
			}
		}
	}
	for _, chosen := range []*candidate{idle, slowest, deaf} {
		if chosen != nil {
			return chosen
		}
	}
	return nil
}
