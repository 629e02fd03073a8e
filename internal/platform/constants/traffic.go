package constants

import "time"

const (
	// TrafficWindow is the length of a window of the traffic summaries. Two windows are kept, so
	// that a forecast is based on one to two minutes.
	TrafficWindow = time.Minute
	// TrafficClasses is the maximum number of classes in a window. At four histograms of about
	// 2 KB each, two full windows stay under 0.6 MB.
	TrafficClasses = 32
	// TrafficCollectors is how many processes a controller queries for their summaries
	// concurrently. The responses share its link with control messages.
	TrafficCollectors = 16
)
