package forecast

import (
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/traffic/trafficstats"
)

// pace is how fast the workers of a service are, as a gateway sees them.
type pace struct {
	// firstMs is the time to the first event of a request without anything to read; tokenMs is
	// added for each fresh token of its prompt. known says that both were learnt.
	firstMs, tokenMs float64
	prefillKnown     bool
	// eventMs is the time between two events of a request alone at a worker; eachMs is added
	// for each other request that runs there.
	eventMs, eachMs float64
	decodeKnown     bool
}

// paceOf learns the pace of a service from the lines that its requests drew.
func (k *Known) paceOf(name string) pace {
	var prefill, decode messages.Regression
	for i := range k.Summaries {
		if k.Summaries[i].Service != name {
			continue
		}
		trafficstats.AddRegression(&prefill, &k.Summaries[i].Prefill)
		trafficstats.AddRegression(&decode, &k.Summaries[i].Decode)
	}
	learnt := pace{}
	learnt.firstMs, learnt.tokenMs, learnt.prefillKnown = fitLineMs(&prefill)
	base, slope, known := fitLineMs(&decode)
	// The line is over all requests that run, the request itself among them.
	learnt.eventMs, learnt.eachMs, learnt.decodeKnown = base+slope, slope, known
	return learnt
}

// fitLineMs is fitLine for sums whose y are tenths of a millisecond.
func fitLineMs(sums *messages.Regression) (base, slope float64, known bool) {
	base, slope, known = fitLine(sums)
	return base / 10, slope / 10, known
}

// fitLine fits y = base + slope x, neither below zero: where the points do not spread, or fall,
// the mean stands for all x. known is false where there are too few points.
func fitLine(sums *messages.Regression) (base, slope float64, known bool) {
	if sums.Count < pointsMin {
		return 0, 0, false
	}
	meanX, meanY := sums.X/sums.Count, sums.Y/sums.Count
	variance := sums.XX/sums.Count - meanX*meanX
	covariance := sums.XY/sums.Count - meanX*meanY
	if variance <= 1e-9*(1+meanX*meanX) || covariance <= 0 {
		return meanY, 0, true
	}
	slope = covariance / variance
	base = meanY - slope*meanX
	if base < 0 {
		// Through the origin.
		return 0, sums.XY / sums.XX, true
	}
	return base, slope, true
}
