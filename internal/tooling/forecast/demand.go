package forecast

import (
	"fmt"
	"slices"
	"strings"
)

// addition is the traffic that a surge adds to a class.
type addition struct {
	fromMs, untilMs float64
	// rate is in requests, or items of batch jobs, per second.
	rate                              float64
	dueMs                             float64
	promptTokens, freshTokens, events float64
}

// demand is a class with the traffic that surges add to it.
type demand struct {
	*class
	additions []addition
	// unknownReason states why nothing can be predicted about the class; empty if it can.
	unknownReason string
}

// demands combines the present classes with the surges. It reports findings for unknown routes,
// for traffic that does not fit the kind of its route, and for families that match no class.
func demands(scenario *Scenario, state *FleetState) (all []*demand, findings []string) {
	for _, c := range state.classes() {
		all = append(all, &demand{class: c})
	}
	for i, surge := range scenario.Surges {
		for j := range surge.Traffic {
			traffic := &surge.Traffic[j]
			field := fmt.Sprintf("surges[%d].traffic[%d]", i, j)
			route := state.routeNamed(traffic.Route)
			if route == nil {
				findings = append(findings, fmt.Sprintf("%s.route: no route is named %q", field, traffic.Route))
				continue
			}
			if traffic.Items > 0 != (newClass(route, "", "").bulk) && traffic.Factor == nil {
				findings = append(findings, field+": items go with batch routes, rates with others")
				continue
			}
			all = addTraffic(all, state, &surge, traffic)
		}
	}
	for _, family := range scenario.Families {
		if !slices.ContainsFunc(all, func(d *demand) bool { return family.includes(d.service, d.model) }) {
			findings = append(findings, fmt.Sprintf("families: nothing that is known belongs to %q", family.Name))
		}
	}
	return all, findings
}

// addTraffic adds the traffic of a surge to the classes of its route, in proportion to their
// present rates, or in equal shares if all of these are 0.
func addTraffic(all []*demand, state *FleetState, surge *Surge, traffic *Traffic) []*demand {
	var onRoute []*demand
	total := 0.0
	for _, d := range all {
		if d.name() == traffic.Route {
			onRoute = append(onRoute, d)
			total += d.rate
		}
	}
	if len(onRoute) == 0 {
		// No traffic was observed on the route: only its configuration is known.
		route := state.routeNamed(traffic.Route)
		d := &demand{class: newClass(route, route.Services()[0], "")}
		all, onRoute = append(all, d), []*demand{d}
	}
	for _, d := range onRoute {
		share := 1 / float64(len(onRoute))
		if total > 0 {
			share = d.rate / total
		}
		d.additions = append(d.additions, d.additionOf(surge, traffic, share))
	}
	return all
}

// additionOf returns what the surge's traffic adds to the class, which receives the given share
// of it.
func (d *demand) additionOf(surge *Surge, traffic *Traffic, share float64) addition {
	added := addition{fromMs: surge.StartS * 1000, untilMs: (surge.StartS + surge.DurationS) * 1000, dueMs: d.dueMs,
		promptTokens: d.promptTokens, freshTokens: d.freshTokens, events: d.events}
	switch {
	case traffic.Rate != nil:
		added.rate = *traffic.Rate * share
	case traffic.Factor != nil:
		added.rate = d.rate * (*traffic.Factor - 1)
	default:
		added.rate = float64(traffic.Items) / surge.DurationS * share
		if traffic.DueS > 0 {
			added.dueMs = traffic.DueS * 1000
		}
	}
	override := func(value *float64, target *float64) {
		if value != nil {
			*target = *value
		}
	}
	override(traffic.PromptTokens, &added.promptTokens)
	override(traffic.FreshTokens, &added.freshTokens)
	override(traffic.Events, &added.events)
	if traffic.PromptTokens != nil && traffic.FreshTokens == nil && d.promptTokens > 0 {
		// Assumes the same cached fraction as for the present prompts.
		added.freshTokens = added.promptTokens * d.freshTokens / d.promptTokens
	}
	return added
}

// family is a set of demands and the services that they use, whose capacity is predicted together.
type family struct {
	name     string
	demands  []*demand
	services []*service
}

// families groups the demands into the families of the scenario. Demands that belong to none of
// them form one family for each service and model.
func families(scenario *Scenario, demands []*demand, services map[string]*service) []*family {
	byName := map[string]*family{}
	for _, d := range demands {
		name := scenario.familyOf(d.service, d.model)
		if byName[name] == nil {
			byName[name] = &family{name: name}
		}
		byName[name].demands = append(byName[name].demands, d)
	}
	var grouped []*family
	for _, f := range byName {
		f.attachServices(services)
		grouped = append(grouped, f)
	}
	slices.SortFunc(grouped, func(left, right *family) int { return strings.Compare(left.name, right.name) })
	return grouped
}

// attachServices sets the services of the family, and sets unknownReason of each demand that
// can't be predicted.
func (f *family) attachServices(services map[string]*service) {
	added := map[string]bool{}
	for _, d := range f.demands {
		s := services[d.service]
		switch {
		case s == nil || s.workers == 0:
			d.unknownReason = "service " + d.service + " has no workers"
			continue
		case d.observed < observationsMin && !d.fullySpecified():
			d.unknownReason = fmt.Sprintf("%d requests were observed, %d are wanted", d.observed, observationsMin)
		case d.events > 1 && (!s.latency.prefillKnown || !s.latency.decodeKnown):
			d.unknownReason = "the pace of service " + d.service + " was not observed"
		}
		if !added[d.service] {
			added[d.service] = true
			f.services = append(f.services, s)
		}
	}
	slices.SortFunc(f.services, func(left, right *service) int { return strings.Compare(left.name, right.name) })
}

// fullySpecified reports whether the scenario states all that is needed about a class that was
// not observed.
func (d *demand) fullySpecified() bool {
	if len(d.additions) == 0 || d.rate > 0 {
		return false
	}
	for _, added := range d.additions {
		if added.events == 0 || added.promptTokens == 0 {
			return false
		}
	}
	return true
}

// predictable reports whether all demands of the family can be predicted.
func (f *family) predictable() bool {
	return !slices.ContainsFunc(f.demands, func(d *demand) bool { return d.unknownReason != "" })
}
