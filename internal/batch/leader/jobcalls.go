package leader

import (
	"encoding/json"
	"net/http"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// errorBody returns the body of an error response.
func errorBody(text string) []byte {
	// Encoding a map of strings can't fail.
	body, _ := json.Marshal(map[string]string{"error": text})
	return body
}

// OutcomeUnknown returns the response to a call that may or may not take effect.
func OutcomeUnknown() *messages.JobCallResponse {
	return errorResponse(http.StatusGatewayTimeout, "outcome unknown")
}

// errorResponse returns a response with a status and an error text.
func errorResponse(status int, text string) *messages.JobCallResponse {
	return &messages.JobCallResponse{Status: status, Body: errorBody(text)}
}

// methodItem is the method of a call that reads the body of one item. Calls on behalf of clients
// have the method of the client's request.
const methodItem = "ITEM"

// Serve handles a call on a job in this epoch. NotLeader in the response means that the call had no
// effect.
func (t *Term) Serve(call *messages.JobCallRequest) *messages.JobCallResponse {
	if !t.waitServing(constants.RoundTimeout) {
		return &messages.JobCallResponse{NotLeader: true}
	}
	switch call.Method {
	case http.MethodPost:
		return t.submitJob(call)
	case http.MethodDelete:
		return t.endJob(call)
	case methodItem:
		return t.itemBody(call)
	case messages.MethodOffer:
		return t.offerJob(call)
	}
	return t.readJob(call)
}

// waitServing waits until the takeover is complete, and reports whether this process leads. It
// returns false on timeout or if the term ends.
func (t *Term) waitServing(timeout clock.Duration) bool {
	end := clock.Now().Add(timeout)
	for {
		t.lock.Lock()
		serving, changed := t.serving, t.records.changed
		t.lock.Unlock()
		if serving {
			return t.process.Election.HoldsLease()
		}
		select {
		case <-changed:
		case <-t.lifecycle.stop:
			return false
		case <-clock.After(end.Sub(clock.Now())):
			return false
		}
	}
}

// readJob returns results from a position on. If there are none yet, it waits for up to call.WaitMs.
func (t *Term) readJob(call *messages.JobCallRequest) *messages.JobCallResponse {
	end := clock.Now().Add(clock.Milliseconds(float64(call.WaitMs)))
	for {
		t.lock.Lock()
		job := t.jobs.Job(call.Job)
		if job == nil {
			t.lock.Unlock()
			return errorResponse(http.StatusNotFound, "no such lot")
		}
		listings, open, total, changed := job.Listings, job.Open(), job.Total(), t.records.changed
		t.lock.Unlock()
		if len(listings) > call.Cursor || !open || clock.Now() >= end {
			return t.page(total, call.Cursor, listings)
		}
		select {
		case <-changed:
		case <-t.lifecycle.stop:
			return t.page(total, call.Cursor, listings)
		case <-clock.After(end.Sub(clock.Now())):
		}
	}
}

// endJob ends a job permanently.
func (t *Term) endJob(call *messages.JobCallRequest) *messages.JobCallResponse {
	t.lock.Lock()
	job := t.jobs.Job(call.Job)
	if job == nil {
		t.lock.Unlock()
		return errorResponse(http.StatusNotFound, "no such lot")
	}
	if job.Ended {
		t.lock.Unlock()
		return &messages.JobCallResponse{Status: http.StatusOK, Body: []byte("{}")}
	}
	// No item of the job is started any more, and running items are cancelled immediately.
	t.submissions.ending[job.ID] = true
	t.stopJobRuns(job)
	index := t.appendRecord(messages.Record{Kind: messages.RecordJobEnd, Job: job.ID})
	t.lock.Unlock()
	if !t.awaitCommit(index, constants.CallTimeout) {
		return errorResponse(http.StatusGatewayTimeout, "end not yet durable")
	}
	return &messages.JobCallResponse{Status: http.StatusOK, Body: []byte("{}")}
}

// forgetExpiredJobs appends a record to drop each finished job whose retention period is over, so
// that the log can be compacted.
func (t *Term) forgetExpiredJobs() {
	if !t.process.Election.HoldsLease() {
		return
	}
	retention := clock.Milliseconds(t.process.Node.Settings.Tolerances.StatusS * 1000)
	wallMs, now := clock.WallNanos()/1_000_000, clock.Now()
	t.lock.Lock()
	defer t.lock.Unlock()
	for _, job := range t.jobs.Jobs() {
		if !job.Open() && job.OlderThan(retention, wallMs, now) && !t.submissions.forgetting[job.ID] && job.PendingListings() == 0 {
			t.submissions.forgetting[job.ID] = true
			t.appendRecord(messages.Record{Kind: messages.RecordForget, Job: job.ID})
		}
	}
}
