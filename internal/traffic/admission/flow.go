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

// flowFade is the part of the past that counts on with each request (ours): the
// mean is over about the last hundred.
const flowFade = 0.99

// flowed notes a request that was served. The lock is held.
func (s *Scheduler) flowed(grant *Grant, now clock.Instant) {
	if s.gossip.flows == nil {
		s.gossip.flows = map[string]*flow{}
	}
	one := s.gossip.flows[grant.ask.Service]
	if one == nil {
		one = &flow{}
		s.gossip.flows[grant.ask.Service] = one
	}
	one.tokens = flowFade*one.tokens + float64(grant.Fresh+grant.ask.Prompt.Out/2)
	one.count = flowFade*one.count + 1
	one.stayMs = flowFade*one.stayMs + clock.ToMilliseconds(now.Sub(grant.begun))
}

// turnOthers adds what others have put into the workers' caches since the last
// time. The lock is held.
func (s *Scheduler) turnOthers(now clock.Instant) {
	span := clock.ToMilliseconds(now.Sub(s.gossip.turned))
	first := s.gossip.turned == 0
	s.gossip.turned = now
	if first {
		return
	}
	for service, one := range s.gossip.flows {
		if one.stayMs <= 0 || one.tokens <= 0 {
			continue
		}
		for _, worker := range s.Registry.ByService(service) {
			health := s.Tracker.Of(worker.ID)
			others := float64(health.Running(now) - health.Own())
			s.Index.AddOthersTurnover(worker.ID, others*span*one.tokens/one.stayMs)
		}
	}
}
