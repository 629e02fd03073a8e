package gateway

import (
	"net/http"
	"sync"
	"sync/atomic"

	"lemonarch/internal/control/agent"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/process"
	"lemonarch/internal/platform/transport"
)

// jobForwarder forwards calls on batch jobs to the store that leads.
type jobForwarder struct {
	runtime    *agent.Agent
	lock       sync.Mutex
	leadership messages.Leadership
	// changed closes when another takes the leadership; unresponsiveAt is when the known leader
	// last failed to answer.
	changed        chan struct{}
	unresponsiveAt clock.Instant
	// requests numbers the requests; deduplicator knows those that were relayed through this gateway.
	requests     atomic.Uint64
	deduplicator transport.Deduplicator
	// now, sleep and random are the clock and the random numbers, so that tests can set them.
	now    func() clock.Instant
	sleep  func(clock.Duration)
	random func() float64
}

func newJobForwarder(runtime *agent.Agent) *jobForwarder {
	entry := &jobForwarder{runtime: runtime, changed: make(chan struct{}), now: clock.Now, sleep: clock.Sleep, random: clock.Float64}
	process.Handle(runtime.Runtime, messages.KindLeaderAnnouncement, func(announcement *messages.LeaderAnnouncement) (*messages.Ack, error) {
		entry.observeLeader(announcement)
		return &messages.Ack{Accepted: true}, nil
	})
	process.Handle(runtime.Runtime, messages.KindJobCall, entry.handleRelayed)
	return entry
}

// observeLeader takes an announcement of who leads.
func (g *jobForwarder) observeLeader(announcement *messages.LeaderAnnouncement) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if announcement.Leadership.Epoch > g.leadership.Epoch && !announcement.Resigned {
		close(g.changed)
		g.changed = make(chan struct{})
	}
	if announcement.Leadership.Epoch >= g.leadership.Epoch {
		g.leadership, g.unresponsiveAt = announcement.Leadership, 0
	}
}

// leader gives who is believed to lead, unless it has just failed to
// answer, and what closes when that changes.
func (g *jobForwarder) leader() (string, chan struct{}) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.unresponsiveAt > 0 && g.now().Sub(g.unresponsiveAt) < constants.LeaseDuration {
		return "", g.changed
	}
	return g.leadership.Address, g.changed
}

// call makes a call to one store. It does not wait on for one whose leadership another
// has taken since.
func (g *jobForwarder) call(address string, call *messages.JobCallRequest, wait clock.Duration, changed chan struct{}) (*messages.JobCallResponse, error) {
	type result struct {
		answer *messages.JobCallResponse
		err    error
	}
	results := make(chan result, 1)
	go func() {
		resp := &messages.JobCallResponse{}
		err := transport.Call(g.runtime.Transport, address, messages.KindJobCall, call, resp, wait)
		results <- result{resp, err}
	}()
	select {
	case got := <-results:
		return got.answer, got.err
	case <-changed:
		if current, _ := g.leader(); current == address {
			got := <-results
			return got.answer, got.err
		}
		// It may still answer, and it may have taken the call: nothing is promised.
		return nil, transport.ErrTimeout.New(address + " lost its duty")
	}
}

// Forward makes the call at the leader. The second result says whether the call may have had an
// effect although no response came. A long job is offered first, and sent when the leader asks
// for it.
func (g *jobForwarder) Forward(call *messages.JobCallRequest, timeout clock.Duration) (*messages.JobCallResponse, bool) {
	if call.Method != http.MethodPost || call.Forwarded || len(call.Body) < constants.OfferMinBytes {
		return g.forward(call, timeout)
	}
	end := g.now().Add(timeout)
	for left := timeout; left > constants.TickPeriod; left = end.Sub(g.now()) {
		offer := &messages.JobCallRequest{Method: messages.MethodOffer, Host: call.Host, Path: call.Path, Job: call.Job, BodyBytes: len(call.Body),
			WaitMs: int(min(left/2, constants.OfferWait).Milliseconds())}
		resp, _ := g.forward(offer, left)
		switch {
		case resp == nil:
			// Nobody was sent the job, so nothing of it can run.
			return nil, false
		case resp.Status == http.StatusServiceUnavailable:
			// The leader has too much to take; while there is time, it is asked again.
			g.sleep(constants.TickPeriod)
			continue
		case resp.Status == messages.StatusSendNow, resp.Status == http.StatusNotFound:
			// A leader of an earlier version knows no offers and finds no such job.
			return g.forward(call, end.Sub(g.now()))
		}
		return resp, true
	}
	return nil, false
}

