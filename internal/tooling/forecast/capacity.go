package forecast

import "math"

// The resources of a family that a surge can exhaust.
const (
	ResourceSlots       = "slots"
	ResourceMemory      = "kv-memory"
	ResourcePrefill     = "prefill"
	ResourceDecode      = "decode"
	ResourceConnections = "connections"
)

// Resource is the utilization of one resource as a fraction of its capacity: at present, and at
// the peak of the surges. FactorLeft is how many times the surge would fit into the capacity that
// is left; nil if the surge adds nothing. All three are nil if the capacity of the resource is
// unknown, or nothing can be predicted about its family.
type Resource struct {
	Resource   string   `json:"resource"`
	UsedNow    *float64 `json:"used-now"`
	UsedSurge  *float64 `json:"used-surge"`
	FactorLeft *float64 `json:"factor-left"`
}

// usage is the use of each resource by some traffic: slots, tokens of KV memory, prompt tokens
// per ms, events per ms, and connections.
type usage struct{ slots, memory, prefill, decode, connections float64 }

func (u usage) plus(other usage) usage {
	return usage{u.slots + other.slots, u.memory + other.memory, u.prefill + other.prefill, u.decode + other.decode, u.connections + other.connections}
}

// resources returns the utilization of each resource of the family, summed over its services.
func (f *family) resources() []Resource {
	var now, total usage
	for _, s := range f.services {
		total = total.plus(s.capacity())
	}
	for _, d := range f.demands {
		if s := f.service(d.service); s != nil {
			now = now.plus(s.usage(d.rate, d.promptTokens, d.freshTokens, d.events, d.durationMs))
		}
	}
	peak := f.peak(now)
	rows := []struct {
		name             string
		now, peak, total float64
	}{
		{ResourceSlots, now.slots, peak.slots, total.slots},
		{ResourceMemory, now.memory, peak.memory, total.memory},
		{ResourcePrefill, now.prefill, peak.prefill, total.prefill},
		{ResourceDecode, now.decode, peak.decode, total.decode},
		{ResourceConnections, now.connections, peak.connections, total.connections},
	}
	resources := make([]Resource, 0, len(rows))
	for _, row := range rows {
		resource := Resource{Resource: row.name}
		if row.total > 0 && f.predictable() {
			used, surge := rounded(row.now/row.total), rounded(row.peak/row.total)
			resource.UsedNow, resource.UsedSurge = &used, &surge
			if row.peak > row.now {
				left := rounded(max(row.total-row.now, 0) / (row.peak - row.now))
				resource.FactorLeft = &left
			}
		}
		resources = append(resources, resource)
	}
	return resources
}

// peak returns the highest use of each resource. It evaluates only the starts of the surges,
// since the sum of the traffic reaches its maximum at one of them.
func (f *family) peak(now usage) usage {
	highest := now
	for _, d := range f.demands {
		for _, starting := range d.additions {
			sum := now
			for _, other := range f.demands {
				s := f.service(other.service)
				for _, added := range other.additions {
					if s != nil && added.fromMs <= starting.fromMs && starting.fromMs < added.untilMs {
						sum = sum.plus(s.usage(added.rate, added.promptTokens, added.freshTokens, added.events, other.durationMs))
					}
				}
			}
			highest = usage{max(highest.slots, sum.slots), max(highest.memory, sum.memory), max(highest.prefill, sum.prefill),
				max(highest.decode, sum.decode), max(highest.connections, sum.connections)}
		}
	}
	return highest
}

func (f *family) service(name string) *service {
	for _, s := range f.services {
		if s.name == name {
			return s
		}
	}
	return nil
}

// capacity returns the capacity of the service: slots, tokens of memory, prompt tokens per ms,
// events per ms, and connections.
func (s *service) capacity() usage {
	workers := float64(s.workers)
	total := usage{slots: workers * s.slots, memory: workers * s.cacheTokens, connections: workers * s.connections}
	if s.latency.prefillKnown && s.latency.tokenMs > 0 {
		total.prefill = workers / s.latency.tokenMs
	}
	if s.latency.decodeKnown && s.latency.prefillKnown && s.latency.eventMs > 0 {
		// A full worker emits one event for each slot in every event gap.
		total.decode = workers * s.slots / s.latency.eventGapMs(s.slots)
	}
	return total
}

// eventGapMs returns the time between two events of a request, in ms, at a worker that runs
// the given number of requests.
func (p *latencyModel) eventGapMs(running float64) float64 {
	return p.eventMs + p.perRequestMs*max(running-1, 0)
}

// usage returns what traffic uses of the service. By Little's law, the number of requests present
// is the arrival rate times the service time.
func (s *service) usage(rate, promptTokens, freshTokens, events, durationMs float64) usage {
	perMs := rate / 1000
	serviceMs := s.serviceTimeMs(freshTokens, events, durationMs)
	return usage{slots: perMs * serviceMs, memory: perMs * serviceMs * promptTokens, prefill: perMs * freshTokens, decode: perMs * events, connections: perMs * serviceMs}
}

// plainWorkMs returns the duration of a plain request that runs alone at a worker: from the fitted
// latency model if only its decode part could be fitted, else the observed duration.
func (s *service) plainWorkMs(durationMs float64) float64 {
	if s.latency.decodeKnown && !s.latency.prefillKnown {
		return s.latency.eventGapMs(1)
	}
	return durationMs
}

// slowdown returns how many times longer work takes at a worker that runs the given number of
// requests than at one that runs a single request.
func (p *latencyModel) slowdown(running float64) float64 {
	if p.eventGapMs(1) <= 0 {
		return 1
	}
	return p.eventGapMs(running) / p.eventGapMs(1)
}

// serviceTimeMs returns how long a request occupies a worker. A stream takes the time of the fitted
// latency model at a worker with half of its slots in use, or the observed duration if there is no
// model. A plain request is slowed down as at a full worker.
func (s *service) serviceTimeMs(freshTokens, events, durationMs float64) float64 {
	if events <= 1 {
		return s.plainWorkMs(durationMs) * s.latency.slowdown(s.slots)
	}
	if !s.latency.prefillKnown || !s.latency.decodeKnown {
		return durationMs
	}
	return s.latency.firstMs + s.latency.tokenMs*freshTokens + (events-1)*s.latency.eventGapMs(s.slots/2)
}

// mostUsedResource returns the name of the resource with the highest utilization in the surge.
func mostUsedResource(resources []Resource) string {
	highest, name := math.Inf(-1), noResource
	for _, resource := range resources {
		if resource.UsedSurge != nil && *resource.UsedSurge > highest {
			highest, name = *resource.UsedSurge, resource.Resource
		}
	}
	return name
}

// rounded rounds to three decimal places: further digits would only show noise.
func rounded(value float64) float64 { return math.Round(value*1000) / 1000 }
