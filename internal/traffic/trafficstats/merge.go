package trafficstats

import (
	"slices"
	"strings"

	"lemonarch/internal/platform/messages"
)

// Merged is summaries of several processes by class. Any order of adding gives the same.
type Merged map[Class]*mergedClass

// mergedClass is a summary whose histograms are kept by bucket.
type mergedClass struct {
	summary messages.TrafficSummary
	// buckets are those of QueueWait, FirstEvent, EventGap and Duration.
	buckets [4]map[uint16]int64
}

// histograms gives the histograms of a summary, in the order of mergedClass.buckets.
func histograms(s *messages.TrafficSummary) [4]*messages.Histogram {
	return [4]*messages.Histogram{&s.QueueWait, &s.FirstEvent, &s.EventGap, &s.Duration}
}

// Add adds a summary.
func (m Merged) Add(s *messages.TrafficSummary) {
	class := Class{s.Route, s.Service, s.Model}
	have := m[class]
	if have == nil {
		have = &mergedClass{summary: messages.TrafficSummary{Route: s.Route, Service: s.Service, Model: s.Model}}
		for i := range have.buckets {
			have.buckets[i] = map[uint16]int64{}
		}
		m[class] = have
	}
	total := &have.summary
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
				have.buckets[i][bucket] += histogram.Counts[j]
			}
		}
	}
}

// AddRegression adds sums to a total.
func AddRegression(total, more *messages.Regression) {
	total.Count += more.Count
	total.X += more.X
	total.Y += more.Y
	total.XX += more.XX
	total.XY += more.XY
}

// Summaries gives the merged summaries in order of their classes.
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

// sorted gives a histogram with its buckets in order.
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
