// Package trafficstats keeps bounded, mergeable summaries of the requests that a process
// placed, by route, service and model, over the last minutes. They cost nothing on the wire
// until somebody asks for them (docs/forecast.md).
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

// The outcomes.
const (
	OutcomeFailed Outcome = iota
	OutcomeServed
	OutcomeRejected
)

// Class is what requests are told apart by.
type Class struct {
	Route, Service, Model string
}

// otherClass takes the requests of classes beyond constants.TrafficClasses.
var otherClass = Class{Route: "(other)"}

// Observation is one request that ended.
type Observation struct {
	Class   Class
	Bulk    bool
	Outcome Outcome
	// Placed says that a worker was found; the fields below are of no meaning without it.
	Placed bool
	// PromptTokens, FreshTokens and OutTokens: see messages.TrafficSummary.
	PromptTokens, FreshTokens, OutTokens int
	Events                               int
	// QueueWait is from the arrival until a worker was found; FirstEvent and Duration are from
	// the sending, zero where there was none.
	QueueWait, FirstEvent, Duration clock.Duration
	// EventGap is the mean time between two events, zero for fewer than two.
	EventGap clock.Duration
	// Running and Waiting are the requests at the worker at the first event, by its own word;
	// LoadKnown says that it gave one.
	LoadKnown        bool
	Running, Waiting int
}

// Recorder keeps the summaries of a process. It is safe for concurrent use; a nil one records
// nothing.
type Recorder struct {
	lock sync.Mutex
	// current is being filled since startedAt; previous was filled before it.
	current, previous     map[Class]*classStats
	startedAt, previousAt clock.Instant
}

// New makes a recorder that begins now.
func New(now clock.Instant) *Recorder {
	return &Recorder{current: map[Class]*classStats{}, startedAt: now, previousAt: now}
}

// classStats is a summary whose histograms are still open.
type classStats struct {
	summary                                messages.TrafficSummary
	queueWait, firstEvent, eventGap, duration *hdrhistogram.Histogram
}

func newClassStats(class Class) *classStats {
	return &classStats{summary: messages.TrafficSummary{Route: class.Route, Service: class.Service, Model: class.Model},
		queueWait: newHistogram(), firstEvent: newHistogram(), eventGap: newHistogram(), duration: newHistogram()}
}

// Record adds a request that ended.
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

// addClass begins the summary of a class, or gives that of the others where there are many. The
// lock is held.
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

// rotate begins a new window where the present one is over. The lock is held.
func (r *Recorder) rotate(now clock.Instant) {
	if now.Sub(r.startedAt) < constants.TrafficWindow {
		return
	}
	r.previous, r.previousAt = r.current, r.startedAt
	if now.Sub(r.startedAt) >= 2*constants.TrafficWindow {
		// Nothing came for so long that the window before holds nothing either.
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

// addPoint adds a point. Sums of whole numbers are exact, so that summaries can be merged in
// any order.
func addSample(sums *messages.Regression, count int, time clock.Duration) {
	x, y := float64(count), math.Round(clock.ToMilliseconds(time)*10)
	sums.Count++
	sums.X += x
	sums.Y += y
	sums.XX += x * x
	sums.XY += x * y
}

// Summaries gives the summaries of the present window and the one before, merged, in order of
// their classes, and the time that they cover.
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

// encoded gives the summary with its histograms.
func (s *classStats) encoded() messages.TrafficSummary {
	summary := s.summary
	summary.QueueWait, summary.FirstEvent = encode(s.queueWait), encode(s.firstEvent)
	summary.EventGap, summary.Duration = encode(s.eventGap), encode(s.duration)
	return summary
}
