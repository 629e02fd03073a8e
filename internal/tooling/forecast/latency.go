package forecast

import (
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/traffic/trafficstats"
)

// latencyModel models the speed of the workers of a service as observed by gateways.
type latencyModel struct {
	// firstMs is the time to the first event of a request whose whole prompt is cached; tokenMs is
	// added for each fresh token of the prompt. prefillKnown is set if both could be fitted.
	firstMs, tokenMs float64
	prefillKnown     bool
	// eventMs is the time between two events of a request that runs alone at a worker; perRequestMs
	// is added for each other request that runs there. decodeKnown is set if both could be fitted.
	eventMs, perRequestMs float64
	decodeKnown           bool
}

// fitLatency fits the latency model of a service to the regression sums in its traffic summaries.
func (k *FleetState) fitLatency(name string) latencyModel {
	var prefill, decode messages.Regression
	for i := range k.Summaries {
		if k.Summaries[i].Service != name {
			continue
		}
		trafficstats.AddRegression(&prefill, &k.Summaries[i].Prefill)
		trafficstats.AddRegression(&decode, &k.Summaries[i].Decode)
	}
	fitted := latencyModel{}
	fitted.firstMs, fitted.tokenMs, fitted.prefillKnown = fitLineMs(&prefill)
	base, slope, known := fitLineMs(&decode)
	// The fitted line counts all running requests, including the request itself.
	fitted.eventMs, fitted.perRequestMs, fitted.decodeKnown = base+slope, slope, known
	return fitted
}

// fitLineMs is fitLine for sums whose y values are in tenths of a millisecond.
func fitLineMs(sums *messages.Regression) (base, slope float64, known bool) {
	base, slope, known = fitLine(sums)
	return base / 10, slope / 10, known
}

// fitLine fits y = base + slope*x with base and slope of at least 0. If x hardly varies, or y does
// not increase with x, it returns the mean of y with slope 0. known is false if there are fewer than
// pointsMin points.
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
		// Fits the line through the origin.
		return 0, sums.XY / sums.XX, true
	}
	return base, slope, true
}
