package transport

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Teller is a transport that can also send what nobody answers.
type Teller interface {
	// Tell sends a body one way. No error means only that it left.
	Tell(address string, kind messages.Kind, body []byte) error
}

// Tell sends a message one way where the transport can, and else as a call whose
// answer nobody reads.
func Tell(transport Transport, address string, kind messages.Kind, message Writable) error {
	body, err := message.MarshalMsg(nil)
	if err != nil {
		return Damaged.Wrap(err, "message can't be written")
	}
	if teller, able := transport.(Teller); able {
		return teller.Tell(address, kind, body)
	}
	_, err = transport.Call(address, kind, body, constants.CallTime)
	return err
}

// Tell sends one frame that is not answered: half the messages, and no wake-up for
// an answer. Versions that do not know its sort skip and count it.
func (w *Wire) Tell(address string, kind messages.Kind, body []byte) error {
	one := w.peer(address)
	end := clock.Now().Plus(constants.DialTime)
	current, err := one.line(end)
	if err != nil {
		return err
	}
	told := frame{sort: sortTell, kind: kind, body: body}
	return one.write(current, &told, end, nil)
}

// Tell runs the other side's handler; whatever it answers is dropped.
func (t *Twin) Tell(address string, kind messages.Kind, body []byte) error {
	handler, silent := t.reach(address)
	if handler == nil {
		return Unreached.New(address)
	}
	t.meter.sent(kind, address, len(body))
	t.room.note(t.own, address, kind, false, body)
	if !silent {
		t.room.meter(address).received(kind, t.own, len(body))
		go func() { _, _ = handler(kind, body) }()
	}
	return nil
}
