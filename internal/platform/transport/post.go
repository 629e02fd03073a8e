package transport

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// Frame is one frame as a room saw it pass: a call, the answer to one, or what nobody
// answers. Bytes are those that the wire would carry, head included; what TCP and IP
// add is not in it.
type Frame struct {
	From, To string
	Kind     messages.Kind
	Answer   bool
	Bytes    int
}

// Clock runs a function after a span: the simulated world of tests and hollow fleets.
type Clock interface {
	After(span clock.Span, function func())
}

// Surroundings is what a simulated room needs: a clock, how long a frame is under way
// between two addresses, and whether it arrives at all.
type Surroundings struct {
	Clock Clock
	Delay func(from, to string) clock.Span
	Reach func(from, to string) bool
}

// Later answers a call on the simulated clock, at once or later; reply is run once.
type Later func(kind messages.Kind, body []byte, reply func([]byte, error))

// OnFrame names who is told of every frame; it must not block.
func (r *Room) OnFrame(seen func(Frame)) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.seen = seen
}

// Simulate gives the room surroundings, which Post needs.
func (r *Room) Simulate(surroundings Surroundings) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.surroundings = surroundings
}

// note tells of a frame with a body.
func (r *Room) note(from, to string, kind messages.Kind, answer bool, body []byte) {
	r.lock.Lock()
	seen := r.seen
	r.lock.Unlock()
	if seen != nil {
		seen(Frame{From: from, To: to, Kind: kind, Answer: answer, Bytes: headBytes + len(body)})
	}
}

// ServeLater registers who answers what is posted to this address, instead of Serve.
func (t *Twin) ServeLater(later Later) error {
	t.room.lock.Lock()
	defer t.room.lock.Unlock()
	if t.room.handlers[t.own] != nil || t.room.laters[t.own] != nil {
		return Unreached.New("address taken: " + t.own)
	}
	t.room.laters[t.own] = later
	return nil
}

// later gives who answers at an address, nil where nobody does.
func (t *Twin) later(address string) (later Later, silent bool) {
	handler, silent := t.reach(address)
	if handler != nil {
		return func(kind messages.Kind, body []byte, reply func([]byte, error)) { reply(handler(kind, body)) }, silent
	}
	t.room.lock.Lock()
	defer t.room.lock.Unlock()
	return t.room.laters[address], silent
}

// Post is Call on the simulated clock: nothing waits, then is run once with what came
// of it. Like on the wire, a process that is not there is told apart from silence.
func (t *Twin) Post(address string, kind messages.Kind, body []byte, span clock.Span, then func([]byte, error)) {
	room, own, around, ended := t.room, t.own, t.room.surroundings, false
	end := func(answer []byte, err error) {
		if !ended {
			ended = true
			then(answer, err)
		}
	}
	// Most calls are answered in time: the clock is asked only for those that may not be.
	lost := func(gone clock.Span) {
		around.Clock.After(max(0, span-gone), func() { end(nil, Unanswered.New(address+" silent")) })
	}
	room.note(own, address, kind, false, body)
	there := around.Delay(own, address)
	around.Clock.After(there, func() {
		later, silent := t.later(address)
		if silent || !around.Reach(own, address) {
			lost(there)
			return
		}
		if later == nil {
			around.Clock.After(there, func() { end(nil, Unreached.New(address)) })
			return
		}
		replied := false
		later(kind, body, func(answer []byte, err error) {
			replied = true
			refused := err != nil || answer == nil
			if refused {
				answer = nil
			}
			room.note(address, own, kind, true, answer)
			back := around.Delay(address, own)
			around.Clock.After(back, func() {
				if _, silent := t.later(address); silent || !around.Reach(address, own) {
					lost(there + back)
					return
				}
				if refused {
					end(nil, Refused.New(address))
					return
				}
				end(answer, nil)
			})
		})
		if !replied {
			lost(there)
		}
	})
}

// PostTell is Tell on the simulated clock: one frame that nobody answers.
func (t *Twin) PostTell(address string, kind messages.Kind, body []byte) {
	room, own, around := t.room, t.own, t.room.surroundings
	room.note(own, address, kind, false, body)
	around.Clock.After(around.Delay(own, address), func() {
		if later, silent := t.later(address); later != nil && !silent && around.Reach(own, address) {
			later(kind, body, func([]byte, error) {})
		}
	})
}
