package store

import (
	"net/http"
	"strings"

	// Lots come in bursts of 50 and more a second, 48 KB each: the standard reader
	// took 3.5 times as long over them.
	"github.com/goccy/go-json"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// lotJSON is a lot as it is handed in.
type lotJSON struct {
	Requests []struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    []byte            `json:"body"`
		Tokens  int64             `json:"tokens"`
	} `json:"requests"`
}

// readLotJSON checks a lot; the reason says what is wrong with it.
func readLotJSON(call *messages.LotCall) (body *messages.LotBody, tokens int64, status int, reason string) {
	lot := lotJSON{}
	if err := json.Unmarshal(call.Body, &lot); err != nil {
		return nil, 0, http.StatusBadRequest, "lot can't be read: " + err.Error()
	}
	if len(lot.Requests) == 0 {
		return nil, 0, http.StatusBadRequest, "requests is empty"
	}
	if len(lot.Requests) > constants.LotItems {
		return nil, 0, http.StatusRequestEntityTooLarge, "too many items"
	}
	body = &messages.LotBody{Path: call.Path}
	seen := map[string]bool{}
	for _, one := range lot.Requests {
		if one.ID == "" || seen[one.ID] || !strings.HasPrefix(one.Path, "/") || strings.ContainsAny(one.Path, " \r\n") || one.Tokens < 0 {
			return nil, 0, http.StatusBadRequest, "an item lacks a sound id, path or tokens"
		}
		for name, value := range one.Headers {
			// A header with a line break would smuggle in a request of its own.
			if name == "" || strings.ContainsAny(name, " :\r\n") || strings.ContainsAny(value, "\r\n") {
				return nil, 0, http.StatusBadRequest, "an item has an unsound header"
			}
		}
		seen[one.ID] = true
		tokens += one.Tokens
		body.Items = append(body.Items, messages.LotItem{ID: one.ID, Path: one.Path, Headers: one.Headers, Body: one.Body, Tokens: one.Tokens})
	}
	return body, tokens, 0, ""
}

// routeOf finds the bulk route that a lot belongs to now; nil when it is gone.
func routeOf(config *routeconfig.Config, host, path string) *routeconfig.Route {
	if config == nil {
		return nil
	}
	route := config.Match(host, path)
	if route == nil || route.Kind() != messages.RouteBulk {
		return nil
	}
	return route
}

// handIn takes a lot: checked, within the quota, and durable before it is told.
func (t *term) handIn(call *messages.LotCall) *messages.LotAnswer {
	accepted := &messages.LotAnswer{Status: http.StatusAccepted, Body: []byte("{}")}
	t.lock.Lock()
	known, taking := t.book.Lot(call.Lot) != nil, t.taking[call.Lot]
	t.lock.Unlock()
	if known {
		return accepted
	}
	if taking > 0 {
		return t.awaitTaken(taking, accepted)
	}
	body, tokens, status, why := readLotJSON(call)
	if body == nil {
		return refuse(status, why)
	}
	config := t.server.Node.Config()
	route := routeOf(config, call.Host, call.Path)
	if route == nil {
		// The gateway knew the route: our configuration may be the older one.
		return &messages.LotAnswer{Elsewhere: true}
	}
	packed, err := body.MarshalMsg(nil)
	if err != nil {
		return refuse(http.StatusBadRequest, "lot can't be kept")
	}
	t.lock.Lock()
	if t.book.Lot(call.Lot) != nil || t.taking[call.Lot] > 0 {
		taking = t.taking[call.Lot]
		t.lock.Unlock()
		return t.awaitTaken(taking, accepted)
	}
	if expired(call, clock.Now()) {
		// Whoever asked has given up, or was told that this one counts for nothing.
		t.lock.Unlock()
		return &messages.LotAnswer{Elsewhere: true}
	}
	if route.BacklogCap > 0 && t.waiting(config, route)+tokens > route.BacklogCap {
		t.lock.Unlock()
		return &messages.LotAnswer{Status: http.StatusTooManyRequests, Body: reason("backlog is full"), RetryMs: int(constants.GossipPeriod.Milliseconds())}
	}
	index := t.submit(messages.Record{Kind: messages.RecordLot, Lot: call.Lot, Host: call.Host, Route: route.Name,
		AtMs: clock.Wall() / 1_000_000, Body: packed})
	t.taking[call.Lot] = index
	t.quota.comes(call, tokens)
	t.lock.Unlock()
	return t.awaitTaken(index, accepted)
}

// fresh tells whether a question comes for the first time, and turns the span that
// it brought into a moment of our own clock.
func (s *Server) fresh(call *messages.LotCall, now clock.Moment) bool {
	if call.LiveMs > 0 {
		call.Until = int64(now.Plus(clock.Milliseconds(float64(call.LiveMs))))
	}
	return s.once.First(call.Ask, now)
}

// expired tells whether the time in which a hand-in may be taken is over.
func expired(call *messages.LotCall, now clock.Moment) bool {
	return call.Until > 0 && int64(now) >= call.Until
}

func (t *term) awaitTaken(index int64, accepted *messages.LotAnswer) *messages.LotAnswer {
	if t.durable(index, constants.RegisterTime) {
		return accepted
	}
	return refuse(http.StatusGatewayTimeout, "lot not yet durable")
}
