package tongs

import (
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

// Frame is one frame as a room saw it pass: a call or the answer to one. Bytes are
// those that the wire would carry, head included; what TCP and IP add is not in it.
type Frame struct {
	From, To string
	Kind     pattern.Kind
	Answer   bool
	Bytes    int
}

// Clock runs a function after a span: the simulated world of tests and hollow fleets.
type Clock interface {
	After(span watch.Span, function func())
}

// Surroundings is what a simulated room needs: a clock, how long a frame is under way
// between two addresses, and whether it arrives at all.
type Surroundings struct {
	Clock Clock
	Delay func(from, to string) watch.Span
	Reach func(from, to string) bool
}

// OnFrame names who is told of every frame; it must not block.
func (room *Room) OnFrame(seen func(Frame)) {
	room.lock.Lock()
	defer room.lock.Unlock()
	room.seen = seen
}

// Simulate gives the room surroundings, which Post needs.
func (room *Room) Simulate(surroundings Surroundings) {
	room.lock.Lock()
	defer room.lock.Unlock()
	room.surroundings = surroundings
}

// note tells of a frame with a body.
func (room *Room) note(from, to string, kind pattern.Kind, answer bool, body []byte) {
	room.lock.Lock()
	seen := room.seen
	room.lock.Unlock()
	if seen != nil {
		seen(Frame{From: from, To: to, Kind: kind, Answer: answer, Bytes: headBytes + len(body)})
	}
}

// serving gives who serves at an address, and whether either side is silent.
func (room *Room) serving(from, to string) (handler Handler, silent bool) {
	room.lock.Lock()
	defer room.lock.Unlock()
	return room.handlers[to], room.cut[to] || room.cut[from]
}

// Post is Call on the simulated clock: nothing waits, then is run once with what came
// of it. Like on the wire, a process that is not there is told apart from silence.
func (twin *Twin) Post(address string, kind pattern.Kind, body []byte, span watch.Span, then func([]byte, error)) {
	room, own := twin.room, twin.own
	around := room.surroundings
	lost := func(gone watch.Span) {
		around.Clock.After(max(0, span-gone), func() { then(nil, Unanswered.New(address+" silent")) })
	}
	room.note(own, address, kind, false, body)
	there := around.Delay(own, address)
	around.Clock.After(there, func() {
		handler, silent := room.serving(own, address)
		if silent || !around.Reach(own, address) {
			lost(there)
			return
		}
		if handler == nil {
			around.Clock.After(there, func() { then(nil, Unreached.New(address)) })
			return
		}
		answer, failure := handler(kind, body)
		refused := failure != nil || answer == nil
		if refused {
			answer = nil
		}
		room.note(address, own, kind, true, answer)
		back := around.Delay(address, own)
		around.Clock.After(back, func() {
			if _, silent := room.serving(address, own); silent || !around.Reach(address, own) {
				lost(there + back)
				return
			}
			if refused {
				then(nil, Refused.New(address))
				return
			}
			then(answer, nil)
		})
	})
}
