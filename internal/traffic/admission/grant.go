package admission

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// Grant is the permission to send one request to a worker. FreshTokens is the number of prompt
// tokens that are not expected to be in the worker's cache.
type Grant struct {
	Worker      messages.Worker
	FreshTokens int
	request     *Request
	startedAt   clock.Instant
	// firstAt is the time of the first event, and firstLoad the load header that came with it.
	firstAt     clock.Instant
	firstLoad   string
	prefillDone bool
	scheduler   *Scheduler
	solePrefill bool
	number      int64
	engine      bool
	// prefillTime is the estimated time that the worker needs to prefill the prompts ahead of this
	// request and its own prompt.
	prefillTime clock.Duration
	// silenceLevel is the level of silence that RecordSilence recorded while the request was pending.
	// silence is the last duration of silence that was passed to TryRetryElsewhere.
	silenceLevel int
	silence      clock.Duration
}

// FirstEvent records the first event or the response header.
func (g *Grant) FirstEvent(load string, now clock.Instant) {
	scheduler := g.scheduler
	scheduler.lock.Lock()
	defer scheduler.lock.Unlock()
	health := scheduler.Tracker.HealthOf(g.Worker.ID)
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
	scheduler.latenciesOf(g.Worker.Backend).firstEvent.Observe(clock.ToMilliseconds(max(now.Sub(g.startedAt)-g.prefillTime, 0)))
	if g.request.Affine {
		scheduler.Index.RecordFirstEvent(&g.request.Prompt, g.Worker.ID, g.FreshTokens, now.Sub(g.startedAt), g.solePrefill, now)
	}
}

// Result is the outcome of a grant, used to assess the worker's health.
type Result int

// Results of a grant.
const (
	ResultServed Result = iota
	// ResultFailed means that the connection was reset or cut off, or the bytes were corrupt.
	ResultFailed
	// ResultUnreachable means that no connection was established; nothing was sent.
	ResultUnreachable
	// ResultTimeout means that the worker sent nothing before the deadline, or for longer than is usual.
	ResultTimeout
	// ResultServerError means that the worker itself returned a 5xx status.
	ResultServerError
	// ResultShed means that the worker rejected the request although its reported load leaves
	// capacity.
	ResultShed
	// ResultRejected means that the worker was full.
	ResultRejected
	// ResultMisdirected means that another worker, or a later incarnation, responded at the worker's
	// address.
	ResultMisdirected
	// ResultCanceled means that the client or this process canceled the request.
	ResultCanceled
)

// End releases the grant with its result and resumes queued requests that can now be placed.
func (g *Grant) End(result Result, now clock.Instant) {
	scheduler := g.scheduler
	scheduler.lock.Lock()
	delete(scheduler.preemptible, g)
	health := scheduler.Tracker.HealthOf(g.Worker.ID)
	if !g.prefillDone {
		// No event arrived, so the prefill is no longer pending.
		g.prefillDone = true
		health.PrefillDone(g.FreshTokens)
	}
	health.RequestEnded(g.request.Bulk, now)
	scheduler.recordOutcome(g, result, now)
	switch result {
	case ResultRejected, ResultShed:
		// The worker is full regardless of its recorded load, so other workers are preferred for a
		// short time.
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
