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
func (server *Server) lotCall(body []byte) ([]byte, error) {
	call := &messages.LotCall{}
	if err := transport.Read(body, call); err != nil {
		return nil, err
	}
	if !server.fresh(call, clock.Now()) {
		// The first copy is answered, or will be; a second might end otherwise.
		return transport.Write(refuse(http.StatusGatewayTimeout, "outcome unknown"))
	}
	current := server.current()
	if current == nil {
		return transport.Write(server.elsewhere())
	}
	answer := current.serve(call)
	// A hold that ran out meanwhile makes what we know old: say nothing of it.
	if !server.holds() || current.over() {
		if call.Method == http.MethodPost && answer.Status != http.StatusAccepted && !answer.Elsewhere {
			return transport.Write(&messages.LotAnswer{Status: http.StatusGatewayTimeout, Body: reason("outcome unknown")})
		}
		if call.Method != http.MethodPost {
			return transport.Write(server.elsewhere())
		}
	}
	return transport.Write(answer)
}

func (server *Server) elsewhere() *messages.LotAnswer {
	server.lock.Lock()
	defer server.lock.Unlock()
	answer := &messages.LotAnswer{Elsewhere: true}
	if server.toldAt > 0 && clock.Now().Since(server.toldAt) < constants.HoldTime && server.told.Address != server.Node.Own.Address {
		answer.Holder = server.told.Address
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
func (term *term) serve(call *messages.LotCall) *messages.LotAnswer {
	if !term.waitServing(constants.RoundTime) {
		// Nothing was taken: the gateway may ask again or refuse.
		return &messages.LotAnswer{Elsewhere: true}
	}
	switch call.Method {
	case http.MethodPost:
		return term.handIn(call)
	case http.MethodDelete:
		return term.endLot(call)
	case "ITEM":
		return term.itemBody(call)
	}
	return term.readLot(call)
}

func (term *term) waitServing(span clock.Span) bool {
	end := clock.Now().Plus(span)
	for {
		term.lock.Lock()
		serving, bell := term.serving, term.bell
		term.lock.Unlock()
		if serving {
			return term.server.holds()
		}
		select {
		case <-bell:
		case <-term.stop:
			return false
		case <-clock.After(end.Since(clock.Now())):
			return false
		}
	}
}

// readLot gives results from a position on, waiting for one where asked to.
func (term *term) readLot(call *messages.LotCall) *messages.LotAnswer {
	end := clock.Now().Plus(clock.Milliseconds(float64(call.HoldMs)))
	for {
		term.lock.Lock()
		lot := term.book.Lot(call.Lot)
		if lot == nil {
			term.lock.Unlock()
			return refuse(http.StatusNotFound, "no such lot")
		}
		listings, open, sum, bell := lot.Listings, lot.Open(), lot.Sum(), term.bell
		term.lock.Unlock()
		if len(listings) > call.Cursor || !open || clock.Now() >= end {
			return term.page(sum, call.Cursor, listings)
		}
		select {
		case <-bell:
		case <-term.stop:
			return term.page(sum, call.Cursor, listings)
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

func (term *term) page(sum, cursor int, listings []lots.Listing) *messages.LotAnswer {
	page := outputPage{Sum: sum, Next: cursor, Outputs: []outputLine{}}
	size := 0
	for place := cursor; place < len(listings); place++ {
		text, err := term.text(listings[place].Index)
		if err != nil {
			term.server.Node.Log.Error("output can't be read", "why", err.Error())
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
func (term *term) text(index int64) ([]byte, error) {
	term.lock.Lock()
	if record := term.recentAt(index); record != nil {
		body, packed := record.Body, record.Packed
		term.lock.Unlock()
		return unpack(body, packed)
	}
	term.lock.Unlock()
	record, err := term.server.Store.Read(index)
	if err != nil {
		return nil, err
	}
	return unpack(record.Body, record.Packed)
}

func (term *term) itemBody(call *messages.LotCall) *messages.LotAnswer {
	term.lock.Lock()
	lot := term.book.Lot(call.Lot)
	if lot == nil {
		term.lock.Unlock()
		return refuse(http.StatusNotFound, "no such lot")
	}
	item := lot.Find(call.Item)
	if item == nil {
		term.lock.Unlock()
		return refuse(http.StatusNotFound, "no such item")
	}
	body, index := item.Body, lot.Index
	term.lock.Unlock()
	if body == nil {
		// It is listed, or its lot has ended: the body is still in the lot's record.
		record, err := term.server.Store.Read(index)
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
func (term *term) endLot(call *messages.LotCall) *messages.LotAnswer {
	term.lock.Lock()
	lot := term.book.Lot(call.Lot)
	if lot == nil {
		term.lock.Unlock()
		return refuse(http.StatusNotFound, "no such lot")
	}
	if lot.Ended {
		term.lock.Unlock()
		return &messages.LotAnswer{Status: http.StatusOK, Body: []byte("{}")}
	}
	// Nothing of it is begun any more, and what runs is broken off at once.
	term.ending[lot.ID] = true
	term.stopRuns(lot)
	index := term.submit(messages.Record{Kind: messages.RecordEnd, Lot: lot.ID})
	term.lock.Unlock()
	if !term.durable(index, constants.CallTime) {
		return refuse(http.StatusGatewayTimeout, "end not yet durable")
	}
	return &messages.LotAnswer{Status: http.StatusOK, Body: []byte("{}")}
}

// forget drops lots whose time is over, so that files can be rewritten.
func (term *term) forget() {
	if !term.server.holds() {
		return
	}
	keep := clock.Milliseconds(term.server.Node.Settings.Tolerances.StatusS * 1000)
	wall, now := clock.Wall()/1_000_000, clock.Now()
	term.lock.Lock()
	defer term.lock.Unlock()
	for _, lot := range term.book.Lots() {
		if !lot.Open() && lot.Older(keep, wall, now) && !term.ending["forget "+lot.ID] && lot.Giving() == 0 {
			term.ending["forget "+lot.ID] = true
			term.submit(messages.Record{Kind: messages.RecordForget, Lot: lot.ID})
		}
	}
}
