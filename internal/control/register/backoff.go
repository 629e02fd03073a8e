package register

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// Backoff gives the pause before the next attempt after a number of lost ones, of which
// the last took a time; random is a random number in [0, 1). The random part doubles with
// each loss and is no shorter than an attempt, so that any number of proposers soon
// finds a gap that is long enough for two rounds.
func Backoff(lost int, took clock.Duration, random float64) clock.Duration {
	spread := max(constants.BackoffSpread, took) << min(max(lost-1, 0), constants.BackoffDoublings)
	return constants.BackoffBase + clock.Duration(random*float64(min(spread, constants.BackoffMax)))
}
