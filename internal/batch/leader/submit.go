package leader

import (
	"net/http"
	"strings"

	// Jobs arrive in bursts of 50 and more per second, 48 KB each. The standard library's decoder
	// took 3.5 times as long to decode them.
	"github.com/goccy/go-json"

	"lemonarch/internal/batch/jobroute"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// jobJSON is a job as submitted.
type jobJSON struct {
	Requests []struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    []byte            `json:"body"`
		Tokens  int64             `json:"tokens"`
	} `json:"requests"`
}

// parseJob decodes and validates a job. If the job is invalid, body is nil, and status and reason
// describe the error.
func parseJob(call *messages.JobCallRequest) (body *messages.JobBody, tokens int64, status int, reason string) {
	if exceedsItemLimit(call.Body) {
		return nil, 0, http.StatusRequestEntityTooLarge, "too many items"
	}
	job := jobJSON{}
	if err := json.Unmarshal(call.Body, &job); err != nil {
		return nil, 0, http.StatusBadRequest, "lot can't be read: " + err.Error()
	}
	if len(job.Requests) == 0 {
		return nil, 0, http.StatusBadRequest, "requests is empty"
	}
	if len(job.Requests) > constants.JobItemsMax {
		return nil, 0, http.StatusRequestEntityTooLarge, "too many items"
	}
	body = &messages.JobBody{Path: call.Path}
	known := map[string]bool{}
	for _, request := range job.Requests {
		if request.ID == "" || known[request.ID] || !strings.HasPrefix(request.Path, "/") || strings.ContainsAny(request.Path, " \r\n") || request.Tokens < 0 {
			return nil, 0, http.StatusBadRequest, "an item lacks a sound id, path or tokens"
		}
		for name, value := range request.Headers {
			// A header with a line break would allow request smuggling.
			if name == "" || strings.ContainsAny(name, " :\r\n") || strings.ContainsAny(value, "\r\n") {
				return nil, 0, http.StatusBadRequest, "an item has an unsound header"
			}
		}
		known[request.ID] = true
		tokens += request.Tokens
		body.Items = append(body.Items, messages.JobItem{ID: request.ID, Path: request.Path, Headers: request.Headers, Body: request.Body, Tokens: request.Tokens})
	}
	return body, tokens, 0, ""
}

// submitJob accepts a job if it is valid and within the quota. The job is durable before it is
// acknowledged.
func (t *Term) submitJob(call *messages.JobCallRequest) *messages.JobCallResponse {
	resp := t.acceptJob(call)
	if resp.Status != http.StatusAccepted && resp.Status != http.StatusGatewayTimeout {
		// No record of the job was appended.
		t.lock.Lock()
		t.submissions.intake.release(call.Job)
		t.lock.Unlock()
	}
	return resp
}

func (t *Term) acceptJob(call *messages.JobCallRequest) *messages.JobCallResponse {
	accepted := &messages.JobCallResponse{Status: http.StatusAccepted, Body: []byte("{}")}
	t.lock.Lock()
	known, submitting := t.jobs.Job(call.Job) != nil, t.submissions.submitting[call.Job]
	t.lock.Unlock()
	if known {
		return accepted
	}
	if submitting > 0 {
		return t.awaitSubmitted(submitting, accepted)
	}
	t.submissions.parsing.Lock()
	body, tokens, status, reason := parseJob(call)
	t.submissions.parsing.Unlock()
	if body == nil {
		return errorResponse(status, reason)
	}
	config := t.process.Node.Config()
	route := jobroute.Of(config, call.Host, call.Path)
	if route == nil {
		// The gateway has the route, so this process's configuration may be the older one.
		return &messages.JobCallResponse{NotLeader: true}
	}
	encoded, err := body.MarshalMsg(nil)
	if err != nil {
		return errorResponse(http.StatusBadRequest, "lot can't be kept")
	}
	t.lock.Lock()
	if t.jobs.Job(call.Job) != nil || t.submissions.submitting[call.Job] > 0 {
		submitting = t.submissions.submitting[call.Job]
		t.lock.Unlock()
		return t.awaitSubmitted(submitting, accepted)
	}
	if Expired(call, clock.Now()) {
		// The caller has timed out, or has received the response that this submission has no effect.
		t.lock.Unlock()
		return &messages.JobCallResponse{NotLeader: true}
	}
	if rejection := t.checkCapacityLocked(config, route, tokens, len(encoded), len(body.Items)); rejection != nil {
		t.lock.Unlock()
		return rejection
	}
	index := t.appendRecord(messages.Record{Kind: messages.RecordJob, Job: call.Job, Host: call.Host, Route: route.Name,
		AtMs: clock.WallNanos() / 1_000_000, Body: encoded})
	t.submissions.submitting[call.Job] = index
	t.submissions.quota.addPending(call, tokens)
	t.lock.Unlock()
	return t.awaitSubmitted(index, accepted)
}

// Expired reports whether the time in which a submission may be accepted is over. That time is
// unlimited if call.ExpiresAt is zero.
func Expired(call *messages.JobCallRequest, now clock.Instant) bool {
	return call.ExpiresAt > 0 && int64(now) >= call.ExpiresAt
}

func (t *Term) awaitSubmitted(index int64, accepted *messages.JobCallResponse) *messages.JobCallResponse {
	if t.awaitCommit(index, constants.RegisterTimeout) {
		return accepted
	}
	return errorResponse(http.StatusGatewayTimeout, "lot not yet durable")
}
