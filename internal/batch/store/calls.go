package store

import (
	"encoding/json"
	"net/http"

	"lemonarch/internal/batch/lots"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// lotCall answers a client's call that a gateway passed on.
func (s *Server) lotCall(body []byte) ([]byte, error) {
	call := &messages.JobCallRequest{}
	if err := transport.Decode(body, call); err != nil {
		return nil, err
	}
	if !s.fresh(call, clock.Now()) {
		// The first copy is answered, or will be; a second might end otherwise.
		return transport.Encode(refuse(http.StatusGatewayTimeout, "outcome unknown"))
	}
	current := s.current()
	if current == nil {
		return transport.Encode(s.elsewhere())
	}
	resp := current.serve(call)
	// A hold that ran out meanwhile makes what we know old: say nothing of it.
	if !s.holds() || current.over() {
		if call.Method == http.MethodPost && resp.Status != http.StatusAccepted && !resp.NotLeader {
			return transport.Encode(&messages.JobCallResponse{Status: http.StatusGatewayTimeout, Body: reason("outcome unknown")})
		}
		if call.Method != http.MethodPost {
			return transport.Encode(s.elsewhere())
		}
	}
	return transport.Encode(resp)
}

func (s *Server) elsewhere() *messages.JobCallResponse {
	s.lock.Lock()
	defer s.lock.Unlock()
	resp := &messages.JobCallResponse{NotLeader: true}
	if s.toldAt > 0 && clock.Now().Sub(s.toldAt) < constants.LeaseDuration && s.told.Address != s.Node.Self.Address {
		resp.Leader = s.told.Address
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
		return t.handIn(call)
	case http.MethodDelete:
		return t.endLot(call)
	case "ITEM":
		return t.itemBody(call)
	}
	return t.readLot(call)
}

func (t *term) waitServing(timeout clock.Duration) bool {
	end := clock.Now().Add(timeout)
	for {
		t.lock.Lock()
		serving, bell := t.serving, t.bell
		t.lock.Unlock()
		if serving {
			return t.server.holds()
		}
		select {
		case <-bell:
		case <-t.stop:
			return false
		case <-clock.After(end.Sub(clock.Now())):
			return false
		}
	}
}

// readLot gives results from a position on, waiting for one where asked to.
func (t *term) readLot(call *messages.JobCallRequest) *messages.JobCallResponse {
	end := clock.Now().Add(clock.Milliseconds(float64(call.WaitMs)))
	for {
		t.lock.Lock()
		lot := t.book.Lot(call.Job)
		if lot == nil {
			t.lock.Unlock()
			return refuse(http.StatusNotFound, "no such lot")
		}
		listings, open, sum, bell := lot.Listings, lot.Open(), lot.Sum(), t.bell
		t.lock.Unlock()
		if len(listings) > call.Cursor || !open || clock.Now() >= end {
			return t.page(sum, call.Cursor, listings)
		}
		select {
		case <-bell:
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

func (t *term) page(sum, cursor int, listings []lots.Listing) *messages.JobCallResponse {
	page := outputPage{Sum: sum, Next: cursor, Outputs: []outputLine{}}
	size := 0
	for i := cursor; i < len(listings); i++ {
		text, err := t.text(listings[i].Index)
		if err != nil {
			t.server.Node.Log.Error("output can't be read", "why", err.Error())
			return refuse(http.StatusServiceUnavailable, "output can't be read now")
		}
		if size += len(text) + 128; size > constants.PageBytes && i > cursor {
			break
		}
		phase := "settled"
		if listings[i].Dropped {
			phase = "abandoned"
		}
		page.Outputs = append(page.Outputs, outputLine{ID: listings[i].Item, Phase: phase, Text: string(text)})
		page.Next = i + 1
	}
	body, err := json.Marshal(page)
	if err != nil {
		return refuse(http.StatusInternalServerError, "page can't be written")
	}
	return &messages.JobCallResponse{Status: http.StatusOK, Body: body}
}

// text gives an output's text: from memory while it is new, else from disk.
func (t *term) text(index int64) ([]byte, error) {
	t.lock.Lock()
	if record := t.recentAt(index); record != nil {
		body, packed := record.Body, record.Compressed
		t.lock.Unlock()
		return unpack(body, packed)
	}
	t.lock.Unlock()
	record, err := t.server.Store.Read(index)
	if err != nil {
		return nil, err
	}
	return unpack(record.Body, record.Compressed)
}

func (t *term) itemBody(call *messages.JobCallRequest) *messages.JobCallResponse {
	t.lock.Lock()
	lot := t.book.Lot(call.Job)
	if lot == nil {
		t.lock.Unlock()
		return refuse(http.StatusNotFound, "no such lot")
	}
	item := lot.Find(call.Item)
	if item == nil {
		t.lock.Unlock()
		return refuse(http.StatusNotFound, "no such item")
	}
	body, index := item.Body, lot.Index
	t.lock.Unlock()
	if body == nil {
		// It is listed, or its lot has ended: the body is still in the lot's record.
		record, err := t.server.Store.Read(index)
		if err != nil {
			return refuse(http.StatusServiceUnavailable, "body can't be read now")
		}
		whole := &messages.JobBody{}
		if _, err = whole.UnmarshalMsg(record.Body); err != nil {
			return refuse(http.StatusServiceUnavailable, "body can't be read now")
		}
		for i := range whole.Items {
			if whole.Items[i].ID == call.Item {
				body = whole.Items[i].Body
			}
		}
	}
	return &messages.JobCallResponse{Status: http.StatusOK, ContentType: "application/octet-stream", Body: body}
}

// endLot ends a lot for good.
func (t *term) endLot(call *messages.JobCallRequest) *messages.JobCallResponse {
	t.lock.Lock()
	lot := t.book.Lot(call.Job)
	if lot == nil {
		t.lock.Unlock()
		return refuse(http.StatusNotFound, "no such lot")
	}
	if lot.Ended {
		t.lock.Unlock()
		return &messages.JobCallResponse{Status: http.StatusOK, Body: []byte("{}")}
	}
	// Nothing of it is begun any more, and what runs is broken off at once.
	t.ending[lot.ID] = true
	t.stopRuns(lot)
	index := t.submit(messages.Record{Kind: messages.RecordJobEnd, Job: lot.ID})
	t.lock.Unlock()
	if !t.durable(index, constants.CallTimeout) {
		return refuse(http.StatusGatewayTimeout, "end not yet durable")
	}
	return &messages.JobCallResponse{Status: http.StatusOK, Body: []byte("{}")}
}

// forget drops lots whose time is over, so that files can be rewritten.
func (t *term) forget() {
	if !t.server.holds() {
		return
	}
	keep := clock.Milliseconds(t.server.Node.Settings.Tolerances.StatusS * 1000)
	wall, now := clock.WallNanos()/1_000_000, clock.Now()
	t.lock.Lock()
	defer t.lock.Unlock()
	for _, lot := range t.book.Lots() {
		if !lot.Open() && lot.Older(keep, wall, now) && !t.ending["forget "+lot.ID] && lot.Giving() == 0 {
			t.ending["forget "+lot.ID] = true
			t.submit(messages.Record{Kind: messages.RecordForget, Job: lot.ID})
		}
	}
}
