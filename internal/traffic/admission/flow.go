package admission

import "lemonarch/internal/platform/clock"

// Cache turnover without counts of who put in what: by Little's law, a worker with
// so many requests takes in their mean tokens once in their mean stay. Both means
// are learnt from the requests that went through here; how many are there is the
// freshest observation. What we put in ourselves is counted exactly.

// flow follows the requests of one service that ended here.
type flow struct {
	tokens, stayMs, count float64
}

// flowDecay is the part of the past that counts on with each request (ours): the
// mean is over about the last hundred.
const flowDecay = 0.99

// recordFlow notes a request that was served. The lock is held.
func (s *Scheduler) recordFlow(grant *Grant, now clock.Instant) {
	if s.gossip.flows == nil {
		s.gossip.flows = map[string]*flow{}
	}
	entry := s.gossip.flows[grant.request.Service]
	if entry == nil {
		entry = &flow{}
		s.gossip.flows[grant.request.Service] = entry
	}
	entry.tokens = flowDecay*entry.tokens + float64(grant.FreshTokens+grant.request.Prompt.Out/2)
	entry.count = flowDecay*entry.count + 1
	entry.stayMs = flowDecay*entry.stayMs + clock.ToMilliseconds(now.Sub(grant.startedAt))
}

// addOthersTurnover adds what others have put into the workers' caches since the last
// time. The lock is held.
func (s *Scheduler) addOthersTurnover(now clock.Instant) {
	elapsed := clock.ToMilliseconds(now.Sub(s.gossip.turnoverAt))
	first := s.gossip.turnoverAt == 0
	s.gossip.turnoverAt = now
	if first {
		return
	}
	for service, entry := range s.gossip.flows {
		if entry.stayMs <= 0 || entry.tokens <= 0 {
			continue
		}
		for _, worker := range s.Registry.ByService(service) {
			health := s.Tracker.Of(worker.ID)
			others := float64(health.Running(now) - health.Own())
			s.Index.AddOthersTurnover(worker.ID, others*elapsed*entry.tokens/entry.stayMs)
		}
	}
}
