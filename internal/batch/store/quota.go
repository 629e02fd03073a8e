package store

import (
	"lemonarch/internal/batch/lots"
	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/messages"
)

// quota knows what counts against a route beside the book: lots on their way to
// the stores, and which route a place belongs to under the newest configuration.
type quota struct {
	coming map[string]coming
	config *routeconfig.Config
	routes map[place]*routeconfig.Route
}

// coming is a lot that is not durable yet.
type coming struct {
	place
	tokens int64
}

// place is where a lot was handed in.
type place struct{ host, path string }

// placesKept bounds the places remembered (ours): each lot may have a path of its own.
const placesKept = 4096

func newQuota() quota {
	return quota{coming: map[string]coming{}, routes: map[place]*routeconfig.Route{}}
}

// comes notes a lot that was given to the stores.
func (q *quota) comes(call *messages.JobCallRequest, tokens int64) {
	q.coming[call.Job] = coming{place{call.Host, call.Path}, tokens}
}

// route gives the bulk route of a place, matched once for each configuration.
func (q *quota) route(config *routeconfig.Config, at place) *routeconfig.Route {
	if q.config != config || len(q.routes) > placesKept {
		q.config, q.routes = config, map[place]*routeconfig.Route{}
	}
	route, known := q.routes[at]
	if !known {
		route = routeOf(config, at.host, at.path)
		q.routes[at] = route
	}
	return route
}

// waiting adds up the tokens that wait on a route, lots on their way to the
// stores included. The lock is held.
func (t *term) waiting(config *routeconfig.Config, route *routeconfig.Route) int64 {
	total := t.book.Waiting(func(lot *lots.Lot) bool {
		return !t.ending[lot.ID] && t.quota.route(config, place{lot.Host, lot.Path}) == route
	})
	for _, coming := range t.quota.coming {
		if t.quota.route(config, coming.place) == route {
			total += coming.tokens
		}
	}
	return total
}
