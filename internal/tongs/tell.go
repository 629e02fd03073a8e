package tongs

import (
	"lemonarch/internal/almanac"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

// Teller is a transport that can also send what nobody answers.
type Teller interface {
	// Tell sends a body one way. No mishap means only that it left.
	Tell(address string, kind pattern.Kind, body []byte) error
}

// Tell sends a message one way where the transport can, and else as a call whose
// answer nobody reads.
func Tell(transport Transport, address string, kind pattern.Kind, message Writable) error {
	body, failure := message.MarshalMsg(nil)
	if failure != nil {
		return Damaged.Wrap(failure, "message can't be written")
	}
	if teller, able := transport.(Teller); able {
		return teller.Tell(address, kind, body)
	}
	_, failure = transport.Call(address, kind, body, almanac.CallTime)
	return failure
}

// Tell sends one frame that is not answered: half the messages, and no wake-up for
// an answer. Versions that do not know its sort skip and count it.
func (wire *Wire) Tell(address string, kind pattern.Kind, body []byte) error {
	one := wire.peer(address)
	current, failure := one.line(almanac.DialTime)
	if failure != nil {
		return failure
	}
	wire.meter.sent(kind, address, len(body))
	told := frame{sort: sortTell, kind: kind, number: wire.number.Add(1), body: body}
	current.writing.Lock()
	_ = current.connection.SetWriteDeadline(watch.Deadline(almanac.DialTime))
	_, failure = current.connection.Write(appendFrame(make([]byte, 0, headBytes+len(body)), told))
	current.writing.Unlock()
	if failure != nil {
		one.forget(current)
		return Unanswered.Wrap(failure, address)
	}
	return nil
}

// Tell runs the other side's handler; whatever it answers is dropped.
func (twin *Twin) Tell(address string, kind pattern.Kind, body []byte) error {
	handler, silent := twin.reach(address)
	if handler == nil {
		return Unreached.New(address)
	}
	twin.meter.sent(kind, address, len(body))
	if !silent {
		twin.room.meter(address).received(kind, twin.own, len(body))
		go func() { _, _ = handler(kind, body) }()
	}
	return nil
}
