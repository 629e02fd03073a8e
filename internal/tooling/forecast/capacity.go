package forecast

import "math"

// The resources of a family.
const (
	ResourceSlots       = "slots"
	ResourceMemory      = "kv-memory"
	ResourcePrefill     = "prefill"
	ResourceDecode      = "decode"
	ResourceConnections = "connections"
)

// Resource is how much of a resource is used, as a part of what there is: now, and at the
// highest in the surge. FactorLeft is how many times the surge would fit; nil where the surge
// adds nothing, or the resource is not known.
type Resource struct {
	Resource   string   `json:"resource"`
	UsedNow    *float64 `json:"used-now"`
	UsedSurge  *float64 `json:"used-surge"`
	FactorLeft *float64 `json:"factor-left"`
}

// usage is the use of each resource by some traffic, in its own unit.
type usage struct{ slots, memory, prefill, decode, connections float64 }

func (u usage) plus(other usage) usage {
	return usage{u.slots + other.slots, u.memory + other.memory, u.prefill + other.prefill, u.decode + other.decode, u.connections + other.connections}
}

// resources gives the resources of a family, summed over its services.
func (f *family) resources() []Resource {
	var now, have usage
	for _, of := range f.services {
		have = have.plus(of.capacity())
	}
	for _, entry := range f.demands {
		if of := f.service(entry.service); of != nil {
			now = now.plus(of.usage(entry.rate, entry.promptTokens, entry.freshTokens, entry.events, entry.durationMs))
		}
	}
	peak := f.peak(now)
	rows := []struct {
		name             string
		now, peak, whole float64
	}{
		{ResourceSlots, now.slots, peak.slots, have.slots},
		{ResourceMemory, now.memory, peak.memory, have.memory},
		{ResourcePrefill, now.prefill, peak.prefill, have.prefill},
		{ResourceDecode, now.decode, peak.decode, have.decode},
		{ResourceConnections, now.connections, peak.connections, have.connections},
	}
	resources := make([]Resource, 0, len(rows))
	for _, row := range rows {
		resource := Resource{Resource: row.name}
		if row.whole > 0 && f.known() {
			used, surge := rounded(row.now/row.whole), rounded(row.peak/row.whole)
			resource.UsedNow, resource.UsedSurge = &used, &surge
			if row.peak > row.now {
				left := rounded(max(row.whole-row.now, 0) / (row.peak - row.now))
				resource.FactorLeft = &left
			}
		}
		resources = append(resources, resource)
	}
	return resources
}

// peak gives the highest use of each resource over the surges' beginnings, at one of which the
// sum is at its highest.
func (f *family) peak(now usage) usage {
	highest := now
	for _, entry := range f.demands {
		for _, begun := range entry.additions {
			at := now
			for _, other := range f.demands {
				of := f.service(other.service)
				for _, added := range other.additions {
					if of != nil && added.fromMs <= begun.fromMs && begun.fromMs < added.untilMs {
						at = at.plus(of.usage(added.rate, added.promptTokens, added.freshTokens, added.events, other.durationMs))
					}
				}
			}
			highest = usage{max(highest.slots, at.slots), max(highest.memory, at.memory), max(highest.prefill, at.prefill),
				max(highest.decode, at.decode), max(highest.connections, at.connections)}
		}
	}
	return highest
}

func (f *family) service(name string) *service {
	for _, of := range f.services {
		if of.name == name {
			return of
		}
	}
	return nil
}

// capacity is what a service has: slots, tokens of memory, prompt tokens a ms, events a ms and
// connections.
func (s *service) capacity() usage {
	workers := float64(s.workers)
	have := usage{slots: workers * s.slots, memory: workers * s.cacheTokens, connections: workers * s.connections}
	if s.pace.prefillKnown && s.pace.tokenMs > 0 {
		have.prefill = workers / s.pace.tokenMs
	}
	if s.pace.decodeKnown && s.pace.prefillKnown && s.pace.eventMs > 0 {
		// A full worker makes its events one for each slot in the time between two.
		have.decode = workers * s.slots / s.pace.gapAt(s.slots)
	}
	return have
}

// gapAt is the time between two events where so many requests run at a worker.
func (p *pace) gapAt(running float64) float64 {
	return p.eventMs + p.eachMs*max(running-1, 0)
}

// usage is what traffic takes of a service: by Little's law it holds its rate times its stay.
func (s *service) usage(rate, promptTokens, freshTokens, events, durationMs float64) usage {
	perMs := rate / 1000
	stay := s.stayMs(freshTokens, events, durationMs)
	return usage{slots: perMs * stay, memory: perMs * stay * promptTokens, prefill: perMs * freshTokens, decode: perMs * events, connections: perMs * stay}
}

// plainMs is the time of plain work alone at a worker: by the learnt pace, or as observed
// where there is none.
func (s *service) plainMs(durationMs float64) float64 {
	if s.pace.decodeKnown && !s.pace.prefillKnown {
		return s.pace.gapAt(1)
	}
	return durationMs
}

// slowdown is how many times longer work takes where so many requests run.
func (p *pace) slowdown(running float64) float64 {
	if p.gapAt(1) <= 0 {
		return 1
	}
	return p.gapAt(running) / p.gapAt(1)
}

// stayMs is how long a request stays at a worker that is neither idle nor full: by the learnt
// pace, or as observed where there is none.
func (s *service) stayMs(freshTokens, events, durationMs float64) float64 {
	if events <= 1 {
		return s.plainMs(durationMs) * s.pace.slowdown(s.slots)
	}
	if !s.pace.prefillKnown || !s.pace.decodeKnown {
		return durationMs
	}
	return s.pace.firstMs + s.pace.tokenMs*freshTokens + (events-1)*s.pace.gapAt(s.slots/2)
}

// shortOf names the resource of which most is used in the surge.
func shortOf(resources []Resource) string {
	most, name := math.Inf(-1), shortOfNothing
	for _, resource := range resources {
		if resource.UsedSurge != nil && *resource.UsedSurge > most {
			most, name = *resource.UsedSurge, resource.Resource
		}
	}
	return name
}

// rounded keeps three digits behind the point: more would only show noise.
func rounded(value float64) float64 { return math.Round(value*1000) / 1000 }
