package loadgen

import (
	"fmt"
	"sort"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// Kind is what came of one kind of request.
type Kind struct {
	Name string `json:"kind"`
	// Sent counts orders (of lots: items), InTime and Late those served, Failed the others.
	Sent   int `json:"sent"`
	InTime int `json:"in-time"`
	Late   int `json:"late"`
	Failed int `json:"failed"`
	// Worth is what was earned of what was owed, 0 to 1.
	Worth  float64 `json:"worth"`
	earned float64
	owed   float64
	// The percentiles are in ms: to the first event of a stream, to the end of a plain
	// answer, from the handing in of a lot to the reading of an item.
	P50 float64 `json:"p50-ms"`
	P90 float64 `json:"p90-ms"`
	P99 float64 `json:"p99-ms"`
	Max float64 `json:"max-ms"`

	times *hdrhistogram.Histogram
}

// Result is what came of one load on one fleet.
type Result struct {
	Label string `json:"label"`
	// Worth is what was earned of what was owed, over all kinds.
	Worth   float64        `json:"worth"`
	Kinds   []*Kind        `json:"kinds"`
	Causes  map[string]int `json:"failures-by-cause"`
	Retried map[string]int `json:"tries-again-by-cause"`
	// Findings holds the broken promises, at most constants.LoadFindings of them;
	// Broken counts all.
	Findings []Finding `json:"findings"`
	Broken   int       `json:"broken"`
	Notes    []string  `json:"notes"`
	NotSent  int       `json:"not-sent"`
	Runs     int       `json:"runs-at-workers"`
	Took     float64   `json:"took-s"`

	lock  sync.Mutex
	kinds map[string]*Kind
}

func newResult(label string) *Result {
	return &Result{Label: label, Causes: map[string]int{}, Retried: map[string]int{}, Findings: []Finding{}, Notes: []string{}, kinds: map[string]*Kind{}}
}

// kind finds the counts of a kind. The lock is held.
func (r *Result) kind(name string) *Kind {
	entry := r.kinds[name]
	if entry == nil {
		entry = &Kind{Name: name, times: hdrhistogram.New(1, constants.LoadTime.Microseconds(), constants.LoadDigits)}
		r.kinds[name] = entry
		r.Kinds = append(r.Kinds, entry)
		sort.Slice(r.Kinds, func(left, right int) bool { return r.Kinds[left].Name < r.Kinds[right].Name })
	}
	return entry
}

func (k *Kind) record(span clock.Duration) { _ = k.times.RecordValue(max(span.Microseconds(), 1)) }

// count adds a share of the worth to what was earned. The lock is held.
func (r *Result) count(name string, inTime, served bool) *Kind {
	entry, value := r.kind(name), profiles[name].worth
	entry.Sent++
	entry.owed += value
	switch {
	case inTime:
		entry.InTime++
		entry.earned += value
	case served:
		entry.Late++
		entry.earned += value * constants.LoadLate
	default:
		entry.Failed++
	}
	return entry
}

// serve counts an order that was served whole.
func (r *Result) countServed(order *requestSpec, state *requestState, now clock.Instant) {
	r.lock.Lock()
	defer r.lock.Unlock()
	first := state.firstEvent
	if first == 0 {
		first = now
	}
	took := first.Sub(state.started)
	inTime := took <= order.route.Setpoint() && (order.route.GapMs <= 0 || state.maxGap <= clock.Milliseconds(order.route.GapMs))
	r.count(order.kind, inTime, true).record(took)
}

// fail counts an order that was not served.
func (r *Result) countFailed(order *requestSpec, cause string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.count(order.kind, false, false)
	r.Causes[order.kind+": "+cause]++
}

// again counts a try that failed and is followed by another.
func (r *Result) countRetry(cause string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.Retried[cause]++
}

// submitJob notes how long the handing in of a lot took.
func (r *Result) countSubmission(took clock.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	entry := r.kind(submissionKind)
	entry.Sent++
	entry.InTime++
	entry.record(took)
}

// handInKind is the line of the report on accepted lots; it earns nothing itself.
const submissionKind = "batch-202"

// item counts one listed item.
func (r *Result) countItem(completed bool, took clock.Duration, inTime bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	entry := r.count("batch", completed && inTime, completed)
	if completed {
		entry.record(took)
	} else {
		r.Causes["batch: item abandoned"]++
	}
}

// failItems counts items that were never listed.
func (r *Result) countFailedItems(count int, cause string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for ; count > 0; count-- {
		r.count("batch", false, false)
		r.Causes["batch: "+cause]++
	}
}

func (r *Result) countNotSent() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.NotSent++
}

func (r *Result) addNote(text string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.Notes = append(r.Notes, text)
}

// find keeps a broken promise.
func (r *Result) addFinding(finding Finding) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.Broken++
	if len(r.Findings) < constants.LoadFindings {
		r.Findings = append(r.Findings, finding)
	}
}

// sofar is one line of progress.
func (r *Result) progressLine(span clock.Duration) string {
	r.lock.Lock()
	defer r.lock.Unlock()
	inTime, late, failed := 0, 0, 0
	for _, entry := range r.Kinds {
		if entry.Name != submissionKind {
			inTime, late, failed = inTime+entry.InTime, late+entry.Late, failed+entry.Failed
		}
	}
	return fmt.Sprintf("%s after=%.0fs in-time=%d late=%d failed=%d broken=%d", r.Label, span.Seconds(), inTime, late, failed, r.Broken)
}

// Close works out worth and percentiles.
func (r *Result) Close() {
	r.lock.Lock()
	defer r.lock.Unlock()
	earned, owed := 0.0, 0.0
	for _, entry := range r.Kinds {
		earned, owed = earned+entry.earned, owed+entry.owed
		if entry.owed > 0 {
			entry.Worth = entry.earned / entry.owed
		}
		at := func(percent float64) float64 { return float64(entry.times.ValueAtPercentile(percent)) / 1000 }
		entry.P50, entry.P90, entry.P99, entry.Max = at(50), at(90), at(99), float64(entry.times.Max())/1000
	}
	if owed > 0 {
		r.Worth = earned / owed
	}
}

// Served counts what was served at all, in time or late.
func (r *Result) Served() int {
	count := 0
	for _, entry := range r.Kinds {
		if entry.Name != submissionKind {
			count += entry.InTime + entry.Late
		}
	}
	return count
}
