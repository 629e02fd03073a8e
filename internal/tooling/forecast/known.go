package forecast

import (
	"slices"
	"strings"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/traffic/trafficstats"
)

// Known is what the fleet told: its configuration, its workers, and the traffic of the last
// minutes.
type Known struct {
	Config *routeconfig.Config
	// ObservedS is the time that the summaries cover, in seconds.
	ObservedS float64
	Summaries []messages.TrafficSummary
	Workers   []messages.WorkerGroup
	// Answered counts the gateways and stores whose summaries are in, Missing names the others.
	Answered int
	Missing  []string
}

// class is the requests of one route that go to one service for one model.
type class struct {
	route          *routeconfig.Route
	service, model string
	bulk           bool
	// rate is the present traffic, in requests a second; observed counts what it stands on.
	rate     float64
	observed int64
	// promptTokens, freshTokens and events are means by request; durationMs is the mean time
	// from the sending to the end.
	promptTokens, freshTokens, events float64
	// outTokens is the mean of the most that may go out.
	outTokens, durationMs float64
	// targetMs is the time to the first event, or for a plain request to the answer, that is
	// still in time; gapMs the same between two events, 0 for none; dueMs that of an item.
	targetMs, gapMs, dueMs float64
	priority               int
}

// name is what the class is named as.
func (c *class) name() string { return c.route.Name }

// service is the workers of one service, and what was learnt of their pace.
type service struct {
	name    string
	workers int
	// slots is the capacity of one worker; cacheTokens its memory, 0 where unknown.
	slots       float64
	cacheTokens float64
	connections float64
	pace        pace
}

// classes gives the classes of a known state, in order of their names.
func (k *Known) classes() []*class {
	var found []*class
	covered := max(k.ObservedS, 1)
	share := k.answeredShare()
	for i := range k.Summaries {
		summary := &k.Summaries[i]
		route := k.routeNamed(summary.Route)
		if route == nil {
			continue
		}
		entry := newClass(route, summary.Service, summary.Model)
		entry.bulk = entry.bulk || summary.Bulk
		entry.observed = summary.Placed
		entry.rate = float64(summary.Served+summary.Rejected+summary.Failed) / covered / share
		if summary.Placed > 0 {
			entry.promptTokens = float64(summary.PromptTokens) / float64(summary.Placed)
			entry.freshTokens = float64(summary.FreshTokens) / float64(summary.Placed)
			entry.outTokens = float64(summary.OutTokens) / float64(summary.Placed)
		}
		if summary.Served > 0 {
			entry.events = float64(summary.Events) / float64(summary.Served)
			entry.durationMs = trafficstats.Decode(&summary.Duration).Mean() / 10
		}
		found = append(found, entry)
	}
	slices.SortStableFunc(found, func(left, right *class) int {
		return strings.Compare(left.name()+"\x00"+left.service+"\x00"+left.model, right.name()+"\x00"+right.service+"\x00"+right.model)
	})
	return found
}

func newClass(route *routeconfig.Route, serviceName, model string) *class {
	return &class{route: route, service: serviceName, model: model, priority: route.Priority,
		bulk: route.Kind() == messages.RouteBulk, targetMs: float64(route.Setpoint().Milliseconds()),
		gapMs: route.GapMs, dueMs: route.ResultMs}
}

// answeredShare is the part of the fleet that told what it saw; the rest is taken to have observed
// as much on the mean.
func (k *Known) answeredShare() float64 {
	if k.Answered == 0 {
		return 1
	}
	return float64(k.Answered) / float64(k.Answered+len(k.Missing))
}

func (k *Known) routeNamed(name string) *routeconfig.Route {
	for i := range k.Config.Routes {
		if k.Config.Routes[i].Name == name {
			return &k.Config.Routes[i]
		}
	}
	return nil
}

// services gives the services with workers, what is thought away left out, with their pace.
func (k *Known) services(without []Without) map[string]*service {
	found := map[string]*service{}
	slots := map[string]float64{}
	for _, group := range k.Workers {
		away := slices.ContainsFunc(without, func(w Without) bool { return w.Zone == group.Zone && w.Zone != "" })
		if away || group.Workers == 0 {
			continue
		}
		if found[group.Service] == nil {
			found[group.Service] = &service{name: group.Service}
		}
		found[group.Service].workers += group.Workers
		slots[group.Service] += float64(group.Slots)
	}
	for name, entry := range found {
		entry.slots = slots[name] / float64(entry.workers)
		for _, w := range without {
			if w.Service == name {
				entry.workers = max(entry.workers-w.Workers, 0)
			}
		}
		if described := k.Config.Service(name); described != nil {
			entry.connections = float64(described.ConnLimit)
			if described.Engine != nil {
				entry.cacheTokens = float64(described.Engine.CacheTokens)
			}
		}
		entry.pace = k.paceOf(name)
	}
	return found
}
