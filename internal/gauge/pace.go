package gauge

import (
	"lemonarch/internal/almanac"
	"lemonarch/internal/watch"
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
	pace.budget = min(pace.budget+almanac.SilenceEarned, almanac.SilenceBudget)
	if pace.count == 1 {
		pace.mean, pace.deviation, pace.budget = milliseconds, milliseconds/2, almanac.SilenceBudget/2
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
func (pace *Pace) Beyond(least, most watch.Span) watch.Span {
	if pace.count < almanac.PaceLeast {
		return most
	}
	return min(max(watch.Milliseconds(pace.mean+almanac.PaceSpread*pace.deviation), least), most)
}

// Spend takes one leave from silence out of the budget. When a whole service grows
// slow, leaving for elsewhere would only add to its load: then the budget runs dry.
// The wait itself is learnt, as the least that the answer would have taken.
func (pace *Pace) Spend(waited watch.Span) bool {
	if pace.budget < 1 {
		return false
	}
	budget := pace.budget - 1
	pace.Learn(watch.ToMilliseconds(waited))
	pace.budget = budget
	return true
}
