package transport

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// ObservedFrame is one frame as a network saw it pass: a call, the answer to one, or what nobody
// answers. Bytes are those that the wire would carry, head included; what TCP and IP
// add is not in it.
type ObservedFrame struct {
	From, To string
	Kind     messages.Kind
	Response bool
	Bytes    int
}

// Clock runs a function after a duration: the simulated world of tests and hollow fleets.
type Clock interface {
	After(timeout clock.Duration, function func())
}

// Environment is what a simulated network needs: a clock, how long a frame is under way
// between two addresses, and whether it arrives at all.
type Environment struct {
	Clock     Clock
	Delay     func(from, to string) clock.Duration
	Reachable func(from, to string) bool
}

// AsyncHandler answers a call on the simulated clock, at once or later; reply is run once.
type AsyncHandler func(kind messages.Kind, body []byte, reply func([]byte, error))

// OnFrame names who is told of every frame; it must not block.
func (r *MemoryNetwork) OnFrame(observer func(ObservedFrame)) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.onFrame = observer
}

// Simulate gives the network an environment, which CallAsync and NotifyAsync need.
func (r *MemoryNetwork) Simulate(environment Environment) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.environment = environment
}

// observe tells of a frame with a body.
func (r *MemoryNetwork) observe(from, to string, kind messages.Kind, resp bool, body []byte) {
	r.lock.Lock()
	observer := r.onFrame
	r.lock.Unlock()
	if observer != nil {
		observer(ObservedFrame{From: from, To: to, Kind: kind, Response: resp, Bytes: headerBytes + len(body)})
	}
}

// ServeAsync registers who answers what is sent to this address by CallAsync, instead of Serve.
func (t *Memory) ServeAsync(handler AsyncHandler) error {
	t.network.lock.Lock()
	defer t.network.lock.Unlock()
	if t.network.handlers[t.ownAddress] != nil || t.network.asyncHandlers[t.ownAddress] != nil {
		return ErrUnreachable.New("address taken: " + t.ownAddress)
	}
	t.network.asyncHandlers[t.ownAddress] = handler
	return nil
}

// asyncHandlerAt gives who answers at an address, nil where nobody does.
func (t *Memory) asyncHandlerAt(address string) (asyncHandler AsyncHandler, partitioned bool) {
	handler, partitioned := t.handlerAt(address)
	if handler != nil {
		return func(kind messages.Kind, body []byte, reply func([]byte, error)) { reply(handler(kind, body)) }, partitioned
	}
	t.network.lock.Lock()
	defer t.network.lock.Unlock()
	return t.network.asyncHandlers[address], partitioned
}

// CallAsync is Call on the simulated clock: nothing waits, then is run once with what came
// of it. Like on the wire, a process that is not there is told apart from silence.
func (t *Memory) CallAsync(address string, kind messages.Kind, body []byte, timeout clock.Duration, then func([]byte, error)) {
	network, own, environment, done := t.network, t.ownAddress, t.network.environment, false
	complete := func(resp []byte, err error) {
		if !done {
			done = true
			then(resp, err)
		}
	}
	// Most calls are answered in time: the clock is asked only for those that may not be.
	timeOut := func(elapsed clock.Duration) {
		environment.Clock.After(max(0, timeout-elapsed), func() { complete(nil, ErrTimeout.New(address+" silent")) })
	}
	network.observe(own, address, kind, false, body)
	requestDelay := environment.Delay(own, address)
	environment.Clock.After(requestDelay, func() {
		handler, partitioned := t.asyncHandlerAt(address)
		if partitioned || !environment.Reachable(own, address) {
			timeOut(requestDelay)
			return
		}
		if handler == nil {
			environment.Clock.After(requestDelay, func() { complete(nil, ErrUnreachable.New(address)) })
			return
		}
		replied := false
		handler(kind, body, func(resp []byte, err error) {
			replied = true
			rejected := err != nil || resp == nil
			if rejected {
				resp = nil
			}
			network.observe(address, own, kind, true, resp)
			responseDelay := environment.Delay(address, own)
			environment.Clock.After(responseDelay, func() {
				if _, partitioned := t.asyncHandlerAt(address); partitioned || !environment.Reachable(address, own) {
					timeOut(requestDelay + responseDelay)
					return
				}
				if rejected {
					complete(nil, ErrRejected.New(address))
					return
				}
				complete(resp, nil)
			})
		})
		if !replied {
			timeOut(requestDelay)
		}
	})
}

// NotifyAsync is Notify on the simulated clock: one frame that nobody answers.
func (t *Memory) NotifyAsync(address string, kind messages.Kind, body []byte) {
	network, own, environment := t.network, t.ownAddress, t.network.environment
	network.observe(own, address, kind, false, body)
	environment.Clock.After(environment.Delay(own, address), func() {
		if handler, partitioned := t.asyncHandlerAt(address); handler != nil && !partitioned && environment.Reachable(own, address) {
			handler(kind, body, func([]byte, error) {})
		}
	})
}
