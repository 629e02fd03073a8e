package workeremulator

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"sync"

	"lemonarch/internal/platform/constants"
)

// Run is one run of a request at a worker, as the worker saw it.
type Run struct {
	Attempt string `json:"attempt"`
	Worker  string `json:"worker"`
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// Body is the sum of the body that came.
	Body string `json:"body"`
	// From is the event behind which the run was asked to go on.
	From int64 `json:"from"`
	// Ended tells that the worker gave the whole answer away.
	Ended bool `json:"ended"`
}

// Record keeps the runs of all workers of a lab; it is what answers are held against.
type Record struct {
	lock sync.Mutex
	runs []*Run
	// Dropped counts runs that no longer fitted.
	dropped int
}

// Begin notes that a run has begun.
func (r *Record) Begin(run Run) *Run {
	r.lock.Lock()
	defer r.lock.Unlock()
	stored := &run
	if len(r.runs) >= constants.EmulatorRunLimit {
		// Bounded: the check says that it saw only a part.
		r.dropped++
		return stored
	}
	r.runs = append(r.runs, stored)
	return stored
}

// End notes that a run gave its whole answer.
func (r *Record) End(run *Run) {
	r.lock.Lock()
	defer r.lock.Unlock()
	run.Ended = true
}

// Of gives the runs whose attempt id begins with the prefix, and how many runs no
// longer fitted into the record.
func (r *Record) Of(prefix string) ([]Run, int) {
	r.lock.Lock()
	defer r.lock.Unlock()
	runs := []Run{}
	for _, run := range r.runs {
		if strings.HasPrefix(run.Attempt, prefix) {
			runs = append(runs, *run)
		}
	}
	return runs, r.dropped
}

func sum(parts ...string) string {
	digest := sha256.Sum256([]byte(strings.Join(parts, "\x00")))
	return hex.EncodeToString(digest[:6])
}

// BodySum names a body.
func BodySum(body []byte) string { return sum("body", string(body)) }

// Seal is the stamp of a worker on the answer to an attempt.
func Seal(worker, attempt string) string { return worker + "." + sum("seal", worker, attempt) }

// Sealed tells whether a stamp belongs to an attempt, and which worker gave it.
func Sealed(seal, attempt string) (worker string, valid bool) {
	worker, _, _ = strings.Cut(seal, ".")
	return worker, worker != "" && seal == Seal(worker, attempt)
}

// hopeless tells whether an attempt belongs to the share that can never be done.
func neverSucceeds(attempt string, share float64) bool {
	digest := sha256.Sum256([]byte("never" + attempt))
	return float64(digest[0])/256 < share
}

// PlainBody is the whole answer to a plain request.
func PlainBody(attempt string, body []byte) string {
	return fmt.Sprintf("answer to %s, %s\n", attempt, sum("plain", attempt, string(body)))
}

// EventData is the data of one event of a stream: every worker makes the same, so a
// stream that goes on elsewhere can be checked.
func EventData(attempt string, number int64) string {
	return fmt.Sprintf("%d-%s", number, sum("event", attempt, fmt.Sprint(number)))
}

// Events is how many events hold a number of tokens.
func Events(out int64, stride int) int64 { return (out + int64(stride) - 1) / int64(stride) }
