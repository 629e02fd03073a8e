package loadgen

import (
	"fmt"
	"sort"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// KindResult is the result of one kind of request.
type KindResult struct {
	Name string `json:"kind"`
	// Sent is the number of requests, or of items for batch jobs. InTime and Late are those served
	// within and after their setpoint, Failed the others.
	Sent   int `json:"sent"`
	InTime int `json:"in-time"`
	Late   int `json:"late"`
	Failed int `json:"failed"`
	// Worth is the share of the possible worth (owed) that was earned, 0 to 1.
	Worth  float64 `json:"worth"`
	earned float64
	owed   float64
	// P50, P90, P99 and Max are latencies in ms: up to the first event of a stream, up to the end
	// of a plain response, or from the submission of a batch job to the read of an item's output.
	P50 float64 `json:"p50-ms"`
	P90 float64 `json:"p90-ms"`
	P99 float64 `json:"p99-ms"`
	Max float64 `json:"max-ms"`

	times *hdrhistogram.Histogram
}

// DrainCounts counts the attempts sent to gateways between their SIGTERM and their exit: all of them, those
// sent after DrainAcceptTime, and those whose response promised that they have not run.
type DrainCounts struct {
	Sent    int `json:"sent"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
}

// Result is the result of one load run against one fleet.
type Result struct {
	Label string `json:"label"`
	// Worth is the share of the possible worth that was earned over all kinds, 0 to 1.
	Worth float64       `json:"worth"`
	Kinds []*KindResult `json:"kinds"`
	// Causes counts the failed requests and items by kind and cause, Retried the failed attempts that
	// were retried by cause.
	Causes  map[string]int `json:"failures-by-cause"`
	Retried map[string]int `json:"tries-again-by-cause"`
	// Findings are the first rule violations, at most constants.LoadFindings of them. Broken is the
	// number of all violations.
	Findings []Finding `json:"findings"`
	Broken   int       `json:"broken"`
	Notes    []string  `json:"notes"`
	// NotSent is the number of requests not sent because too many were in flight, Runs the number of
	// runs that the workers recorded, Took the duration of the load in seconds.
	NotSent int `json:"not-sent"`
	// ConfigReads counts the reads of the configuration that were answered with 200, FailedConfigReads
	// those without a response, and Generations the acknowledged configurations.
	ConfigReads       int `json:"config-reads"`
	FailedConfigReads int `json:"config-reads-failed"`
	Generations       int `json:"generations"`
	// GatewayStops is the number of graceful stops of gateways, Draining counts the attempts sent to a
	// gateway that had got SIGTERM.
	GatewayStops int         `json:"gateway-stops"`
	Draining     DrainCounts `json:"draining"`
	Runs         int         `json:"runs-at-workers"`
	Took         float64     `json:"took-s"`

	// lock guards the results of the kinds, the causes, findings and notes, and NotSent.
	lock  sync.Mutex
	kinds map[string]*KindResult
}

func newResult(label string) *Result {
	return &Result{Label: label, Causes: map[string]int{}, Retried: map[string]int{}, Findings: []Finding{}, Notes: []string{}, kinds: map[string]*KindResult{}}
}

// kind returns the result of a kind and creates it if needed. The caller holds the lock.
func (r *Result) kind(name string) *KindResult {
	kind := r.kinds[name]
	if kind == nil {
		kind = &KindResult{Name: name, times: hdrhistogram.New(1, constants.LoadTime.Microseconds(), constants.LoadDigits)}
		r.kinds[name] = kind
		r.Kinds = append(r.Kinds, kind)
		sort.Slice(r.Kinds, func(left, right int) bool { return r.Kinds[left].Name < r.Kinds[right].Name })
	}
	return kind
}

// record adds a latency.
func (k *KindResult) record(span clock.Duration) {
	_ = k.times.RecordValue(max(span.Microseconds(), 1))
}

// count counts one request or item. One in time earns the whole worth of its kind, a late one the
// share constants.LateResponseValue of it, a failed one nothing. The caller holds the lock.
func (r *Result) count(name string, inTime, served bool) *KindResult {
	kind, value := r.kind(name), profiles[name].worth
	kind.Sent++
	kind.owed += value
	switch {
	case inTime:
		kind.InTime++
		kind.earned += value
	case served:
		kind.Late++
		kind.earned += value * constants.LateResponseValue
	default:
		kind.Failed++
	}
	return kind
}

// countServed counts a request that was served completely. It is in time if the first event, or the
// end of a plain response, came within the setpoint and no gap between events exceeded GapMs (if
// that is set).
func (r *Result) countServed(spec *requestSpec, state *requestState, now clock.Instant) {
	r.lock.Lock()
	defer r.lock.Unlock()
	respondedAt := state.firstEvent
	if respondedAt == 0 {
		respondedAt = now
	}
	latency := respondedAt.Sub(state.started)
	inTime := latency <= spec.route.Setpoint() && (spec.route.GapMs <= 0 || state.maxGap <= clock.Milliseconds(spec.route.GapMs))
	r.count(spec.kind, inTime, true).record(latency)
}

// countFailed counts a request that was not served.
func (r *Result) countFailed(spec *requestSpec, cause string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.count(spec.kind, false, false)
	r.Causes[spec.kind+": "+cause]++
}

// countRetry counts a failed attempt that is retried.
func (r *Result) countRetry(cause string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.Retried[cause]++
}

// countSubmission counts an accepted batch job and how long its submission took.
func (r *Result) countSubmission(took clock.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	kind := r.kind(submissionKind)
	kind.Sent++
	kind.InTime++
	kind.record(took)
}

// submissionKind is the name under which accepted batch jobs are reported. They earn nothing
// themselves; their items do.
const submissionKind = "batch-202"

// countItem counts one listed item of a batch job.
func (r *Result) countItem(completed bool, took clock.Duration, inTime bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	kind := r.count("batch", completed && inTime, completed)
	if completed {
		kind.record(took)
	} else {
		r.Causes["batch: item abandoned"]++
	}
}

// countFailedItems counts items of a batch job that were never listed.
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

// addFinding counts a rule violation and keeps it unless constants.LoadFindings are kept already.
func (r *Result) addFinding(finding Finding) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.Broken++
	if len(r.Findings) < constants.LoadFindings {
		r.Findings = append(r.Findings, finding)
	}
}

// progressLine returns one line about the progress of the load.
func (r *Result) progressLine(span clock.Duration) string {
	r.lock.Lock()
	defer r.lock.Unlock()
	inTime, late, failed := 0, 0, 0
	for _, kind := range r.Kinds {
		if kind.Name != submissionKind {
			inTime, late, failed = inTime+kind.InTime, late+kind.Late, failed+kind.Failed
		}
	}
	return fmt.Sprintf("%s after=%.0fs in-time=%d late=%d failed=%d broken=%d", r.Label, span.Seconds(), inTime, late, failed, r.Broken)
}

// Finalize computes worth and percentiles from the counts.
func (r *Result) Finalize() {
	r.lock.Lock()
	defer r.lock.Unlock()
	earned, owed := 0.0, 0.0
	for _, kind := range r.Kinds {
		earned, owed = earned+kind.earned, owed+kind.owed
		if kind.owed > 0 {
			kind.Worth = kind.earned / kind.owed
		}
		percentileMs := func(percent float64) float64 { return float64(kind.times.ValueAtPercentile(percent)) / 1000 }
		kind.P50, kind.P90, kind.P99, kind.Max = percentileMs(50), percentileMs(90), percentileMs(99), float64(kind.times.Max())/1000
	}
	if owed > 0 {
		r.Worth = earned / owed
	}
}

// Served returns the number of requests and items served, in time or late.
func (r *Result) Served() int {
	count := 0
	for _, kind := range r.Kinds {
		if kind.Name != submissionKind {
			count += kind.InTime + kind.Late
		}
	}
	return count
}
