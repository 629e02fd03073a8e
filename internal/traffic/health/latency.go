package health

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// Latency estimates the usual value of a time from its mean and mean deviation, as RFC 6298 does
// for round trips, and derives from it the timeout after which a silence is unusually long.
type Latency struct {
	// mean and deviation are in ms.
	mean, deviation float64
	count           int
	retryBudget     float64
}

// Observe adds a time in ms.
func (l *Latency) Observe(milliseconds float64) {
	l.count++
	l.retryBudget = min(l.retryBudget+constants.HedgeBudgetPerResponse, constants.HedgeBudget)
	if l.count == 1 {
		l.mean, l.deviation, l.retryBudget = milliseconds, milliseconds/2, constants.HedgeBudget/2
		return
	}
	difference := milliseconds - l.mean
	l.mean += difference / 8
	if difference < 0 {
		difference = -difference
	}
	l.deviation += (difference - l.deviation) / 4
}

// Timeout returns the time after which a wait is unusual, between shortest and longest. It returns
// longest until constants.LatencySamplesMin times have been observed.
func (l *Latency) Timeout(shortest, longest clock.Duration) clock.Duration {
	if l.count < constants.LatencySamplesMin {
		return longest
	}
	return min(max(clock.Milliseconds(l.mean+constants.LatencyDeviations*l.deviation), shortest), longest)
}

// TakeRetry takes one retry after a silence from the budget and reports whether there was one. When
// a whole service becomes slow, retries on other workers would only add to its load; the budget
// then runs out. The wait itself is observed as a lower bound of the response time.
func (l *Latency) TakeRetry(waited clock.Duration) bool {
	if l.retryBudget < 1 {
		return false
	}
	budget := l.retryBudget - 1
	l.Observe(clock.ToMilliseconds(waited))
	l.retryBudget = budget
	return true
}
