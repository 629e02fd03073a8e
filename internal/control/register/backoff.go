package register

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// Backoff returns the pause before the next attempt. failures is the number of failed attempts so
// far, lastDuration the duration of the last one, and random a random number in [0, 1). The range of
// the random part doubles with each failure, up to constants.BackoffMax, and starts at no less than the
// duration of an attempt, so that any number of competing proposers soon finds a gap that is long
// enough for two rounds.
func Backoff(failures int, lastDuration clock.Duration, random float64) clock.Duration {
	spread := max(constants.BackoffSpread, lastDuration) << min(max(failures-1, 0), constants.BackoffDoublings)
	return constants.BackoffBase + clock.Duration(random*float64(min(spread, constants.BackoffMax)))
}
