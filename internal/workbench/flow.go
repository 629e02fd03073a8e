package workbench

import "lemonarch/internal/watch"

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
func (bench *Workbench) flowed(grant *Grant, now watch.Moment) {
	if bench.gossip.flows == nil {
		bench.gossip.flows = map[string]*flow{}
	}
	one := bench.gossip.flows[grant.ask.Service]
	if one == nil {
		one = &flow{}
		bench.gossip.flows[grant.ask.Service] = one
	}
	one.tokens = flowFade*one.tokens + float64(grant.Fresh+grant.ask.Prompt.Out/2)
	one.count = flowFade*one.count + 1
	one.stayMs = flowFade*one.stayMs + watch.ToMilliseconds(now.Since(grant.begun))
}

// turnOthers adds what others have put into the workers' caches since the last
// time. The lock is held.
func (bench *Workbench) turnOthers(now watch.Moment) {
	span := watch.ToMilliseconds(now.Since(bench.gossip.turned))
	first := bench.gossip.turned == 0
	bench.gossip.turned = now
	if first {
		return
	}
	for service, one := range bench.gossip.flows {
		if one.stayMs <= 0 || one.tokens <= 0 {
			continue
		}
		for _, worker := range bench.Roster.Named(service) {
			vitals := bench.Gauge.Of(worker.ID)
			others := float64(vitals.Running(now) - vitals.Own())
			bench.Index.OthersTurned(worker.ID, others*span*one.tokens/one.stayMs)
		}
	}
}
