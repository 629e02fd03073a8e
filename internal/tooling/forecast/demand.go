package forecast

import (
	"fmt"
	"slices"
	"strings"
)

// addition is what a surge adds to a class.
type addition struct {
	fromMs, untilMs float64
	// rate is requests a second, or items.
	rate                              float64
	dueMs                             float64
	promptTokens, freshTokens, events float64
}

// demand is a class with what surges add to it.
type demand struct {
	*class
	additions []addition
	// unknown says why nothing can be predicted of it; empty where it can.
	unknown string
}

// demands joins the present classes and the surges; findings name routes that nobody knows.
func demands(scenario *Scenario, known *Known) (joined []*demand, findings []string) {
	for _, entry := range known.classes() {
		joined = append(joined, &demand{class: entry})
	}
	for i, surge := range scenario.Surges {
		for j := range surge.Traffic {
			traffic := &surge.Traffic[j]
			where := fmt.Sprintf("surges[%d].traffic[%d]", i, j)
			route := known.routeNamed(traffic.Route)
			if route == nil {
				findings = append(findings, fmt.Sprintf("%s.route: no route is named %q", where, traffic.Route))
				continue
			}
			if traffic.Items > 0 != (newClass(route, "", "").bulk) && traffic.Factor == nil {
				findings = append(findings, where+": items go with batch routes, rates with others")
				continue
			}
			joined = addTraffic(joined, known, &surge, traffic)
		}
	}
	for _, family := range scenario.Families {
		if !slices.ContainsFunc(joined, func(d *demand) bool { return family.has(d.service, d.model) }) {
			findings = append(findings, fmt.Sprintf("families: nothing that is known belongs to %q", family.Name))
		}
	}
	return joined, findings
}

// addTraffic adds the traffic of a surge to the classes of its route, by their present shares.
func addTraffic(joined []*demand, known *Known, surge *Surge, traffic *Traffic) []*demand {
	var of []*demand
	total := 0.0
	for _, entry := range joined {
		if entry.name() == traffic.Route {
			of = append(of, entry)
			total += entry.rate
		}
	}
	if len(of) == 0 {
		// Nothing was observed of the route: it is known by the configuration alone.
		route := known.routeNamed(traffic.Route)
		entry := &demand{class: newClass(route, route.Services()[0], "")}
		joined, of = append(joined, entry), []*demand{entry}
	}
	for _, entry := range of {
		share := 1 / float64(len(of))
		if total > 0 {
			share = entry.rate / total
		}
		entry.additions = append(entry.additions, entry.additionOf(surge, traffic, share))
	}
	return joined
}

// additionOf turns a surge's traffic into an addition to a class that gets a share of it.
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
	stated := func(value *float64, into *float64) {
		if value != nil {
			*into = *value
		}
	}
	stated(traffic.PromptTokens, &added.promptTokens)
	stated(traffic.FreshTokens, &added.freshTokens)
	stated(traffic.Events, &added.events)
	if traffic.PromptTokens != nil && traffic.FreshTokens == nil && d.promptTokens > 0 {
		// As much of it is cached as of the present prompts.
		added.freshTokens = added.promptTokens * d.freshTokens / d.promptTokens
	}
	return added
}

// family is the demands on some services whose capacity is predicted together.
type family struct {
	name     string
	demands  []*demand
	services []*service
}

// families sorts the demands into the families of the scenario; what belongs to none is a
// family of its own, by service and model.
func families(scenario *Scenario, joined []*demand, services map[string]*service) []*family {
	byName := map[string]*family{}
	for _, entry := range joined {
		name := scenario.familyOf(entry.service, entry.model)
		if byName[name] == nil {
			byName[name] = &family{name: name}
		}
		byName[name].demands = append(byName[name].demands, entry)
	}
	var all []*family
	for _, entry := range byName {
		entry.attach(services)
		all = append(all, entry)
	}
	slices.SortFunc(all, func(left, right *family) int { return strings.Compare(left.name, right.name) })
	return all
}

// attach gives a family its services, and notes at each demand what is not known.
func (f *family) attach(services map[string]*service) {
	added := map[string]bool{}
	for _, entry := range f.demands {
		of := services[entry.service]
		switch {
		case of == nil || of.workers == 0:
			entry.unknown = "service " + entry.service + " has no workers"
			continue
		case entry.observed < observedMin && !entry.stated():
			entry.unknown = fmt.Sprintf("%d requests were observed, %d are wanted", entry.observed, observedMin)
		case entry.events > 1 && (!of.pace.prefillKnown || !of.pace.decodeKnown):
			entry.unknown = "the pace of service " + entry.service + " was not observed"
		}
		if !added[entry.service] {
			added[entry.service] = true
			f.services = append(f.services, of)
		}
	}
	slices.SortFunc(f.services, func(left, right *service) int { return strings.Compare(left.name, right.name) })
}

// stated tells whether the scenario says all of a class that was not observed.
func (d *demand) stated() bool {
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

// known tells whether anything can be predicted of the family.
func (f *family) known() bool {
	return !slices.ContainsFunc(f.demands, func(d *demand) bool { return d.unknown != "" })
}
