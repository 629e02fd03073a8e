package locker

import (
	"encoding/json"
	"net/http"

	"lemonarch/internal/almanac"
	"lemonarch/internal/ledgerbox"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/watch"
)

// lotCall answers a client's call that a forge passed on.
func (locker *Locker) lotCall(body []byte) ([]byte, error) {
	call := &pattern.LotCall{}
	if failure := tongs.Read(body, call); failure != nil {
		return nil, failure
	}
	if !locker.fresh(call, watch.Now()) {
		// The first copy is answered, or will be; a second might end otherwise.
		return tongs.Write(refuse(http.StatusGatewayTimeout, "outcome unknown"))
	}
	current := locker.current()
	if current == nil {
		return tongs.Write(locker.elsewhere())
	}
	answer := current.serve(call)
	// A hold that ran out meanwhile makes what we know old: say nothing of it.
	if !locker.holds() || current.over() {
		if call.Method == http.MethodPost && answer.Status != http.StatusAccepted && !answer.Elsewhere {
			return tongs.Write(&pattern.LotAnswer{Status: http.StatusGatewayTimeout, Body: reason("outcome unknown")})
		}
		if call.Method != http.MethodPost {
			return tongs.Write(locker.elsewhere())
		}
	}
	return tongs.Write(answer)
}

func (locker *Locker) elsewhere() *pattern.LotAnswer {
	locker.lock.Lock()
	defer locker.lock.Unlock()
	answer := &pattern.LotAnswer{Elsewhere: true}
	if locker.toldAt > 0 && watch.Now().Since(locker.toldAt) < almanac.HoldTime && locker.told.Address != locker.Stand.Own.Address {
		answer.Holder = locker.told.Address
	}
	return answer
}

func reason(text string) []byte {
	body, _ := json.Marshal(map[string]string{"error": text})
	return body
}

func refuse(status int, text string) *pattern.LotAnswer {
	return &pattern.LotAnswer{Status: status, Body: reason(text)}
}

// serve answers a call under this epoch.
func (reign *reign) serve(call *pattern.LotCall) *pattern.LotAnswer {
	if !reign.waitServing(almanac.RoundTime) {
		// Nothing was taken: the forge may ask again or refuse.
		return &pattern.LotAnswer{Elsewhere: true}
	}
	switch call.Method {
	case http.MethodPost:
		return reign.handIn(call)
	case http.MethodDelete:
		return reign.endLot(call)
	case "ITEM":
		return reign.itemBody(call)
	}
	return reign.readLot(call)
}

func (reign *reign) waitServing(span watch.Span) bool {
	end := watch.Now().Plus(span)
	for {
		reign.lock.Lock()
		serving, bell := reign.serving, reign.bell
		reign.lock.Unlock()
		if serving {
			return reign.locker.holds()
		}
		select {
		case <-bell:
		case <-reign.stop:
			return false
		case <-watch.After(end.Since(watch.Now())):
			return false
		}
	}
}

