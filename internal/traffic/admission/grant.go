package admission

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// Grant is the permission to send one request to a worker.
type Grant struct {
	Worker      messages.Worker
	FreshTokens int
	request     *Request
	startedAt   clock.Instant
	// firstAt is when the first event came, and firstLoad the load that came with it.
	firstAt     clock.Instant
	firstLoad   string
	prefillDone bool
	scheduler   *Scheduler
	alone       bool
	number      int64
	engine      bool
	// prefillTime is the estimated time that the worker needed for the prompts
	// before ours and for ours.
	prefillTime clock.Duration
	// silenceLevel is how far a silence was noted, and silence the one after which the request went elsewhere.
	silenceLevel int
	silence      clock.Duration
}

// FirstEvent notes the first event or the head of a response.
func (g *Grant) FirstEvent(load string, now clock.Instant) {
	scheduler := g.scheduler
	scheduler.lock.Lock()
	defer scheduler.lock.Unlock()
	health := scheduler.Tracker.Of(g.Worker.ID)
	if load != "" {
		health.ObserveLoad(load, now)
	}
	if g.prefillDone {
		return
	}
	g.prefillDone = true
	g.firstAt, g.firstLoad = now, load
	health.PrefillDone(g.FreshTokens)
	health.RecordResponse(now.Sub(g.startedAt))
	scheduler.latenciesOf(g.Worker.Backend).first.Observe(clock.ToMilliseconds(max(now.Sub(g.startedAt)-g.prefillTime, 0)))
	if g.request.Affine {
		scheduler.Index.RecordFirstEvent(&g.request.Prompt, g.Worker.ID, g.FreshTokens, now.Sub(g.startedAt), g.alone, now)
	}
}

// Result is how a grant ended, for the health.
type Result int

// The outcomes.
const (
	ResultServed Result = iota
	// ResultFailed: reset, cut off, corrupt bytes.
	ResultFailed
	// ResultUnreachable: no connection came up; nothing was sent.
	ResultUnreachable
	// ResultTimeout: silence for a multiple of the usual time.
	ResultTimeout
	// ResultServerError: the worker's own 5xx.
	ResultServerError
	// ResultShed: rejected although the load that it states leaves capacity.
	ResultShed
	// ResultRejected: the worker was full.
	ResultRejected
	// ResultMisdirected: another service answers at that address.
	ResultMisdirected
	// ResultCanceled: our client or we gave up.
	ResultCanceled
)

// End gives the grant back.
func (g *Grant) End(result Result, now clock.Instant) {
	scheduler := g.scheduler
	scheduler.lock.Lock()
	delete(scheduler.preemptible, g)
	health := scheduler.Tracker.Of(g.Worker.ID)
	if !g.prefillDone {
		// No event came: its prefill is not waited for any more.
		g.prefillDone = true
		health.PrefillDone(g.FreshTokens)
	}
	health.RequestEnded(g.request.Bulk, now)
	scheduler.recordOutcome(g, result, now)
	switch result {
	case ResultRejected, ResultShed:
		// It is full whatever was believed here: others are preferred for a moment.
		health.RecordFull(g.Worker.Capacity, now)
	case ResultMisdirected:
		scheduler.Index.InvalidateCache(g.Worker.ID)
	case ResultServed:
		scheduler.recordRate(g.request.Service, now)
		scheduler.recordFlow(g, now)
	}
	scheduler.lock.Unlock()
	scheduler.Pump(now)
}
