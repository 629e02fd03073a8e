package workeremulator

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"sync"

	"lemonarch/internal/platform/constants"
)

// Run is one run of a request at a worker, as recorded by the worker.
type Run struct {
	Attempt string `json:"attempt"`
	Worker  string `json:"worker"`
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// Body is the checksum of the received request body.
	Body string `json:"body"`
	// From is the number of the event after which the stream was to be resumed.
	From int64 `json:"from"`
	// Ended reports whether the worker sent the whole response.
	Ended bool `json:"ended"`
}

// Record stores the runs of all workers of a lab. Responses are checked against it.
type Record struct {
	lock sync.Mutex
	runs []*Run
	// dropped counts the runs that exceeded the record's limit.
	dropped int
}

// Begin records that a run has begun.
func (r *Record) Begin(run Run) *Run {
	r.lock.Lock()
	defer r.lock.Unlock()
	stored := &run
	if len(r.runs) >= constants.EmulatorRunLimit {
		// The record is limited. The check reports that it saw only a part.
		r.dropped++
		return stored
	}
	r.runs = append(r.runs, stored)
	return stored
}

// End records that a run sent its whole response.
func (r *Record) End(run *Run) {
	r.lock.Lock()
	defer r.lock.Unlock()
	run.Ended = true
}

// WithPrefix returns the runs whose attempt id starts with the prefix, and the number of runs that
// exceeded the record's limit.
func (r *Record) WithPrefix(prefix string) ([]Run, int) {
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

// BodySum returns the checksum of a request body.
func BodySum(body []byte) string { return sum("body", string(body)) }

// Seal returns the seal of a worker on the response to an attempt.
func Seal(worker, attempt string) string { return worker + "." + sum("seal", worker, attempt) }

// VerifySeal reports whether a seal is valid for an attempt, and returns the worker that it names.
func VerifySeal(seal, attempt string) (worker string, valid bool) {
	worker, _, _ = strings.Cut(seal, ".")
	return worker, worker != "" && seal == Seal(worker, attempt)
}

// neverSucceeds reports whether an attempt belongs to the share that fails at every worker
// (Faults.Never).
func neverSucceeds(attempt string, share float64) bool {
	digest := sha256.Sum256([]byte("never" + attempt))
	return float64(digest[0])/256 < share
}

// PlainBody returns the whole response body of a plain request.
func PlainBody(attempt string, body []byte) string {
	return fmt.Sprintf("answer to %s, %s\n", attempt, sum("plain", attempt, string(body)))
}

// EventData returns the data of one event of a stream. It is the same at every worker, so that
// a stream resumed at another worker can be checked.
func EventData(attempt string, number int64) string {
	return fmt.Sprintf("%d-%s", number, sum("event", attempt, fmt.Sprint(number)))
}

// Events returns the number of events that a number of tokens takes.
func Events(out int64, stride int) int64 { return (out + int64(stride) - 1) / int64(stride) }
