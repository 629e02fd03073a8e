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
func (room *Room) Cut(address string, silent bool) {
	room.lock.Lock()
	defer room.lock.Unlock()
	room.cut[address] = silent
}

// Transport gives the twin that serves at an address.
func (room *Room) Transport(address string) *Twin {
	return &Twin{room: room, own: address, meter: room.meter(address)}
}

// meter gives the meter of an address: it counts on when a process there starts anew.
func (room *Room) meter(address string) *Meter {
	room.lock.Lock()
	defer room.lock.Unlock()
	if room.meters[address] == nil {
		room.meters[address] = NewMeter()
	}
	return room.meters[address]
}

// Twin is a transport in memory.
type Twin struct {
	room  *Room
	own   string
	meter *Meter
}

// Meter counts what this process says and hears.
func (twin *Twin) Meter() *Meter { return twin.meter }

// Serve registers the handler.
func (twin *Twin) Serve(handler Handler) error {
	twin.room.lock.Lock()
	defer twin.room.lock.Unlock()
	if twin.room.handlers[twin.own] != nil {
		return Unreached.New("address taken: " + twin.own)
	}
	twin.room.handlers[twin.own] = handler
	return nil
}

// Call runs the other side's handler at once.
func (twin *Twin) Call(address string, kind messages.Kind, body []byte, span clock.Span) ([]byte, error) {
	handler, silent := twin.reach(address)
	if handler == nil {
		return nil, Unreached.New(address)
	}
	twin.meter.sent(kind, address, len(body))
	if silent {
		return nil, Unanswered.New(address + " silent")
	}
	type result struct {
		body []byte
		err  error
	}
	answered := make(chan result, 1)
	other := twin.room.meter(address)
	other.received(kind, twin.own, len(body))
	twin.room.note(twin.own, address, kind, false, body)
	go func() {
		answer, err := handler(kind, body)
		other.sent(kind, twin.own, len(answer))
		twin.room.note(address, twin.own, kind, true, answer)
		answered <- result{answer, err}
	}()
	timer := clock.NewTimer(span)
	defer timer.Stop()
	select {
	case one := <-answered:
		twin.meter.received(kind, address, len(one.body))
		if one.err != nil || one.body == nil {
			return nil, Refused.New(address)
		}
		return one.body, nil
	case <-timer.C:
		return nil, Unanswered.New(address + " silent")
	}
}

func (twin *Twin) reach(address string) (handler Handler, silent bool) {
	twin.room.lock.Lock()
	defer twin.room.lock.Unlock()
	return twin.room.handlers[address], twin.room.cut[address] || twin.room.cut[twin.own]
}

// Close takes the handler out of the room.
func (twin *Twin) Close() {
	twin.room.lock.Lock()
	defer twin.room.lock.Unlock()
	delete(twin.room.handlers, twin.own)
	delete(twin.room.laters, twin.own)
}
