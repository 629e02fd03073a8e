package admission

import "lemonarch/internal/platform/clock"

// This file estimates the cache turnover that other processes cause at a worker, without counts of
// which process inserted how many tokens. By Little's law, a worker with n requests of other
// processes receives n times their mean token count in each mean request duration. Both means are
// learned from the requests that passed through this process, and n comes from the freshest load
// observation. Tokens inserted by this process are counted exactly.

// flow contains decayed sums over the finished requests of one service: uncached prompt tokens plus
// half of the maximum number of output tokens, duration in ms, and the number of requests.
type flow struct {
	tokens, durationMs, count float64
}

// flowDecay is the factor applied to the previous sums with each request, so that the means cover
// about the last 100 requests.
const flowDecay = 0.99

// recordFlow adds a served request to the sums of its service. The caller must hold the lock.
func (s *Scheduler) recordFlow(grant *Grant, now clock.Instant) {
	if s.gossip.flows == nil {
		s.gossip.flows = map[string]*flow{}
	}
	sums := s.gossip.flows[grant.request.Service]
	if sums == nil {
		sums = &flow{}
		s.gossip.flows[grant.request.Service] = sums
	}
	sums.tokens = flowDecay*sums.tokens + float64(grant.FreshTokens+grant.request.Prompt.OutTokens/2)
	sums.count = flowDecay*sums.count + 1
	sums.durationMs = flowDecay*sums.durationMs + clock.ToMilliseconds(now.Sub(grant.startedAt))
}

// addOthersTurnover adds the estimated number of tokens that other processes have inserted into the
// workers' caches since the previous call. The first call adds nothing. The caller must hold the lock.
func (s *Scheduler) addOthersTurnover(now clock.Instant) {
	elapsed := clock.ToMilliseconds(now.Sub(s.gossip.turnoverAt))
	first := s.gossip.turnoverAt == 0
	s.gossip.turnoverAt = now
	if first {
		return
	}
	for service, sums := range s.gossip.flows {
		if sums.durationMs <= 0 || sums.tokens <= 0 {
			continue
		}
		for _, worker := range s.Registry.ByService(service) {
			health := s.Tracker.HealthOf(worker.ID)
			others := float64(health.Running(now) - health.OwnRequests())
			s.Index.AddOthersTurnover(worker.ID, others*elapsed*sums.tokens/sums.durationMs)
		}
	}
}
