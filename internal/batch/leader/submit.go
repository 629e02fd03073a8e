package leader

import (
	"net/http"
	"strings"

	// Jobs come in bursts of 50 and more a second, 48 KB each: the standard reader
	// took 3.5 times as long over them.
	"github.com/goccy/go-json"

	"lemonarch/internal/batch/jobroute"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// jobJSON is a job as it is submitted.
type jobJSON struct {
	Requests []struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    []byte            `json:"body"`
		Tokens  int64             `json:"tokens"`
	} `json:"requests"`
}

// parseJob checks a job; the reason says what is wrong with it.
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
	for _, found := range job.Requests {
		if found.ID == "" || known[found.ID] || !strings.HasPrefix(found.Path, "/") || strings.ContainsAny(found.Path, " \r\n") || found.Tokens < 0 {
			return nil, 0, http.StatusBadRequest, "an item lacks a sound id, path or tokens"
		}
		for name, value := range found.Headers {
			// A header with a line break would smuggle in a request of its own.
			if name == "" || strings.ContainsAny(name, " :\r\n") || strings.ContainsAny(value, "\r\n") {
				return nil, 0, http.StatusBadRequest, "an item has an unsound header"
			}
		}
		known[found.ID] = true
		tokens += found.Tokens
		body.Items = append(body.Items, messages.JobItem{ID: found.ID, Path: found.Path, Headers: found.Headers, Body: found.Body, Tokens: found.Tokens})
	}
	return body, tokens, 0, ""
}

// submitJob takes a job: checked, within the quota, and durable before it is acknowledged.
func (t *Term) submitJob(call *messages.JobCallRequest) *messages.JobCallResponse {
	resp := t.acceptJob(call)
	if resp.Status != http.StatusAccepted && resp.Status != http.StatusGatewayTimeout {
		// Nothing of it is on its way to the stores.
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
	body, tokens, status, cause := parseJob(call)
	t.submissions.parsing.Unlock()
	if body == nil {
		return errorResponse(status, cause)
	}
	config := t.process.Node.Config()
	route := jobroute.Of(config, call.Host, call.Path)
	if route == nil {
		// The gateway knew the route: our configuration may be the older one.
		return &messages.JobCallResponse{NotLeader: true}
	}
	packed, err := body.MarshalMsg(nil)
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
		// Whoever asked has given up, or was told that this one counts for nothing.
		t.lock.Unlock()
		return &messages.JobCallResponse{NotLeader: true}
	}
	if refusal := t.checkCapacityLocked(config, route, tokens, len(packed), len(body.Items)); refusal != nil {
		t.lock.Unlock()
		return refusal
	}
	index := t.appendRecord(messages.Record{Kind: messages.RecordJob, Job: call.Job, Host: call.Host, Route: route.Name,
		AtMs: clock.WallNanos() / 1_000_000, Body: packed})
	t.submissions.submitting[call.Job] = index
	t.submissions.quota.addPending(call, tokens)
	t.lock.Unlock()
	return t.awaitSubmitted(index, accepted)
}

// Expired tells whether the time in which a submission may be taken is over.
func Expired(call *messages.JobCallRequest, now clock.Instant) bool {
	return call.ExpiresAt > 0 && int64(now) >= call.ExpiresAt
}

func (t *Term) awaitSubmitted(index int64, accepted *messages.JobCallResponse) *messages.JobCallResponse {
	if t.awaitCommit(index, constants.RegisterTimeout) {
		return accepted
	}
	return errorResponse(http.StatusGatewayTimeout, "lot not yet durable")
}
