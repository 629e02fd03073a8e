package broadcastserver

import (
	"sync"

	"lemonarch/internal/control/broadcast"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// errRelayUnknown is the error of a controller that was asked to wait for an update which it
// does not know: it was restarted meanwhile.
var errRelayUnknown = errs.Define("relay does not know the update")

// delivery is one update on its way down the tree. Its goroutines end by themselves within
// constants.BulkCallTimeout of its start and the timeout of one call.
type delivery struct {
	server    *Server
	update    *messages.RelayRequest
	startedAt clock.Instant
	// done closes once every process in contact has the update or failed to take it.
	done    chan struct{}
	endOnce sync.Once

	lock sync.Mutex
	// tree is guarded by lock.
	tree *broadcast.Tree
}

// deliver makes the calls of a tree until it is done or too late. It does not wait.
func (s *Server) deliver(update *messages.RelayRequest, tree *broadcast.Tree, sends []broadcast.Send) *delivery {
	d := &delivery{server: s, update: update, startedAt: clock.Now(), done: make(chan struct{}), tree: tree}
	d.follow(sends)
	go d.tick()
	return d
}

// follow makes calls, each in a goroutine of its own, and ends the delivery where nothing is
// left to be done.
func (d *delivery) follow(sends []broadcast.Send) {
	for _, send := range sends {
		go d.call(send)
	}
	d.lock.Lock()
	done := d.tree.Done()
	d.lock.Unlock()
	if done {
		d.endOnce.Do(func() { close(d.done) })
	}
}

// call makes one call and follows what the tree says to its outcome.
func (d *delivery) call(send broadcast.Send) {
	missing, err := d.send(send)
	d.lock.Lock()
	var next []broadcast.Send
	if err != nil {
		next = d.tree.HandleFailure(send, clock.Now())
		if receiver := d.tree.Receiver(send); send.Step == broadcast.StepDeliver && receiver.Address != "" {
			d.server.addToBacklog(d.update, []messages.NodeInfo{receiver}, constants.BacklogBackoff)
		}
	} else {
		next = d.tree.HandleResponse(send, missing, clock.Now())
	}
	d.lock.Unlock()
	d.follow(next)
}

// tick lets the tree go on without relays that take too long.
func (d *delivery) tick() {
	for clock.Now().Sub(d.startedAt) < constants.BulkCallTimeout {
		select {
		case <-d.done:
			return
		case <-clock.After(constants.RelayTimeout / 4):
		}
		d.lock.Lock()
		next := d.tree.Tick(clock.Now())
		d.lock.Unlock()
		d.follow(next)
	}
}

// missing gives the hashes of those in contact that have not confirmed the update.
func (d *delivery) missing() []uint32 {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.tree.Missing()
}

// send makes one call. missing is what a relay could not reach in its zone.
func (d *delivery) send(send broadcast.Send) (missing []uint32, err error) {
	wire, update := d.server.node.Transport, d.update
	switch send.Step {
	case broadcast.StepRelay:
		part := *update
		part.Expect = send.Expect
		return nil, transport.Call(wire, send.Address, messages.KindRelay, &part, &messages.Ack{}, constants.CallTimeout)
	case broadcast.StepWait:
		resp := &messages.RelayWaitResponse{}
		req := &messages.RelayWaitRequest{From: update.From, Sequence: update.Sequence}
		err = transport.Call(wire, send.Address, messages.KindRelayWait, req, resp, constants.CallTimeout)
		if err == nil && !resp.Known {
			err = errRelayUnknown
		}
		return resp.Missing, err
	}
	if update.Generation > 0 {
		push := &messages.ConfigPush{Generation: update.Generation, Body: update.Body, ForwardTo: send.ForwardTo}
		return nil, transport.Call(wire, send.Address, messages.KindConfigPush, push, &messages.Ack{}, constants.CallTimeout)
	}
	push := &messages.WorkersUpdate{From: membership.Key(d.server.node.Self), Workers: update.Workers}
	return nil, transport.Call(wire, send.Address, messages.KindWorkersUpdate, push, &messages.Ack{}, constants.CallTimeout)
}