// readLot gives results from a position on, waiting for one where asked to.
func (reign *reign) readLot(call *pattern.LotCall) *pattern.LotAnswer {
	end := watch.Now().Plus(watch.Milliseconds(float64(call.HoldMs)))
	for {
		reign.lock.Lock()
		lot := reign.book.Lot(call.Lot)
		if lot == nil {
			reign.lock.Unlock()
			return refuse(http.StatusNotFound, "no such lot")
		}
		listings, open, sum, bell := lot.Listings, lot.Open(), lot.Sum(), reign.bell
		reign.lock.Unlock()
		if len(listings) > call.Cursor || !open || watch.Now() >= end {
			return reign.page(sum, call.Cursor, listings)
		}
		select {
		case <-bell:
		case <-reign.stop:
			return reign.page(sum, call.Cursor, listings)
		case <-watch.After(end.Since(watch.Now())):
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

func (reign *reign) page(sum, cursor int, listings []ledgerbox.Listing) *pattern.LotAnswer {
	page := outputPage{Sum: sum, Next: cursor, Outputs: []outputLine{}}
	size := 0
	for place := cursor; place < len(listings); place++ {
		text, failure := reign.text(listings[place].Index)
		if failure != nil {
			reign.locker.Stand.Log.Error("output can't be read", "why", failure.Error())
			return refuse(http.StatusServiceUnavailable, "output can't be read now")
		}
		if size += len(text) + 128; size > almanac.PageBytes && place > cursor {
			break
		}
		phase := "settled"
		if listings[place].Dropped {
			phase = "abandoned"
		}
		page.Outputs = append(page.Outputs, outputLine{ID: listings[place].Item, Phase: phase, Text: string(text)})
		page.Next = place + 1
	}
	body, failure := json.Marshal(page)
	if failure != nil {
		return refuse(http.StatusInternalServerError, "page can't be written")
	}
	return &pattern.LotAnswer{Status: http.StatusOK, Body: body}
}

// text gives an output's text: from memory while it is new, else from disk.
func (reign *reign) text(index int64) ([]byte, error) {
	reign.lock.Lock()
	if record := reign.recentAt(index); record != nil {
		body, packed := record.Body, record.Packed
		reign.lock.Unlock()
		return unpack(body, packed)
	}
	reign.lock.Unlock()
	record, failure := reign.locker.Store.Read(index)
	if failure != nil {
		return nil, failure
	}
	return unpack(record.Body, record.Packed)
}

func (reign *reign) itemBody(call *pattern.LotCall) *pattern.LotAnswer {
	reign.lock.Lock()
	lot := reign.book.Lot(call.Lot)
	if lot == nil {
		reign.lock.Unlock()
		return refuse(http.StatusNotFound, "no such lot")
	}
	item := lot.Find(call.Item)
	if item == nil {
		reign.lock.Unlock()
		return refuse(http.StatusNotFound, "no such item")
	}
	body, index := item.Body, lot.Index
	reign.lock.Unlock()
	if body == nil {
		// It is listed, or its lot has ended: the body is still in the lot's record.
		record, failure := reign.locker.Store.Read(index)
		if failure != nil {
			return refuse(http.StatusServiceUnavailable, "body can't be read now")
		}
		whole := &pattern.LotBody{}
		if _, failure = whole.UnmarshalMsg(record.Body); failure != nil {
			return refuse(http.StatusServiceUnavailable, "body can't be read now")
		}
		for place := range whole.Items {
			if whole.Items[place].ID == call.Item {
				body = whole.Items[place].Body
			}
		}
	}
	return &pattern.LotAnswer{Status: http.StatusOK, Kind: "application/octet-stream", Body: body}
}

// endLot ends a lot for good.
func (reign *reign) endLot(call *pattern.LotCall) *pattern.LotAnswer {
	reign.lock.Lock()
	lot := reign.book.Lot(call.Lot)
	if lot == nil {
		reign.lock.Unlock()
		return refuse(http.StatusNotFound, "no such lot")
	}
	if lot.Ended {
		reign.lock.Unlock()
		return &pattern.LotAnswer{Status: http.StatusOK, Body: []byte("{}")}
	}
	// Nothing of it is begun any more, and what runs is broken off at once.
	reign.ending[lot.ID] = true
	reign.stopRuns(lot)
	index := reign.submit(pattern.Record{Kind: pattern.RecordEnd, Lot: lot.ID})
	reign.lock.Unlock()
	if !reign.durable(index, almanac.CallTime) {
		return refuse(http.StatusGatewayTimeout, "end not yet durable")
	}
	return &pattern.LotAnswer{Status: http.StatusOK, Body: []byte("{}")}
}

// forget drops lots whose time is over, so that files can be rewritten.
func (reign *reign) forget() {
	if !reign.locker.holds() {
		return
	}
	keep := watch.Milliseconds(reign.locker.Stand.Boot.Tolerances.StatusS * 1000)
	wall, now := watch.Wall()/1_000_000, watch.Now()
	reign.lock.Lock()
	defer reign.lock.Unlock()
	for _, lot := range reign.book.Lots() {
		if !lot.Open() && lot.Older(keep, wall, now) && !reign.ending["forget "+lot.ID] && lot.Giving() == 0 {
			reign.ending["forget "+lot.ID] = true
			reign.submit(pattern.Record{Kind: pattern.RecordForget, Lot: lot.ID})
		}
	}
}
