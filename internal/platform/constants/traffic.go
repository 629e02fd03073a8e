package constants

import "time"

const (
	// TrafficWindow is the length of a window of the traffic summaries. Two windows are kept: with
	// steady traffic a forecast is based on the last one to two minutes, and on three at most, since a
	// window ends only when a request ends or summaries are read.
	TrafficWindow = time.Minute
	// TrafficClasses is the maximum number of classes in a window. At four histograms of about
	// 2 KB each, two full windows stay under 0.6 MB.
	TrafficClasses = 32
	// TrafficCollectors is how many processes a controller queries for their summaries
	// concurrently. The responses share its link with control messages.
	TrafficCollectors = 16
)
