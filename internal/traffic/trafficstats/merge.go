package trafficstats

import (
	"slices"
	"strings"

	"lemonarch/internal/platform/messages"
)

// Merged contains the merged summaries of several processes by class. The result does not depend on
// the order in which summaries are added.
type Merged map[Class]*mergedClass

// mergedClass is the merged summary of a class, with the histograms as counts by bucket.
type mergedClass struct {
	summary messages.TrafficSummary
	// buckets contains the counts of QueueWait, FirstEvent, EventGap and Duration, in this order.
	buckets [4]map[uint16]int64
}

// histograms returns the histograms of a summary, in the order of mergedClass.buckets.
func histograms(s *messages.TrafficSummary) [4]*messages.Histogram {
	return [4]*messages.Histogram{&s.QueueWait, &s.FirstEvent, &s.EventGap, &s.Duration}
}

// Add merges a summary into that of its class.
func (m Merged) Add(s *messages.TrafficSummary) {
	class := Class{s.Route, s.Service, s.Model}
	merged := m[class]
	if merged == nil {
		merged = &mergedClass{summary: messages.TrafficSummary{Route: s.Route, Service: s.Service, Model: s.Model}}
		for i := range merged.buckets {
			merged.buckets[i] = map[uint16]int64{}
		}
		m[class] = merged
	}
	total := &merged.summary
	total.Bulk = total.Bulk || s.Bulk
	total.Served += s.Served
	total.Rejected += s.Rejected
	total.Failed += s.Failed
	total.PromptTokens += s.PromptTokens
	total.FreshTokens += s.FreshTokens
	total.OutTokens += s.OutTokens
	total.Placed += s.Placed
	total.Events += s.Events
	AddRegression(&total.Prefill, &s.Prefill)
	AddRegression(&total.Decode, &s.Decode)
	for i, histogram := range histograms(s) {
		for j, bucket := range histogram.Buckets {
			if j < len(histogram.Counts) {
				merged.buckets[i][bucket] += histogram.Counts[j]
			}
		}
	}
}

// AddRegression adds the sums of a regression to a total.
func AddRegression(total, added *messages.Regression) {
	total.Count += added.Count
	total.X += added.X
	total.Y += added.Y
	total.XX += added.XX
	total.XY += added.XY
}

// Summaries returns the merged summaries, sorted by class.
func (m Merged) Summaries() []messages.TrafficSummary {
	summaries := make([]messages.TrafficSummary, 0, len(m))
	for _, class := range m {
		summary := class.summary
		for i, histogram := range histograms(&summary) {
			*histogram = histogramOf(class.buckets[i])
		}
		summaries = append(summaries, summary)
	}
	slices.SortFunc(summaries, func(left, right messages.TrafficSummary) int {
		return strings.Compare(left.Route+"\x00"+left.Service+"\x00"+left.Model, right.Route+"\x00"+right.Service+"\x00"+right.Model)
	})
	return summaries
}

// histogramOf returns a histogram of counts by bucket, with the buckets in ascending order.
func histogramOf(counts map[uint16]int64) messages.Histogram {
	histogram := messages.Histogram{}
	for bucket := range counts {
		histogram.Buckets = append(histogram.Buckets, bucket)
	}
	slices.Sort(histogram.Buckets)
	for _, bucket := range histogram.Buckets {
		histogram.Counts = append(histogram.Counts, counts[bucket])
	}
	return histogram
}
