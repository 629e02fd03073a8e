package gateway

import (
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

// gate passes calls on lots to the store that holds the duty.
type gate struct {
	runtime *agent.Agent
	lock    sync.Mutex
	duty    messages.Leadership
	// changed closes when another takes the duty; shunned is when the known holder
	// last failed to answer.
	changed chan struct{}
	shunned clock.Instant
	// asks numbers the questions; once knows those that were relayed through us.
	asks atomic.Uint64
	once transport.Deduplicator
	// now, pause and draw are the clock and the dice, so that tests can set them.
	now   func() clock.Instant
	pause func(clock.Duration)
	draw  func() float64
}

func newGate(runtime *agent.Agent) *gate {
	one := &gate{runtime: runtime, changed: make(chan struct{}), now: clock.Now, pause: clock.Sleep, draw: clock.Float64}
	process.Handle(runtime.Runtime, messages.KindLeaderAnnouncement, func(announcement *messages.LeaderAnnouncement) (*messages.Ack, error) {
		one.learn(announcement)
		return &messages.Ack{Accepted: true}, nil
	})
	process.Handle(runtime.Runtime, messages.KindJobCall, one.relayed)
	return one
}

// learn takes word of who holds the duty.
func (g *gate) learn(told *messages.LeaderAnnouncement) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if told.Leadership.Epoch > g.duty.Epoch && !told.Resigned {
		close(g.changed)
		g.changed = make(chan struct{})
	}
	if told.Leadership.Epoch >= g.duty.Epoch {
		g.duty, g.shunned = told.Leadership, 0
	}
}

// holder gives who is believed to hold the duty, unless it has just failed to
// answer, and what closes when that changes.
func (g *gate) holder() (string, chan struct{}) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.shunned > 0 && g.now().Sub(g.shunned) < constants.LeaseDuration {
		return "", g.changed
	}
	return g.duty.Address, g.changed
}

// ask puts a call to one store. It does not wait on for one whose duty another
// has taken since.
func (g *gate) ask(address string, call *messages.JobCallRequest, wait clock.Duration, changed chan struct{}) (*messages.JobCallResponse, error) {
	type result struct {
		answer *messages.JobCallResponse
		err    error
	}
	back := make(chan result, 1)
	go func() {
		answer := &messages.JobCallResponse{}
		err := transport.Call(g.runtime.Transport, address, messages.KindJobCall, call, answer, wait)
		back <- result{answer, err}
	}()
	select {
	case got := <-back:
		return got.answer, got.err
	case <-changed:
		if current, _ := g.holder(); current == address {
			got := <-back
			return got.answer, got.err
		}
		// It may still answer, and it may have taken the call: nothing is promised.
		return nil, transport.ErrTimeout.New(address + " lost its duty")
	}
}

// Pass asks the holder. The second result says whether the call may have had an
// effect although no answer came.
func (g *gate) Pass(call *messages.JobCallRequest, span clock.Duration) (*messages.JobCallResponse, bool) {
	end := g.now().Add(span)
	given, failures, relays := promise{}, 0, map[string]bool{}
	asked := map[string]bool{}
	for g.now() < end {
		// A node that is cut off from the stores may still reach a gateway that is not.
		if failures >= constants.RelayAfter && !call.Forwarded && len(relays) < constants.RelayAfter {
			answer, err := g.relay(call, end, relays)
			given.heard(err)
			if answer != nil {
				return given.tell(call, answer), true
			}
		}
		address, changed := g.holder()
		if address == "" || asked[address] {
			address = g.another(membership.RoleStore, asked)
		}
		if address == "" {
			// Everybody was asked: the duty is changing hands, so wait a little.
			g.pause(constants.LeaseRenewPeriod / 2)
			asked = map[string]bool{}
			continue
		}
		asked[address] = true
		// A holder that is gone must not use up the whole time.
		left := end.Sub(g.now())
		wait := min(left, constants.CallTimeout+clock.Milliseconds(float64(call.WaitMs)))
		answer, err := g.ask(address, g.question(call, left), wait, changed)
		given.heard(err)
		if err != nil {
			failures++
			g.lock.Lock()
			if g.duty.Address == address {
				g.shunned = g.now()
			}
			g.lock.Unlock()
			continue
		}
		if answer.NotLeader {
			if answer.Leader != "" && !asked[answer.Leader] {
				g.lock.Lock()
				g.duty.Address, g.shunned = answer.Leader, 0
				g.lock.Unlock()
			}
			continue
		}
		return given.tell(call, answer), true
	}
	return nil, given.unclear
}

// relay has another gateway pass the call on. No answer and no failure mean that the
// other could not either, and that nothing was taken.
func (g *gate) relay(call *messages.JobCallRequest, end clock.Instant, tried map[string]bool) (*messages.JobCallResponse, error) {
	address := g.another(membership.RoleGateway, tried)
	if address == "" {
		return nil, nil
	}
	tried[address] = true
	left := end.Sub(g.now())
	relayed := g.question(call, left)
	relayed.Forwarded = true
	wait := min(left, constants.CallTimeout+clock.Milliseconds(float64(call.WaitMs)))
	back := &messages.JobCallResponse{}
	if err := transport.Call(g.runtime.Transport, address, messages.KindJobCall, relayed, back, wait); err != nil {
		return nil, err
	}
	if back.NotLeader {
		return nil, nil
	}
	return back, nil
}

// relayed answers a call that another gateway could not pass on itself.
func (g *gate) relayed(call *messages.JobCallRequest) (*messages.JobCallResponse, error) {
	if !g.once.First(call.RequestID, g.now()) {
		// The first copy is answered, or will be; a second might end otherwise.
		return unknownResult(), nil
	}
	// Whatever the sender says: a call is passed on by two gateways at most.
	call.Forwarded = true
	// It must say what it knows before the sender stops waiting, and go on no longer
	// than the call may live.
	span := constants.CallTimeout*3/4 + clock.Milliseconds(float64(call.WaitMs))
	if call.TTLMs > 0 {
		span = min(span, clock.Milliseconds(float64(call.TTLMs)))
	}
	answer, maybe := g.Pass(call, span)
	switch {
	case answer != nil:
	case maybe:
		answer = unknownResult()
	default:
		answer = &messages.JobCallResponse{NotLeader: true}
	}
	return answer, nil
}

func (g *gate) another(role string, asked map[string]bool) string {
	entries := g.runtime.Live(role)
	// Not always the same one: it may be cut off as well.
	offset := int(g.draw() * float64(len(entries)))
	for place := range entries {
		entry := entries[(place+offset)%len(entries)]
		if !asked[entry.Address] {
			return entry.Address
		}
	}
	return ""
}
