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
func (one *quota) comes(call *messages.LotCall, tokens int64) {
	one.coming[call.Lot] = coming{place{call.Host, call.Path}, tokens}
}

// route gives the bulk route of a place, matched once for each configuration.
func (one *quota) route(config *routeconfig.Config, at place) *routeconfig.Route {
	if one.config != config || len(one.routes) > placesKept {
		one.config, one.routes = config, map[place]*routeconfig.Route{}
	}
	route, known := one.routes[at]
	if !known {
		route = routeOf(config, at.host, at.path)
		one.routes[at] = route
	}
	return route
}

// waiting adds up the tokens that wait on a route, lots on their way to the
// stores included. The lock is held.
func (term *term) waiting(config *routeconfig.Config, route *routeconfig.Route) int64 {
	total := term.book.Waiting(func(lot *lots.Lot) bool {
		return !term.ending[lot.ID] && term.quota.route(config, place{lot.Host, lot.Path}) == route
	})
	for _, one := range term.quota.coming {
		if term.quota.route(config, one.place) == route {
			total += one.tokens
		}
	}
	return total
}
