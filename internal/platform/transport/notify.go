package transport

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Notifier is a transport that can also send what nobody answers.
type Notifier interface {
	// Notify sends a body one way. No error means only that it left.
	Notify(address string, kind messages.Kind, body []byte) error
}

// Notify sends a message one way where the transport can, and else as a call whose
// answer nobody reads.
func Notify(transport Transport, address string, kind messages.Kind, message Marshaler) error {
	body, err := message.MarshalMsg(nil)
	if err != nil {
		return ErrMalformed.Wrap(err, "message can't be written")
	}
	if notifier, able := transport.(Notifier); able {
		return notifier.Notify(address, kind, body)
	}
	_, err = transport.Call(address, kind, body, constants.CallTimeout)
	return err
}

// Notify sends one frame that is not answered: half the messages, and no wake-up for
// an answer. Versions that do not know its sort skip and count it.
func (w *TCP) Notify(address string, kind messages.Kind, body []byte) error {
	peer := w.peer(address)
	end := clock.Now().Add(constants.DialTimeout)
	current, err := peer.connect(end)
	if err != nil {
		return err
	}
	outgoing := frame{frameType: frameNotification, kind: kind, body: body}
	return peer.write(current, &outgoing, end, nil)
}

// Notify runs the other side's handler; whatever it answers is dropped.
func (t *Memory) Notify(address string, kind messages.Kind, body []byte) error {
	handler, partitioned := t.handlerAt(address)
	if handler == nil {
		return ErrUnreachable.New(address)
	}
	t.meter.sent(kind, address, len(body))
	t.network.observe(t.ownAddress, address, kind, false, body)
	if !partitioned {
		t.network.meter(address).received(kind, t.ownAddress, len(body))
		go func() { _, _ = handler(kind, body) }()
	}
	return nil
}
