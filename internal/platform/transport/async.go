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
func (r *MemoryNetwork) OnFrame(seen func(ObservedFrame)) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.onFrame = seen
}

// Simulate gives the network an environment, which CallAsync and NotifyAsync need.
func (r *MemoryNetwork) Simulate(surroundings Environment) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.environment = surroundings
}

// observe tells of a frame with a body.
func (r *MemoryNetwork) observe(from, to string, kind messages.Kind, resp bool, body []byte) {
	r.lock.Lock()
	seen := r.onFrame
	r.lock.Unlock()
	if seen != nil {
		seen(ObservedFrame{From: from, To: to, Kind: kind, Response: resp, Bytes: headerBytes + len(body)})
	}
}

// ServeAsync registers who answers what is sent to this address by CallAsync, instead of Serve.
func (t *Memory) ServeAsync(later AsyncHandler) error {
	t.network.lock.Lock()
	defer t.network.lock.Unlock()
	if t.network.handlers[t.own] != nil || t.network.asyncHandlers[t.own] != nil {
		return ErrUnreachable.New("address taken: " + t.own)
	}
	t.network.asyncHandlers[t.own] = later
	return nil
}

// asyncHandlerAt gives who answers at an address, nil where nobody does.
func (t *Memory) asyncHandlerAt(address string) (later AsyncHandler, partitioned bool) {
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
	network, own, around, ended := t.network, t.own, t.network.environment, false
	end := func(resp []byte, err error) {
		if !ended {
			ended = true
			then(resp, err)
		}
	}
	// Most calls are answered in time: the clock is asked only for those that may not be.
	lost := func(departed clock.Duration) {
		around.Clock.After(max(0, timeout-departed), func() { end(nil, ErrTimeout.New(address+" silent")) })
	}
	network.observe(own, address, kind, false, body)
	there := around.Delay(own, address)
	around.Clock.After(there, func() {
		later, partitioned := t.asyncHandlerAt(address)
		if partitioned || !around.Reachable(own, address) {
			lost(there)
			return
		}
		if later == nil {
			around.Clock.After(there, func() { end(nil, ErrUnreachable.New(address)) })
			return
		}
		replied := false
		later(kind, body, func(resp []byte, err error) {
			replied = true
			refused := err != nil || resp == nil
			if refused {
				resp = nil
			}
			network.observe(address, own, kind, true, resp)
			response := around.Delay(address, own)
			around.Clock.After(response, func() {
				if _, partitioned := t.asyncHandlerAt(address); partitioned || !around.Reachable(address, own) {
					lost(there + response)
					return
				}
				if refused {
					end(nil, ErrRejected.New(address))
					return
				}
				end(resp, nil)
			})
		})
		if !replied {
			lost(there)
		}
	})
}

// NotifyAsync is Notify on the simulated clock: one frame that nobody answers.
func (t *Memory) NotifyAsync(address string, kind messages.Kind, body []byte) {
	network, own, around := t.network, t.own, t.network.environment
	network.observe(own, address, kind, false, body)
	around.Clock.After(around.Delay(own, address), func() {
		if later, partitioned := t.asyncHandlerAt(address); later != nil && !partitioned && around.Reachable(own, address) {
			later(kind, body, func([]byte, error) {})
		}
	})
}