// forward makes a call as it is.
func (g *jobForwarder) forward(call *messages.JobCallRequest, timeout clock.Duration) (*messages.JobCallResponse, bool) {
	end := g.now().Add(timeout)
	outcome, failures, relays := outcomeTracker{}, 0, map[string]bool{}
	tried := map[string]bool{}
	for g.now() < end {
		// A node that is cut off from the stores may still reach a gateway that is not.
		if failures >= constants.RelayAfter && !call.Forwarded && len(relays) < constants.RelayAfter {
			resp, err := g.relay(call, end, relays)
			outcome.observe(err)
			if resp != nil {
				return outcome.response(call, resp), true
			}
		}
		address, changed := g.leader()
		if address == "" || tried[address] {
			address = g.pickUntried(membership.RoleStore, tried)
		}
		if address == "" {
			// Every store was tried: the leadership is changing, so wait a little.
			g.sleep(constants.LeaseRenewPeriod / 2)
			tried = map[string]bool{}
			continue
		}
		tried[address] = true
		// A leader that is gone must not use up all the time.
		left := end.Sub(g.now())
		wait := min(left, constants.CallTimeout+clock.Milliseconds(float64(call.WaitMs)))
		resp, err := g.call(address, g.requestFor(call, left), wait, changed)
		outcome.observe(err)
		if err != nil {
			failures++
			g.lock.Lock()
			if g.leadership.Address == address {
				g.unresponsiveAt = g.now()
			}
			g.lock.Unlock()
			continue
		}
		if resp.NotLeader {
			if resp.Leader != "" && !tried[resp.Leader] {
				g.lock.Lock()
				g.leadership.Address, g.unresponsiveAt = resp.Leader, 0
				g.lock.Unlock()
			}
			continue
		}
		return outcome.response(call, resp), true
	}
	return nil, outcome.unknown
}

// relay has another gateway pass the call on. No answer and no failure mean that the
// other could not either, and that nothing was taken.
func (g *jobForwarder) relay(call *messages.JobCallRequest, end clock.Instant, tried map[string]bool) (*messages.JobCallResponse, error) {
	address := g.pickUntried(membership.RoleGateway, tried)
	if address == "" {
		return nil, nil
	}
	tried[address] = true
	left := end.Sub(g.now())
	relayed := g.requestFor(call, left)
	relayed.Forwarded = true
	wait := min(left, constants.CallTimeout+clock.Milliseconds(float64(call.WaitMs)))
	results := &messages.JobCallResponse{}
	if err := transport.Call(g.runtime.Transport, address, messages.KindJobCall, relayed, results, wait); err != nil {
		return nil, err
	}
	if results.NotLeader {
		return nil, nil
	}
	return results, nil
}

// handleRelayed answers a call that another gateway could not pass on itself.
func (g *jobForwarder) handleRelayed(call *messages.JobCallRequest) (*messages.JobCallResponse, error) {
	if !g.deduplicator.First(call.RequestID, g.now()) {
		// The first copy is answered, or will be; a second might end otherwise.
		return outcomeUnknown(), nil
	}
	// Whatever the sender says: a call is forwarded by two gateways at most.
	call.Forwarded = true
	// It must say what it knows before the sender stops waiting, and go on no longer
	// than the call's time to live.
	timeout := constants.CallTimeout*3/4 + clock.Milliseconds(float64(call.WaitMs))
	if call.TTLMs > 0 {
		timeout = min(timeout, clock.Milliseconds(float64(call.TTLMs)))
	}
	resp, mayHaveRun := g.Forward(call, timeout)
	switch {
	case resp != nil:
	case mayHaveRun:
		resp = outcomeUnknown()
	default:
		resp = &messages.JobCallResponse{NotLeader: true}
	}
	return resp, nil
}

func (g *jobForwarder) pickUntried(role string, tried map[string]bool) string {
	entries := g.runtime.Live(role)
	// Not always the same one: it may be cut off as well.
	offset := int(g.random() * float64(len(entries)))
	for i := range entries {
		entry := entries[(i+offset)%len(entries)]
		if !tried[entry.Address] {
			return entry.Address
		}
	}
	return ""
}
