package proxy

import (
	"math"
	"math/rand"
	"sync"

	"lemonarch/internal/configuration/routeconfig"
)

// goldenStep is the step of the sequence of draws, the golden ratio's fraction: of any number
// of draws in a row, each part of a route gets its share within about one.
const goldenStep = 0.6180339887498949

// drawnRoutesMax bounds the routes whose sequences are kept (ours): routes come and go with
// configurations, and a sequence that begins anew is off by one at most.
const drawnRoutesMax = 256

// draws chooses the services of weighted routes. A sequence of low discrepancy takes the place
// of independent draws, since each of many gateways sees few requests of a route; its start is
// random, so that gateways do not begin with the same part. It is safe for concurrent use.
type draws struct {
	lock    sync.Mutex
	byRoute map[string]float64
}

// choose gives the service of one request of a route.
func (d *draws) choose(route *routeconfig.Route) string {
	if len(route.Weighted) == 0 {
		return route.Backend
	}
	return route.Choose(d.next(route.Name))
}

// next gives the next draw of a route, in [0, 1).
func (d *draws) next(route string) float64 {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.byRoute == nil || len(d.byRoute) >= drawnRoutesMax {
		d.byRoute = map[string]float64{}
	}
	draw, begun := d.byRoute[route]
	if !begun {
		draw = rand.Float64()
	}
	_, d.byRoute[route] = math.Modf(draw + goldenStep)
	return draw
}
