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

// jobForwarder forwards calls on batch jobs to the leading store.
type jobForwarder struct {
	runtime    *agent.Agent
	lock       sync.Mutex
	leadership messages.Leadership
	// changed is closed when another store takes the leadership, and replaced then. unresponsiveAt is
	// when the known leader last failed to respond; zero if it has not.
	changed        chan struct{}
	unresponsiveAt clock.Instant
	// requests numbers the requests of this gateway. deduplicator detects duplicates of the calls that
	// other gateways relay through this one.
	requests     atomic.Uint64
	deduplicator transport.Deduplicator
	// now, sleep and random are the clock and the source of random numbers, which tests replace.
	now    func() clock.Instant
	sleep  func(clock.Duration)
	random func() float64
}

func newJobForwarder(runtime *agent.Agent) *jobForwarder {
	forwarder := &jobForwarder{runtime: runtime, changed: make(chan struct{}), now: clock.Now, sleep: clock.Sleep, random: clock.Float64}
	process.Handle(runtime.Runtime, messages.KindLeaderAnnouncement, func(announcement *messages.LeaderAnnouncement) (*messages.Ack, error) {
		forwarder.observeLeader(announcement)
		return &messages.Ack{Accepted: true}, nil
	})
	process.Handle(runtime.Runtime, messages.KindJobCall, forwarder.handleRelayed)
	return forwarder
}

// observeLeader applies an announcement of the leadership. An announcement of an earlier epoch is ignored.
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

// leader returns the address of the presumed leader, and a channel that is closed when the leadership
// changes. The address is empty if none is known, or if the leader failed to respond less than
// LeaseDuration ago.
func (g *jobForwarder) leader() (string, chan struct{}) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.unresponsiveAt > 0 && g.now().Sub(g.unresponsiveAt) < constants.LeaseDuration {
		return "", g.changed
	}
	return g.leadership.Address, g.changed
}

// call makes a call to one store. It stops waiting if another store takes the leadership in the
// meantime.
func (g *jobForwarder) call(address string, call *messages.JobCallRequest, wait clock.Duration, changed chan struct{}) (*messages.JobCallResponse, error) {
	type result struct {
		response *messages.JobCallResponse
		err      error
	}
	results := make(chan result, 1)
	go func() {
		resp := &messages.JobCallResponse{}
		err := transport.Call(g.runtime.Transport, address, messages.KindJobCall, call, resp, wait)
		results <- result{resp, err}
	}()
	select {
	case received := <-results:
		return received.response, received.err
	case <-changed:
		if current, _ := g.leader(); current == address {
			received := <-results
			return received.response, received.err
		}
		// The store may still respond, and may have accepted the call, so the outcome is a timeout, which
		// promises nothing.
		return nil, transport.ErrTimeout.New(address + " lost the leadership")
	}
}

// Forward makes the call at the leader. The second result reports whether the call may have had an
// effect although there is no response. A submission of at least OfferMinBytes is first offered
// without its body, and sent once the leader requests it.
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
			// The job itself was not sent to any process, so no part of it can run.
			return nil, false
		case resp.Status == http.StatusServiceUnavailable:
			// The leader is overloaded. Offer the job again while there is time.
			g.sleep(constants.TickPeriod)
			continue
		case resp.Status == messages.StatusSendNow, resp.Status == http.StatusNotFound:
			// A leader of an earlier version does not know offers and responds 404 to one.
			return g.forward(call, end.Sub(g.now()))
		}
		return resp, true
	}
	return nil, false
}

// forward makes a call without offering it first. It tries the presumed leader, then the other stores,
// and relays through other gateways after several failures.
func (g *jobForwarder) forward(call *messages.JobCallRequest, timeout clock.Duration) (*messages.JobCallResponse, bool) {
	end := g.now().Add(timeout)
	outcome, failures, relays := outcomeTracker{}, 0, map[string]bool{}
	tried := map[string]bool{}
	for g.now() < end {
		// A gateway that is partitioned from the stores may still reach one that is not.
		if failures >= constants.RelayAfterFailures && !call.Forwarded && len(relays) < constants.RelayAfterFailures {
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
			// Every known store was tried, so the leadership is probably changing: wait before the next round.
			g.sleep(constants.LeaseRenewPeriod / 2)
			tried = map[string]bool{}
			continue
		}
		tried[address] = true
		// Bound the wait, so that a leader that does not respond can't use up the whole timeout.
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

// relay sends the call to another gateway, which forwards it. If both the response and the error are
// nil, the other gateway did not reach a leader either, or there is no untried gateway; in both cases no
// store has accepted the call.
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
	resp := &messages.JobCallResponse{}
	if err := transport.Call(g.runtime.Transport, address, messages.KindJobCall, relayed, resp, wait); err != nil {
		return nil, err
	}
	if resp.NotLeader {
		return nil, nil
	}
	return resp, nil
}

// handleRelayed handles a call that another gateway could not forward to a store itself.
func (g *jobForwarder) handleRelayed(call *messages.JobCallRequest) (*messages.JobCallResponse, error) {
	if !g.deduplicator.First(call.RequestID, g.now()) {
		// The first copy gets the response; the duplicate could have a different outcome.
		return outcomeUnknown(), nil
	}
	// Set whatever the sender stated, so that a call passes through two gateways at most.
	call.Forwarded = true
	// This gateway must respond before the sender times out, and must not continue beyond the call's
	// time to live.
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

// pickUntried returns the address of a live node of a role that is not in tried, or an empty string.
func (g *jobForwarder) pickUntried(role string, tried map[string]bool) string {
	nodes := g.runtime.Live(role)
	// Start at a random node, since a fixed choice might be partitioned as well.
	offset := int(g.random() * float64(len(nodes)))
	for i := range nodes {
		node := nodes[(i+offset)%len(nodes)]
		if !tried[node.Address] {
			return node.Address
		}
	}
	return ""
}
