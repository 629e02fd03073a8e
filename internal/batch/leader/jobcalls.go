package leader

import (
	"encoding/json"
	"net/http"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// reason is the body of an answer that says why.
func errorBody(text string) []byte {
	// A map of strings can always be encoded.
	body, _ := json.Marshal(map[string]string{"error": text})
	return body
}

// OutcomeUnknown is the answer to a call that may or may not take effect.
func OutcomeUnknown() *messages.JobCallResponse {
	return errorResponse(http.StatusGatewayTimeout, "outcome unknown")
}

// refuse is an answer with a status and the reason for it.
func errorResponse(status int, text string) *messages.JobCallResponse {
	return &messages.JobCallResponse{Status: status, Body: errorBody(text)}
}

// methodItem is the method of a call for the body of one item; the other calls have the
// method of the client's request.
const methodItem = "ITEM"

// Serve answers a client's call on a job under this epoch. NotLeader in the response means
// that nothing was taken.
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

// waitServing waits until the takeover is complete, and tells whether this process leads.
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

// readJob gives results from a position on, waiting for one where asked to.
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

// endJob ends a job for good.
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
	// Nothing of it is begun any more, and what runs is broken off at once.
	t.submissions.ending[job.ID] = true
	t.stopJobRuns(job)
	index := t.appendRecord(messages.Record{Kind: messages.RecordJobEnd, Job: job.ID})
	t.lock.Unlock()
	if !t.awaitCommit(index, constants.CallTimeout) {
		return errorResponse(http.StatusGatewayTimeout, "end not yet durable")
	}
	return &messages.JobCallResponse{Status: http.StatusOK, Body: []byte("{}")}
}

// forget drops jobs whose time is over, so that files can be rewritten.
func (t *Term) forgetExpiredJobs() {
	if !t.process.Election.HoldsLease() {
		return
	}
	keep := clock.Milliseconds(t.process.Node.Settings.Tolerances.StatusS * 1000)
	wall, now := clock.WallNanos()/1_000_000, clock.Now()
	t.lock.Lock()
	defer t.lock.Unlock()
	for _, job := range t.jobs.Jobs() {
		if !job.Open() && job.OlderThan(keep, wall, now) && !t.submissions.forgetting[job.ID] && job.PendingListings() == 0 {
			t.submissions.forgetting[job.ID] = true
			t.appendRecord(messages.Record{Kind: messages.RecordForget, Job: job.ID})
		}
	}
}
