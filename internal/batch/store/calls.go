package store

import (
	"encoding/json"
	"net/http"

	"lemonarch/internal/batch/dispatch"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// handleJobCall answers a client's call that a gateway passed on.
func (s *Server) handleJobCall(call *messages.JobCallRequest) (*messages.JobCallResponse, error) {
	if !s.firstSeen(call, clock.Now()) {
		// The first copy is answered, or will be; a second might end otherwise.
		return refuse(http.StatusGatewayTimeout, "outcome unknown"), nil
	}
	current := s.current()
	if current == nil {
		return s.notLeader(), nil
	}
	resp := current.serve(call)
	// A hold that ran out meanwhile makes what we know old: say nothing of it.
	if !s.holdsLease() || current.closed() {
		if call.Method == http.MethodPost && resp.Status != http.StatusAccepted && !resp.NotLeader {
			return &messages.JobCallResponse{Status: http.StatusGatewayTimeout, Body: reason("outcome unknown")}, nil
		}
		if call.Method != http.MethodPost {
			return s.notLeader(), nil
		}
	}
	return resp, nil
}

func (s *Server) notLeader() *messages.JobCallResponse {
	s.lock.Lock()
	defer s.lock.Unlock()
	resp := &messages.JobCallResponse{NotLeader: true}
	if s.announcedAt > 0 && clock.Now().Sub(s.announcedAt) < constants.LeaseDuration && s.announced.Address != s.Node.Self.Address {
		resp.Leader = s.announced.Address
	}
	return resp
}

func reason(text string) []byte {
	body, _ := json.Marshal(map[string]string{"error": text})
	return body
}

func refuse(status int, text string) *messages.JobCallResponse {
	return &messages.JobCallResponse{Status: status, Body: reason(text)}
}

// serve answers a call under this epoch.
func (t *term) serve(call *messages.JobCallRequest) *messages.JobCallResponse {
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

func (t *term) waitServing(timeout clock.Duration) bool {
	end := clock.Now().Add(timeout)
	for {
		t.lock.Lock()
		serving, changed := t.serving, t.changed
		t.lock.Unlock()
		if serving {
			return t.server.holdsLease()
		}
		select {
		case <-changed:
		case <-t.stop:
			return false
		case <-clock.After(end.Sub(clock.Now())):
			return false
		}
	}
}

// readJob gives results from a position on, waiting for one where asked to.
func (t *term) readJob(call *messages.JobCallRequest) *messages.JobCallResponse {
	end := clock.Now().Add(clock.Milliseconds(float64(call.WaitMs)))
	for {
		t.lock.Lock()
		job := t.jobs.Job(call.Job)
		if job == nil {
			t.lock.Unlock()
			return refuse(http.StatusNotFound, "no such lot")
		}
		listings, open, sum, changed := job.Listings, job.Open(), job.Total(), t.changed
		t.lock.Unlock()
		if len(listings) > call.Cursor || !open || clock.Now() >= end {
			return t.page(sum, call.Cursor, listings)
		}
		select {
		case <-changed:
		case <-t.stop:
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

func (t *term) page(sum, cursor int, listings []dispatch.Listing) *messages.JobCallResponse {
	page := outputPage{Sum: sum, Next: cursor, Outputs: []outputLine{}}
	size := 0
	for i := cursor; i < len(listings); i++ {
		output, err := t.output(listings[i].Index)
		if err != nil {
			t.server.Node.Log.Error("output can't be read", "why", err.Error())
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
func (t *term) output(index int64) ([]byte, error) {
	t.lock.Lock()
	if record := t.recentAt(index); record != nil {
		body, compressed := record.Body, record.Compressed
		t.lock.Unlock()
		return decompress(body, compressed)
	}
	t.lock.Unlock()
	record, err := t.server.Log.Read(index)
	if err != nil {
		return nil, err
	}
	return decompress(record.Body, record.Compressed)
}

func (t *term) itemBody(call *messages.JobCallRequest) *messages.JobCallResponse {
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
		// It is listed, or its lot has ended: the body is still in the lot's record.
		record, err := t.server.Log.Read(index)
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

// endJob ends a lot for good.
func (t *term) endJob(call *messages.JobCallRequest) *messages.JobCallResponse {
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
	t.ending[job.ID] = true
	t.stopJobRuns(job)
	index := t.appendRecord(messages.Record{Kind: messages.RecordJobEnd, Job: job.ID})
	t.lock.Unlock()
	if !t.awaitCommit(index, constants.CallTimeout) {
		return refuse(http.StatusGatewayTimeout, "end not yet durable")
	}
	return &messages.JobCallResponse{Status: http.StatusOK, Body: []byte("{}")}
}

// forget drops lots whose time is over, so that files can be rewritten.
func (t *term) forget() {
	if !t.server.holdsLease() {
		return
	}
	keep := clock.Milliseconds(t.server.Node.Settings.Tolerances.StatusS * 1000)
	wall, now := clock.WallNanos()/1_000_000, clock.Now()
	t.lock.Lock()
	defer t.lock.Unlock()
	for _, job := range t.jobs.Jobs() {
		if !job.Open() && job.OlderThan(keep, wall, now) && !t.ending["forget "+job.ID] && job.PendingListings() == 0 {
			t.ending["forget "+job.ID] = true
			t.appendRecord(messages.Record{Kind: messages.RecordForget, Job: job.ID})
		}
	}
}
