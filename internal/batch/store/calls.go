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
	call := &messages.LotCall{}
	if err := transport.Read(body, call); err != nil {
		return nil, err
	}
	if !s.fresh(call, clock.Now()) {
		// The first copy is answered, or will be; a second might end otherwise.
		return transport.Write(refuse(http.StatusGatewayTimeout, "outcome unknown"))
	}
	current := s.current()
	if current == nil {
		return transport.Write(s.elsewhere())
	}
	answer := current.serve(call)
	// A hold that ran out meanwhile makes what we know old: say nothing of it.
	if !s.holds() || current.over() {
		if call.Method == http.MethodPost && answer.Status != http.StatusAccepted && !answer.Elsewhere {
			return transport.Write(&messages.LotAnswer{Status: http.StatusGatewayTimeout, Body: reason("outcome unknown")})
		}
		if call.Method != http.MethodPost {
			return transport.Write(s.elsewhere())
		}
	}
	return transport.Write(answer)
}

func (s *Server) elsewhere() *messages.LotAnswer {
	s.lock.Lock()
	defer s.lock.Unlock()
	answer := &messages.LotAnswer{Elsewhere: true}
	if s.toldAt > 0 && clock.Now().Since(s.toldAt) < constants.HoldTime && s.told.Address != s.Node.Own.Address {
		answer.Holder = s.told.Address
	}
	return answer
}

func reason(text string) []byte {
	body, _ := json.Marshal(map[string]string{"error": text})
	return body
}

func refuse(status int, text string) *messages.LotAnswer {
	return &messages.LotAnswer{Status: status, Body: reason(text)}
}

// serve answers a call under this epoch.
func (t *term) serve(call *messages.LotCall) *messages.LotAnswer {
	if !t.waitServing(constants.RoundTime) {
		// Nothing was taken: the gateway may ask again or refuse.
		return &messages.LotAnswer{Elsewhere: true}
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

func (t *term) waitServing(span clock.Span) bool {
	end := clock.Now().Plus(span)
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
		case <-clock.After(end.Since(clock.Now())):
			return false
		}
	}
}

// readLot gives results from a position on, waiting for one where asked to.
func (t *term) readLot(call *messages.LotCall) *messages.LotAnswer {
	end := clock.Now().Plus(clock.Milliseconds(float64(call.HoldMs)))
	for {
		t.lock.Lock()
		lot := t.book.Lot(call.Lot)
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
		case <-clock.After(end.Since(clock.Now())):
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

func (t *term) page(sum, cursor int, listings []lots.Listing) *messages.LotAnswer {
	page := outputPage{Sum: sum, Next: cursor, Outputs: []outputLine{}}
	size := 0
	for place := cursor; place < len(listings); place++ {
		text, err := t.text(listings[place].Index)
		if err != nil {
			t.server.Node.Log.Error("output can't be read", "why", err.Error())
			return refuse(http.StatusServiceUnavailable, "output can't be read now")
		}
		if size += len(text) + 128; size > constants.PageBytes && place > cursor {
			break
		}
		phase := "settled"
		if listings[place].Dropped {
			phase = "abandoned"
		}
		page.Outputs = append(page.Outputs, outputLine{ID: listings[place].Item, Phase: phase, Text: string(text)})
		page.Next = place + 1
	}
	body, err := json.Marshal(page)
	if err != nil {
		return refuse(http.StatusInternalServerError, "page can't be written")
	}
	return &messages.LotAnswer{Status: http.StatusOK, Body: body}
}

// text gives an output's text: from memory while it is new, else from disk.
func (t *term) text(index int64) ([]byte, error) {
	t.lock.Lock()
	if record := t.recentAt(index); record != nil {
		body, packed := record.Body, record.Packed
		t.lock.Unlock()
		return unpack(body, packed)
	}
	t.lock.Unlock()
	record, err := t.server.Store.Read(index)
	if err != nil {
		return nil, err
	}
	return unpack(record.Body, record.Packed)
}

func (t *term) itemBody(call *messages.LotCall) *messages.LotAnswer {
	t.lock.Lock()
	lot := t.book.Lot(call.Lot)
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
		whole := &messages.LotBody{}
		if _, err = whole.UnmarshalMsg(record.Body); err != nil {
			return refuse(http.StatusServiceUnavailable, "body can't be read now")
		}
		for place := range whole.Items {
			if whole.Items[place].ID == call.Item {
				body = whole.Items[place].Body
			}
		}
	}
	return &messages.LotAnswer{Status: http.StatusOK, Kind: "application/octet-stream", Body: body}
}

// endLot ends a lot for good.
func (t *term) endLot(call *messages.LotCall) *messages.LotAnswer {
	t.lock.Lock()
	lot := t.book.Lot(call.Lot)
	if lot == nil {
		t.lock.Unlock()
		return refuse(http.StatusNotFound, "no such lot")
	}
	if lot.Ended {
		t.lock.Unlock()
		return &messages.LotAnswer{Status: http.StatusOK, Body: []byte("{}")}
	}
	// Nothing of it is begun any more, and what runs is broken off at once.
	t.ending[lot.ID] = true
	t.stopRuns(lot)
	index := t.submit(messages.Record{Kind: messages.RecordEnd, Lot: lot.ID})
	t.lock.Unlock()
	if !t.durable(index, constants.CallTime) {
		return refuse(http.StatusGatewayTimeout, "end not yet durable")
	}
	return &messages.LotAnswer{Status: http.StatusOK, Body: []byte("{}")}
}

// forget drops lots whose time is over, so that files can be rewritten.
func (t *term) forget() {
	if !t.server.holds() {
		return
	}
	keep := clock.Milliseconds(t.server.Node.Settings.Tolerances.StatusS * 1000)
	wall, now := clock.Wall()/1_000_000, clock.Now()
	t.lock.Lock()
	defer t.lock.Unlock()
	for _, lot := range t.book.Lots() {
		if !lot.Open() && lot.Older(keep, wall, now) && !t.ending["forget "+lot.ID] && lot.Giving() == 0 {
			t.ending["forget "+lot.ID] = true
			t.submit(messages.Record{Kind: messages.RecordForget, Lot: lot.ID})
		}
	}
}
