package transport

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Notifier is a transport that can also send notifications, which have no response.
type Notifier interface {
	// Notify sends a notification. A nil error means only that the frame was sent.
	Notify(address string, kind messages.Kind, body []byte) error
}

// Notify sends a message as a notification if the transport is a Notifier, and otherwise as a call
// whose response is ignored.
func Notify(transport Transport, address string, kind messages.Kind, message Marshaler) error {
	body, err := message.MarshalMsg(nil)
	if err != nil {
		return ErrMalformed.Wrap(err, "encode message")
	}
	if notifier, ok := transport.(Notifier); ok {
		return notifier.Notify(address, kind, body)
	}
	_, err = transport.Call(address, kind, body, constants.CallTimeout)
	return err
}

// Notify sends one frame that has no response: compared with a call this halves the messages and
// saves waking the sender for a response. Versions that do not know this frame type skip and count
// it.
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

// Notify runs the handler of the called address and discards its response.
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
