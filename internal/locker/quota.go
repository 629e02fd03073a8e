package locker

import (
	"lemonarch/internal/jig"
	"lemonarch/internal/ledgerbox"
	"lemonarch/internal/pattern"
)

// quota knows what counts against a route beside the book: lots on their way to
// the stores, and which route a place belongs to under the newest configuration.
type quota struct {
	coming map[string]coming
	config *jig.Config
	routes map[place]*jig.Route
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
	return quota{coming: map[string]coming{}, routes: map[place]*jig.Route{}}
}

// comes notes a lot that was given to the stores.
func (one *quota) comes(call *pattern.LotCall, tokens int64) {
	one.coming[call.Lot] = coming{place{call.Host, call.Path}, tokens}
}

// route gives the bulk route of a place, matched once for each configuration.
func (one *quota) route(config *jig.Config, at place) *jig.Route {
	if one.config != config || len(one.routes) > placesKept {
		one.config, one.routes = config, map[place]*jig.Route{}
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
func (reign *reign) waiting(config *jig.Config, route *jig.Route) int64 {
	total := reign.book.Waiting(func(lot *ledgerbox.Lot) bool {
		return !reign.ending[lot.ID] && reign.quota.route(config, place{lot.Host, lot.Path}) == route
	})
	for _, one := range reign.quota.coming {
		if reign.quota.route(config, one.place) == route {
			total += one.tokens
		}
	}
	return total
}
