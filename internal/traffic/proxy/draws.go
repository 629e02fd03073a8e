package proxy

import (
	"math"
	"math/rand"
	"sync"

	"lemonarch/internal/configuration/routeconfig"
)

// goldenRatioStep is the step of the sequence of draws, the fractional part of the golden ratio. With
// it, in any run of consecutive draws each service of a route gets its share to within about one draw.
const goldenRatioStep = 0.6180339887498949

// maxDrawSequences bounds the number of routes whose sequences are kept, since configurations add
// and remove routes. When it is reached, all sequences restart; restarting a sequence changes a
// service's count by one at most.
const maxDrawSequences = 256

// weightedDraws chooses the services of weighted routes. It uses a low-discrepancy sequence instead of
// independent random draws, since each of many gateways receives few requests of a route. The start
// of a sequence is random, so that gateways do not all start with the same service. It is safe for
// concurrent use.
type weightedDraws struct {
	lock sync.Mutex
	// byRoute contains the next draw of each route.
	byRoute map[string]float64
}

// choose returns the service for one request of a route.
func (d *weightedDraws) choose(route *routeconfig.Route) string {
	if len(route.Weighted) == 0 {
		return route.Backend
	}
	return route.Choose(d.next(route.Name))
}

// next returns the next draw of a route, in [0, 1).
func (d *weightedDraws) next(route string) float64 {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.byRoute == nil || len(d.byRoute) >= maxDrawSequences {
		d.byRoute = map[string]float64{}
	}
	draw, found := d.byRoute[route]
	if !found {
		draw = rand.Float64()
	}
	_, d.byRoute[route] = math.Modf(draw + goldenRatioStep)
	return draw
}
