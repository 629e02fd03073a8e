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

// errRelayUnknown is returned if a relay controller received a wait request for an update that it
// does not know, which means that it restarted after it accepted the update.
var errRelayUnknown = errs.Define("relay controller has no record of the update")

// delivery is one update that is being sent along the tree. Its tick goroutine ends no later than
// constants.BulkCallTimeout plus one tick after its start. Each call ends within its own timeout. The
// calls that follow from a failure are made even later than that, until no address is left to try.
type delivery struct {
	server    *Server
	update    *messages.RelayRequest
	startedAt clock.Instant
	// done is closed once the tree is done (see Tree.Done).
	done    chan struct{}
	endOnce sync.Once

	lock sync.Mutex
	// tree is guarded by lock.
	tree *broadcast.Tree
}

// startDelivery starts the calls of a tree and returns without waiting. Relays that time out are replaced
// until the tree is done or constants.BulkCallTimeout has passed.
func (s *Server) startDelivery(update *messages.RelayRequest, tree *broadcast.Tree, sends []broadcast.Send) *delivery {
	d := &delivery{server: s, update: update, startedAt: clock.Now(), done: make(chan struct{}), tree: tree}
	d.makeCalls(sends)
	go d.tick()
	return d
}

// makeCalls makes calls, each in its own goroutine, and ends the delivery if the tree is done.
func (d *delivery) makeCalls(sends []broadcast.Send) {
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

// call makes one call, passes its outcome to the tree, and makes the calls that follow.
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
	d.makeCalls(next)
}

// tick calls Tree.Tick periodically, so that relays that time out are replaced.
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
		d.makeCalls(next)
	}
}

// missing returns the hashes of the processes in contact that have not confirmed the update.
func (d *delivery) missing() []uint32 {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.tree.Missing()
}

// send makes one call. missing lists the processes that a relay could not reach in its zone.
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
