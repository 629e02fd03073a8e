package transport

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// ObservedFrame describes one frame sent over a MemoryNetwork: a request, a response or a
// notification. Bytes is its encoded length as on a TCP connection, frame header included, without
// the overhead of TCP and IP.
type ObservedFrame struct {
	From, To string
	Kind     messages.Kind
	Response bool
	Bytes    int
}

// Clock runs a function after a duration. The simulated clocks of tests and hollow fleets implement
// it.
type Clock interface {
	After(timeout clock.Duration, function func())
}

// Environment is the configuration of a simulated network: its clock, the delay of a frame between
// two addresses, and whether a frame between them arrives at all.
type Environment struct {
	Clock     Clock
	Delay     func(from, to string) clock.Duration
	Reachable func(from, to string) bool
}

// AsyncHandler handles a call on the simulated clock. It calls reply exactly once, immediately or
// later.
type AsyncHandler func(kind messages.Kind, body []byte, reply func([]byte, error))

// OnFrame sets the function that is called for every frame; it must not block. A Call or Notify to an
// address without a handler and a Call from or to a partitioned address are not reported.
func (r *MemoryNetwork) OnFrame(observer func(ObservedFrame)) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.onFrame = observer
}

// Simulate sets the environment of the network, which CallAsync and NotifyAsync require.
func (r *MemoryNetwork) Simulate(environment Environment) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.environment = environment
}

// observe reports a frame to the function set by OnFrame.
func (r *MemoryNetwork) observe(from, to string, kind messages.Kind, resp bool, body []byte) {
	r.lock.Lock()
	observer := r.onFrame
	r.lock.Unlock()
	if observer != nil {
		observer(ObservedFrame{From: from, To: to, Kind: kind, Response: resp, Bytes: headerBytes + len(body)})
	}
}

// ServeAsync registers the handler for CallAsync and NotifyAsync to this address, in place of Serve.
func (t *Memory) ServeAsync(handler AsyncHandler) error {
	t.network.lock.Lock()
	defer t.network.lock.Unlock()
	if t.network.handlers[t.ownAddress] != nil || t.network.asyncHandlers[t.ownAddress] != nil {
		return ErrUnreachable.New("address already in use: " + t.ownAddress)
	}
	t.network.asyncHandlers[t.ownAddress] = handler
	return nil
}

// asyncHandlerAt returns the handler registered at an address, by Serve or ServeAsync, or nil if there
// is none.
func (t *Memory) asyncHandlerAt(address string) (asyncHandler AsyncHandler, partitioned bool) {
	handler, partitioned := t.handlerAt(address)
	if handler != nil {
		return func(kind messages.Kind, body []byte, reply func([]byte, error)) { reply(handler(kind, body)) }, partitioned
	}
	t.network.lock.Lock()
	defer t.network.lock.Unlock()
	return t.network.asyncHandlers[address], partitioned
}

// CallAsync is Call on the simulated clock: it does not block, and then is called once with the
// result. As over TCP, an address without a process (ErrUnreachable) is distinguished from a missing
// response (ErrTimeout).
func (t *Memory) CallAsync(address string, kind messages.Kind, body []byte, timeout clock.Duration, then func([]byte, error)) {
	network, own, environment, done := t.network, t.ownAddress, t.network.environment, false
	complete := func(resp []byte, err error) {
		if !done {
			done = true
			then(resp, err)
		}
	}
	// Most calls get their response in time, so a timer is set only for those that may not.
	timeOut := func(elapsed clock.Duration) {
		environment.Clock.After(max(0, timeout-elapsed), func() { complete(nil, ErrTimeout.New(address+" did not respond")) })
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

// NotifyAsync is Notify on the simulated clock: it sends one frame that has no response.
func (t *Memory) NotifyAsync(address string, kind messages.Kind, body []byte) {
	network, own, environment := t.network, t.ownAddress, t.network.environment
	network.observe(own, address, kind, false, body)
	environment.Clock.After(environment.Delay(own, address), func() {
		if handler, partitioned := t.asyncHandlerAt(address); handler != nil && !partitioned && environment.Reachable(own, address) {
			handler(kind, body, func([]byte, error) {})
		}
	})
}
