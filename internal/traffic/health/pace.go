package health

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// Pace learns what is usual for a time: its mean and mean deviation, as RFC 6298 does
// for round trips, and so when silence is more than that.
type Pace struct {
	mean, deviation float64
	count           int
	budget          float64
}

// Learn takes a time in ms.
func (pace *Pace) Learn(milliseconds float64) {
	pace.count++
	pace.budget = min(pace.budget+constants.SilenceEarned, constants.SilenceBudget)
	if pace.count == 1 {
		pace.mean, pace.deviation, pace.budget = milliseconds, milliseconds/2, constants.SilenceBudget/2
		return
	}
	away := milliseconds - pace.mean
	pace.mean += away / 8
	if away < 0 {
		away = -away
	}
	pace.deviation += (away - pace.deviation) / 4
}

// Beyond is the time past which a wait is out of the ordinary: between least and most;
// most until enough was seen.
func (pace *Pace) Beyond(least, most clock.Span) clock.Span {
	if pace.count < constants.PaceLeast {
		return most
	}
	return min(max(clock.Milliseconds(pace.mean+constants.PaceSpread*pace.deviation), least), most)
}

// Spend takes one leave from silence out of the budget. When a whole service grows
// slow, leaving for elsewhere would only add to its load: then the budget runs dry.
// The wait itself is learnt, as the least that the answer would have taken.
func (pace *Pace) Spend(waited clock.Span) bool {
	if pace.budget < 1 {
		return false
	}
	budget := pace.budget - 1
	pace.Learn(clock.ToMilliseconds(waited))
	pace.budget = budget
	return true
}
