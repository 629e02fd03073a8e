package register

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// Backoff gives the pause before the next attempt after a number of lost ones; draw
// is a random number in [0, 1). The random part doubles with each loss, so that any
// number of proposers soon finds a gap that is longer than two rounds.
func Backoff(lost int, draw float64) clock.Span {
	spread := constants.BackoffSpread << min(max(lost-1, 0), constants.BackoffDoublings)
	return constants.BackoffBase + clock.Span(draw*float64(spread))
}
