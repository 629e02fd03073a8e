package lab

import (
	"strconv"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/constants"
)

// firstConfiguration returns the lab's built-in initial configuration: that of the families if there are
// any, otherwise five routes that cover every kind of route.
func (p *Plan) firstConfiguration() []byte {
	if len(p.Families) > 0 {
		return p.familyConfiguration()
	}
	shape := p.shape()
	config := routeconfig.Config{
		Generation: 1,
		Routes: []routeconfig.Route{
			labRoute("query", routeconfig.Route{KindName: "streaming", Backend: ModelService, SetpointMs: 500, CutoffMs: 8000,
				Affine: true, Resumable: true, GapMs: 500}),
			labRoute("review", routeconfig.Route{KindName: "streaming", Backend: ModelService, SetpointMs: 1000, CutoffMs: 10000, Priority: 1,
				Affine: true, GapMs: 500}),
			labRoute("confirm", routeconfig.Route{KindName: "effectful", Backend: PlainService, SetpointMs: 300, CutoffMs: 3000}),
			labRoute("status", routeconfig.Route{KindName: "idempotent", Backend: PlainService, SetpointMs: 300, CutoffMs: 3000, Priority: 1}),
			labRoute("batch", routeconfig.Route{KindName: "bulk", Backend: ModelService, SetpointMs: 1000, CutoffMs: 10000, Priority: 5,
				Affine: true, ResultMs: 20000, RetainS: 60, BacklogCap: 2_000_000, MaxAttempts: 3}),
		},
		Services: []routeconfig.Service{
			{Name: ModelService, Probe: ProbePath, ConnLimit: constants.LabConnLimit,
				Engine: &routeconfig.Engine{Capacity: shape.Capacity, CacheTokens: shape.CacheTokens}},
			{Name: PlainService, Probe: ProbePath, ConnLimit: constants.LabConnLimit},
		},
		Limits: routeconfig.Limits{HeaderBytes: 16384, BodyBytes: 1 << 20, HeaderWaitMs: 3000, IdleMs: 15000},
	}
	return config.Encode()
}

// labRoute completes a route with its name, host and prefix, and with a maximum of two attempts if it
// sets none.
func labRoute(name string, route routeconfig.Route) routeconfig.Route {
	route.Name, route.Host, route.Prefix = name, Host, "/"+name+"/"
	if route.MaxAttempts == 0 {
		route.MaxAttempts = 2
	}
	return route
}

// addedRoute returns the route with this number, which a new generation adds to the previous one.
func addedRoute(number int) routeconfig.Route {
	name := "added-" + strconv.Itoa(number)
	return labRoute(name, routeconfig.Route{KindName: "idempotent", Backend: PlainService, SetpointMs: 300, CutoffMs: 3000})
}
