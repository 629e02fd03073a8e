package constants

import "time"

const (
	// TrafficWindow is the length of a window of the traffic summaries (ours): two windows are
	// kept, so that a forecast stands on one to two minutes.
	TrafficWindow = time.Minute
	// TrafficClasses bounds the classes of a window (ours): at four histograms of about 2 KB
	// each, two full windows stay under 0.6 MB.
	TrafficClasses = 32
	// TrafficCollectors is how many processes a controller asks for their summaries at once
	// (ours): the answers share its link with control.
	TrafficCollectors = 16
)
