package transport

import (
	"sync"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// Room is the in-memory world that joins twins of the transport in tests.
type Room struct {
	lock     sync.Mutex
	handlers map[string]Handler
	cut      map[string]bool
	// seen is told of every frame; surroundings is what Post works in.
	seen         func(Frame)
	surroundings Surroundings
	meters       map[string]*Meter
	laters       map[string]Later
}

// NewRoom makes an empty room.
func NewRoom() *Room {
	return &Room{handlers: map[string]Handler{}, cut: map[string]bool{}, meters: map[string]*Meter{}, laters: map[string]Later{}}
}

// Cut makes an address silent or lets it speak again.
func (r *Room) Cut(address string, silent bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.cut[address] = silent
}

// Transport gives the twin that serves at an address.
func (r *Room) Transport(address string) *Twin {
	return &Twin{room: r, own: address, meter: r.meter(address)}
}

// meter gives the meter of an address: it counts on when a process there starts anew.
func (r *Room) meter(address string) *Meter {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.meters[address] == nil {
		r.meters[address] = NewMeter()
	}
	return r.meters[address]
}

// Twin is a transport in memory.
type Twin struct {
	room  *Room
	own   string
	meter *Meter
}

// Meter counts what this process says and hears.
func (t *Twin) Meter() *Meter { return t.meter }

// Serve registers the handler.
func (t *Twin) Serve(handler Handler) error {
	t.room.lock.Lock()
	defer t.room.lock.Unlock()
	if t.room.handlers[t.own] != nil {
		return Unreached.New("address taken: " + t.own)
	}
	t.room.handlers[t.own] = handler
	return nil
}

// Call runs the other side's handler at once.
func (t *Twin) Call(address string, kind messages.Kind, body []byte, span clock.Span) ([]byte, error) {
	handler, silent := t.reach(address)
	if handler == nil {
		return nil, Unreached.New(address)
	}
	t.meter.sent(kind, address, len(body))
	if silent {
		return nil, Unanswered.New(address + " silent")
	}
	type result struct {
		body []byte
		err  error
	}
	answered := make(chan result, 1)
	other := t.room.meter(address)
	other.received(kind, t.own, len(body))
	t.room.note(t.own, address, kind, false, body)
	go func() {
		answer, err := handler(kind, body)
		other.sent(kind, t.own, len(answer))
		t.room.note(address, t.own, kind, true, answer)
		answered <- result{answer, err}
	}()
	timer := clock.NewTimer(span)
	defer timer.Stop()
	select {
	case one := <-answered:
		t.meter.received(kind, address, len(one.body))
		if one.err != nil || one.body == nil {
			return nil, Refused.New(address)
		}
		return one.body, nil
	case <-timer.C:
		return nil, Unanswered.New(address + " silent")
	}
}

func (t *Twin) reach(address string) (handler Handler, silent bool) {
	t.room.lock.Lock()
	defer t.room.lock.Unlock()
	return t.room.handlers[address], t.room.cut[address] || t.room.cut[t.own]
}

// Close takes the handler out of the room.
func (t *Twin) Close() {
	t.room.lock.Lock()
	defer t.room.lock.Unlock()
	delete(t.room.handlers, t.own)
	delete(t.room.laters, t.own)
}
