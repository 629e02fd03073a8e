package leader

import (
	"encoding/json"
	"net/http"

	"lemonarch/internal/batch/dispatch"
	"lemonarch/internal/batch/outputcodec"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

func reason(text string) []byte {
	body, _ := json.Marshal(map[string]string{"error": text})
	return body
}

// OutcomeUnknown is the answer to a call that may or may not take effect.
func OutcomeUnknown() *messages.JobCallResponse {
	return refuse(http.StatusGatewayTimeout, "outcome unknown")
}

func refuse(status int, text string) *messages.JobCallResponse {
	return &messages.JobCallResponse{Status: status, Body: reason(text)}
}

// Serve answers a call under this epoch.
func (t *Term) Serve(call *messages.JobCallRequest) *messages.JobCallResponse {
	if !t.waitServing(constants.RoundTimeout) {
		// Nothing was taken: the gateway may ask again or refuse.
		return &messages.JobCallResponse{NotLeader: true}
	}
	switch call.Method {
	case http.MethodPost:
		return t.submitJob(call)
	case http.MethodDelete:
		return t.endJob(call)
	case "ITEM":
		return t.itemBody(call)
	}
	return t.readJob(call)
}

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
		case <-t.life.stop:
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
			return refuse(http.StatusNotFound, "no such lot")
		}
		listings, open, sum, changed := job.Listings, job.Open(), job.Total(), t.records.changed
		t.lock.Unlock()
		if len(listings) > call.Cursor || !open || clock.Now() >= end {
			return t.page(sum, call.Cursor, listings)
		}
		select {
		case <-changed:
		case <-t.life.stop:
			return t.page(sum, call.Cursor, listings)
		case <-clock.After(end.Sub(clock.Now())):
		}
	}
}

type outputPage struct {
	Sum     int          `json:"sum"`
	Next    int          `json:"next-token"`
	Outputs []outputLine `json:"outputs"`
}

type outputLine struct {
	ID    string `json:"id"`
	Phase string `json:"phase"`
	Text  string `json:"text"`
}

func (t *Term) page(sum, cursor int, listings []dispatch.Listing) *messages.JobCallResponse {
	page := outputPage{Sum: sum, Next: cursor, Outputs: []outputLine{}}
	size := 0
	for i := cursor; i < len(listings); i++ {
		output, err := t.output(listings[i].Index)
		if err != nil {
			t.process.Node.Log.Error("output can't be read", "err", err.Error())
			return refuse(http.StatusServiceUnavailable, "output can't be read now")
		}
		if size += len(output) + 128; size > constants.PageBytes && i > cursor {
			break
		}
		phase := "settled"
		if listings[i].Abandoned {
			phase = "abandoned"
		}
		page.Outputs = append(page.Outputs, outputLine{ID: listings[i].Item, Phase: phase, Text: string(output)})
		page.Next = i + 1
	}
	body, err := json.Marshal(page)
	if err != nil {
		return refuse(http.StatusInternalServerError, "page can't be written")
	}
	return &messages.JobCallResponse{Status: http.StatusOK, Body: body}
}

// output gives an output's text: from memory while it is new, else from disk.
func (t *Term) output(index int64) ([]byte, error) {
	t.lock.Lock()
	if record := t.recentAt(index); record != nil {
		body, compressed := record.Body, record.Compressed
		t.lock.Unlock()
		return outputcodec.Decompress(body, compressed)
	}
	t.lock.Unlock()
	record, err := t.process.Log.Read(index)
	if err != nil {
		return nil, err
	}
	return outputcodec.Decompress(record.Body, record.Compressed)
}

func (t *Term) itemBody(call *messages.JobCallRequest) *messages.JobCallResponse {
	t.lock.Lock()
	job := t.jobs.Job(call.Job)
	if job == nil {
		t.lock.Unlock()
		return refuse(http.StatusNotFound, "no such lot")
	}
	item := job.Item(call.Item)
	if item == nil {
		t.lock.Unlock()
		return refuse(http.StatusNotFound, "no such item")
	}
	body, index := item.Body, job.Index
	t.lock.Unlock()
	if body == nil {
		// It is listed, or its job has ended: the body is still in the job's record.
		record, err := t.process.Log.Read(index)
		if err != nil {
			return refuse(http.StatusServiceUnavailable, "body can't be read now")
		}
		complete := &messages.JobBody{}
		if _, err = complete.UnmarshalMsg(record.Body); err != nil {
			return refuse(http.StatusServiceUnavailable, "body can't be read now")
		}
		for i := range complete.Items {
			if complete.Items[i].ID == call.Item {
				body = complete.Items[i].Body
			}
		}
	}
	return &messages.JobCallResponse{Status: http.StatusOK, ContentType: "application/octet-stream", Body: body}
}

// endJob ends a job for good.
func (t *Term) endJob(call *messages.JobCallRequest) *messages.JobCallResponse {
	t.lock.Lock()
	job := t.jobs.Job(call.Job)
	if job == nil {
		t.lock.Unlock()
		return refuse(http.StatusNotFound, "no such lot")
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
		return refuse(http.StatusGatewayTimeout, "end not yet durable")
	}
	return &messages.JobCallResponse{Status: http.StatusOK, Body: []byte("{}")}
}

// forget drops jobs whose time is over, so that files can be rewritten.
func (t *Term) forget() {
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
