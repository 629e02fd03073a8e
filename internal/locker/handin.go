package locker

import (
	"net/http"
	"strings"

	// Lots come in bursts of 50 and more a second, 48 KB each: the standard reader
	// took 3.5 times as long over them.
	"github.com/goccy/go-json"

	"lemonarch/internal/almanac"
	"lemonarch/internal/jig"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
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
func readLotJSON(call *pattern.LotCall) (body *pattern.LotBody, tokens int64, status int, reason string) {
	lot := lotJSON{}
	if failure := json.Unmarshal(call.Body, &lot); failure != nil {
		return nil, 0, http.StatusBadRequest, "lot can't be read: " + failure.Error()
	}
	if len(lot.Requests) == 0 {
		return nil, 0, http.StatusBadRequest, "requests is empty"
	}
	if len(lot.Requests) > almanac.LotItems {
		return nil, 0, http.StatusRequestEntityTooLarge, "too many items"
	}
	body = &pattern.LotBody{Path: call.Path}
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
		body.Items = append(body.Items, pattern.LotItem{ID: one.ID, Path: one.Path, Headers: one.Headers, Body: one.Body, Tokens: one.Tokens})
	}
	return body, tokens, 0, ""
}

// routeOf finds the bulk route that a lot belongs to now; nil when it is gone.
func routeOf(config *jig.Config, host, path string) *jig.Route {
	if config == nil {
		return nil
	}
	route := config.Match(host, path)
	if route == nil || route.Kind() != pattern.RouteBulk {
		return nil
	}
	return route
}

// handIn takes a lot: checked, within the quota, and durable before it is told.
func (reign *reign) handIn(call *pattern.LotCall) *pattern.LotAnswer {
	accepted := &pattern.LotAnswer{Status: http.StatusAccepted, Body: []byte("{}")}
	reign.lock.Lock()
	known, taking := reign.book.Lot(call.Lot) != nil, reign.taking[call.Lot]
	reign.lock.Unlock()
	if known {
		return accepted
	}
	if taking > 0 {
		return reign.awaitTaken(taking, accepted)
	}
	body, tokens, status, why := readLotJSON(call)
	if body == nil {
		return refuse(status, why)
	}
	config := reign.locker.Stand.Config()
	route := routeOf(config, call.Host, call.Path)
	if route == nil {
		// The forge knew the route: our configuration may be the older one.
		return &pattern.LotAnswer{Elsewhere: true}
	}
	packed, failure := body.MarshalMsg(nil)
	if failure != nil {
		return refuse(http.StatusBadRequest, "lot can't be kept")
	}
	reign.lock.Lock()
	if reign.book.Lot(call.Lot) != nil || reign.taking[call.Lot] > 0 {
		taking = reign.taking[call.Lot]
		reign.lock.Unlock()
		return reign.awaitTaken(taking, accepted)
	}
	if expired(call, watch.Now()) {
		// Whoever asked has given up, or was told that this one counts for nothing.
		reign.lock.Unlock()
		return &pattern.LotAnswer{Elsewhere: true}
	}
	if route.BacklogCap > 0 && reign.waiting(config, route)+tokens > route.BacklogCap {
		reign.lock.Unlock()
		return &pattern.LotAnswer{Status: http.StatusTooManyRequests, Body: reason("backlog is full"), RetryMs: int(almanac.GossipPeriod.Milliseconds())}
	}
	index := reign.submit(pattern.Record{Kind: pattern.RecordLot, Lot: call.Lot, Host: call.Host, Route: route.Name,
		AtMs: watch.Wall() / 1_000_000, Body: packed})
	reign.taking[call.Lot] = index
	reign.quota.comes(call, tokens)
	reign.lock.Unlock()
	return reign.awaitTaken(index, accepted)
}

// fresh tells whether a question comes for the first time, and turns the span that
// it brought into a moment of our own clock.
func (locker *Locker) fresh(call *pattern.LotCall, now watch.Moment) bool {
	if call.LiveMs > 0 {
		call.Until = int64(now.Plus(watch.Milliseconds(float64(call.LiveMs))))
	}
	return locker.once.First(call.Ask, now)
}

// expired tells whether the time in which a hand-in may be taken is over.
func expired(call *pattern.LotCall, now watch.Moment) bool {
	return call.Until > 0 && int64(now) >= call.Until
}

func (reign *reign) awaitTaken(index int64, accepted *pattern.LotAnswer) *pattern.LotAnswer {
	if reign.durable(index, almanac.RegisterTime) {
		return accepted
	}
	return refuse(http.StatusGatewayTimeout, "lot not yet durable")
}
