// Package trafficstats records bounded, mergeable summaries of the requests that a process
// placed, by route, service and model, over the current and the previous window. With steady traffic
// that is the last one to two minutes, and three at most, since a window ends only when a request ends
// or summaries are read. Summaries are sent only on request, so they cost no network traffic otherwise
// (docs/forecast.md).
package trafficstats

import (
	"math"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Outcome is how a request ended.
type Outcome uint8

// The values of Outcome.
const (
	OutcomeFailed Outcome = iota
	OutcomeServed
	OutcomeRejected
)

// Class identifies a class of requests, for which one summary is recorded.
type Class struct {
	Route, Service, Model string
}

// otherClass counts the requests of all further classes when a window already has
// constants.TrafficClasses classes.
var otherClass = Class{Route: "(other)"}

// Observation describes one request that ended.
type Observation struct {
	Class   Class
	Bulk    bool
	Outcome Outcome
	// Placed is true if a worker was found for the request. If it is false, the fields below have no
	// meaning, except QueueWait.
	Placed bool
	// PromptTokens, FreshTokens and OutTokens are as defined in messages.TrafficSummary.
	PromptTokens, FreshTokens, OutTokens int
	Events                               int
	// QueueWait is the time from the arrival until a worker was found, or until the end if none was.
	// FirstEvent is the time from sending the request to the first event, or 0 if there was none.
	// Duration is the time from sending the request to its end.
	QueueWait, FirstEvent, Duration clock.Duration
	// EventGap is the mean time between two events, or 0 if there were fewer than two.
	EventGap clock.Duration
	// Running and Waiting are the numbers of requests at the worker at the first event, as reported
	// by the worker. LoadKnown is true if it reported them.
	LoadKnown        bool
	Running, Waiting int
}

// Recorder records the summaries of a process. It is safe for concurrent use. A nil Recorder records
// nothing.
type Recorder struct {
	lock sync.Mutex
	// current is the window that began at startedAt; previous is the window before it, which began
	// at previousAt.
	current, previous     map[Class]*classStats
	startedAt, previousAt clock.Instant
}

// New returns a recorder whose first window begins now.
func New(now clock.Instant) *Recorder {
	return &Recorder{current: map[Class]*classStats{}, startedAt: now, previousAt: now}
}

// classStats is the summary of a class in one window, with histograms that are not yet encoded.
type classStats struct {
	summary                                   messages.TrafficSummary
	queueWait, firstEvent, eventGap, duration *hdrhistogram.Histogram
}

func newClassStats(class Class) *classStats {
	return &classStats{summary: messages.TrafficSummary{Route: class.Route, Service: class.Service, Model: class.Model},
		queueWait: newHistogram(), firstEvent: newHistogram(), eventGap: newHistogram(), duration: newHistogram()}
}

// Record adds a request that ended to the summary of its class.
func (r *Recorder) Record(o *Observation, now clock.Instant) {
	if r == nil {
		return
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	r.rotate(now)
	stats := r.current[o.Class]
	if stats == nil {
		stats = r.addClass(o.Class)
	}
	stats.add(o)
}

// addClass creates and returns the summary of a class. If the window already has
// constants.TrafficClasses classes, it returns the summary of otherClass instead. The lock must be
// held.
func (r *Recorder) addClass(class Class) *classStats {
	if len(r.current) >= constants.TrafficClasses {
		class = otherClass
	}
	stats := r.current[class]
	if stats == nil {
		stats = newClassStats(class)
		r.current[class] = stats
	}
	return stats
}

// rotate begins a new window if the current one has ended. The lock must be held.
func (r *Recorder) rotate(now clock.Instant) {
	if now.Sub(r.startedAt) < constants.TrafficWindow {
		return
	}
	r.previous, r.previousAt = r.current, r.startedAt
	if now.Sub(r.startedAt) >= 2*constants.TrafficWindow {
		// No request ended for so long that the previous window is empty, too.
		r.previous, r.previousAt = nil, now.Add(-constants.TrafficWindow)
	}
	r.current, r.startedAt = map[Class]*classStats{}, now
}

func (s *classStats) add(o *Observation) {
	summary := &s.summary
	summary.Bulk = o.Bulk
	switch o.Outcome {
	case OutcomeServed:
		summary.Served++
	case OutcomeRejected:
		summary.Rejected++
	default:
		summary.Failed++
	}
	observe(s.queueWait, o.QueueWait)
	if !o.Placed {
		return
	}
	summary.Placed++
	summary.PromptTokens += int64(o.PromptTokens)
	summary.FreshTokens += int64(o.FreshTokens)
	summary.OutTokens += int64(o.OutTokens)
	summary.Events += int64(o.Events)
	if o.Outcome != OutcomeServed {
		return
	}
	observe(s.duration, o.Duration)
	if o.FirstEvent > 0 {
		observe(s.firstEvent, o.FirstEvent)
		if o.LoadKnown && o.Waiting == 0 && o.Events > 0 {
			addSample(&summary.Prefill, o.FreshTokens, o.FirstEvent)
		}
	}
	if o.Events == 0 && o.LoadKnown {
		addSample(&summary.Decode, o.Running, o.Duration)
	}
	if o.EventGap > 0 {
		observe(s.eventGap, o.EventGap)
		if o.LoadKnown {
			addSample(&summary.Decode, o.Running, o.EventGap)
		}
	}
}

// addSample adds a sample to a regression. The duration is rounded to tenths of a millisecond: sums
// of whole numbers are exact, so summaries can be merged in any order with the same result.
func addSample(sums *messages.Regression, count int, duration clock.Duration) {
	x, y := float64(count), math.Round(clock.ToMilliseconds(duration)*10)
	sums.Count++
	sums.X += x
	sums.Y += y
	sums.XX += x * x
	sums.XY += x * y
}

// Summaries returns the merged summaries of the current and the previous window, sorted by class,
// and the time that they cover.
func (r *Recorder) Summaries(now clock.Instant) (summaries []messages.TrafficSummary, observed clock.Duration) {
	if r == nil {
		return nil, 0
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	r.rotate(now)
	merged := Merged{}
	for _, window := range []map[Class]*classStats{r.previous, r.current} {
		for _, stats := range window {
			summary := stats.encoded()
			merged.Add(&summary)
		}
	}
	return merged.Summaries(), now.Sub(r.previousAt)
}

// encoded returns the summary with its histograms encoded.
func (s *classStats) encoded() messages.TrafficSummary {
	summary := s.summary
	summary.QueueWait, summary.FirstEvent = encode(s.queueWait), encode(s.firstEvent)
	summary.EventGap, summary.Duration = encode(s.eventGap), encode(s.duration)
	return summary
}
