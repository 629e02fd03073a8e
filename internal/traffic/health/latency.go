package health

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// Latency estimates what is usual for a time: its mean and mean deviation, as RFC 6298 does
// for round trips, and so when silence is more than that.
type Latency struct {
	mean, deviation float64
	count           int
	retryBudget     float64
}

// Observe takes a time in ms.
func (p *Latency) Observe(milliseconds float64) {
	p.count++
	p.retryBudget = min(p.retryBudget+constants.HedgeEarned, constants.HedgeBudget)
	if p.count == 1 {
		p.mean, p.deviation, p.retryBudget = milliseconds, milliseconds/2, constants.HedgeBudget/2
		return
	}
	away := milliseconds - p.mean
	p.mean += away / 8
	if away < 0 {
		away = -away
	}
	p.deviation += (away - p.deviation) / 4
}

// Timeout is the time past which a wait is out of the ordinary: between least and most;
// most until enough was seen.
func (p *Latency) Timeout(least, most clock.Duration) clock.Duration {
	if p.count < constants.PaceLeast {
		return most
	}
	return min(max(clock.Milliseconds(p.mean+constants.PaceSpread*p.deviation), least), most)
}

// TrySpend takes one retry after a silence out of the budget. When a whole service grows
// slow, leaving for elsewhere would only add to its load: then the budget runs dry.
// The wait itself is observed, as the least that the response would have taken.
func (p *Latency) TakeRetry(waited clock.Duration) bool {
	if p.retryBudget < 1 {
		return false
	}
	budget := p.retryBudget - 1
	p.Observe(clock.ToMilliseconds(waited))
	p.retryBudget = budget
	return true
}
