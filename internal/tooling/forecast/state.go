package forecast

import (
	"slices"
	"strings"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/traffic/trafficstats"
)

// FleetState is the state of a fleet as its processes reported it: the configuration, the workers, and
// the traffic of the last minutes.
type FleetState struct {
	Config *routeconfig.Config
	// ObservedS is the time that the summaries cover, in seconds.
	ObservedS float64
	Summaries []messages.TrafficSummary
	Workers   []messages.WorkerGroup
	// Answered is the number of gateways and stores whose summaries are included; Missing names
	// the others, and the zones from which no controller responded.
	Answered int
	Missing  []string
}

// class is the requests of one route to one service for one model.
type class struct {
	route          *routeconfig.Route
	service, model string
	bulk           bool
	// rate is the present traffic in requests per second; observed is the number of placed
	// requests that the figures of the class are based on.
	rate     float64
	observed int64
	// promptTokens, freshTokens (not cached by a worker) and events are means per request.
	promptTokens, freshTokens, events float64
	// outTokens is the mean limit of output tokens per request; durationMs is the mean time from
	// sending a request to its end.
	outTokens, durationMs float64
	// targetMs is the latency target: for the first event, or for the response to a plain request.
	// gapMs is the target for the time between two events, 0 if there is none. dueMs is the time in
	// which an item of a batch job is due.
	targetMs, gapMs, dueMs float64
	priority               int
}

// name returns the name of the class, which is that of its route.
func (c *class) name() string { return c.route.Name }

// service is the workers of one service and the latency model fitted to them.
type service struct {
	name    string
	workers int
	// slots is the mean capacity of one worker; cacheTokens its KV memory in tokens, 0 if unknown;
	// connections its connection limit.
	slots       float64
	cacheTokens float64
	connections float64
	latency     latencyModel
}

// classes returns the observed classes, sorted by route, service and model. Summaries of routes
// that are not configured are skipped.
func (k *FleetState) classes() []*class {
	var classes []*class
	covered := max(k.ObservedS, 1)
	share := k.answeredShare()
	for i := range k.Summaries {
		summary := &k.Summaries[i]
		route := k.routeNamed(summary.Route)
		if route == nil {
			continue
		}
		c := newClass(route, summary.Service, summary.Model)
		c.bulk = c.bulk || summary.Bulk
		c.observed = summary.Placed
		c.rate = float64(summary.Served+summary.Rejected+summary.Failed) / covered / share
		if summary.Placed > 0 {
			c.promptTokens = float64(summary.PromptTokens) / float64(summary.Placed)
			c.freshTokens = float64(summary.FreshTokens) / float64(summary.Placed)
			c.outTokens = float64(summary.OutTokens) / float64(summary.Placed)
		}
		if summary.Served > 0 {
			c.events = float64(summary.Events) / float64(summary.Served)
			c.durationMs = trafficstats.Decode(&summary.Duration).Mean() / 10
		}
		classes = append(classes, c)
	}
	slices.SortStableFunc(classes, func(left, right *class) int {
		return strings.Compare(left.name()+"\x00"+left.service+"\x00"+left.model, right.name()+"\x00"+right.service+"\x00"+right.model)
	})
	return classes
}

func newClass(route *routeconfig.Route, serviceName, model string) *class {
	return &class{route: route, service: serviceName, model: model, priority: route.Priority,
		bulk: route.Kind() == messages.RouteBulk, targetMs: float64(route.Setpoint().Milliseconds()),
		gapMs: route.GapMs, dueMs: route.ResultMs}
}

// answeredShare returns the fraction of the fleet that reported its traffic. The rest is assumed to
// have observed the same traffic on average.
func (k *FleetState) answeredShare() float64 {
	if k.Answered == 0 {
		return 1
	}
	return float64(k.Answered) / float64(k.Answered+len(k.Missing))
}

func (k *FleetState) routeNamed(name string) *routeconfig.Route {
	for i := range k.Config.Routes {
		if k.Config.Routes[i].Name == name {
			return &k.Config.Routes[i]
		}
	}
	return nil
}

// services returns the services that have workers, without the excluded ones, each with its latency
// model.
func (k *FleetState) services(exclusions []Exclusion) map[string]*service {
	services := map[string]*service{}
	slots := map[string]float64{}
	for _, group := range k.Workers {
		excluded := slices.ContainsFunc(exclusions, func(w Exclusion) bool { return w.Zone == group.Zone && w.Zone != "" })
		if excluded || group.Workers == 0 {
			continue
		}
		if services[group.Service] == nil {
			services[group.Service] = &service{name: group.Service}
		}
		services[group.Service].workers += group.Workers
		slots[group.Service] += float64(group.Slots)
	}
	for name, s := range services {
		s.slots = slots[name] / float64(s.workers)
		for _, w := range exclusions {
			if w.Service == name {
				s.workers = max(s.workers-w.Workers, 0)
			}
		}
		if configured := k.Config.Service(name); configured != nil {
			s.connections = float64(configured.ConnLimit)
			if configured.Engine != nil {
				s.cacheTokens = float64(configured.Engine.CacheTokens)
			}
		}
		s.latency = k.fitLatency(name)
	}
	return services
}
