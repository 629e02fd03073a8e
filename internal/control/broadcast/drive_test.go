package broadcast_test

import (
	"lemonarch/internal/control/broadcast"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// makeCalls makes the calls of a tree, and calls its Tick periodically until it is done or
// constants.BulkCallTimeout has passed.
func (n *node) makeCalls(update *messages.RelayRequest, tree *broadcast.Tree, sends []broadcast.Send, start clock.Instant) {
	for _, send := range sends {
		n.makeCall(update, tree, send, start)
	}
	n.fleet.After(constants.RelayTimeout/4, func() {
		if !tree.Done() && !n.down && n.fleet.Now.Sub(start) < constants.BulkCallTimeout {
			n.makeCalls(update, tree, tree.Tick(n.fleet.Now), start)
		}
	})
}

// makeCall makes one call, passes its outcome to the tree, and makes the calls that follow.
func (n *node) makeCall(update *messages.RelayRequest, tree *broadcast.Tree, send broadcast.Send, start clock.Instant) {
	var message transport.Marshaler
	switch {
	case send.Step == broadcast.StepRelay:
		part := *update
		part.Expect = send.Expect
		message = &part
	case send.Step == broadcast.StepWait:
		message = &messages.RelayWaitRequest{From: update.From, Sequence: update.Sequence}
	case update.Generation > 0:
		message = &messages.ConfigPush{Generation: update.Generation, Body: update.Body, ForwardTo: send.ForwardTo}
	default:
		message = &messages.WorkersUpdate{Workers: update.Workers}
	}
	n.call(send.Address, message, constants.CallTimeout, func(resp transport.Marshaler, failed bool) {
		var next []broadcast.Send
		if entry := tree.Receiver(send); failed && send.Step == broadcast.StepDeliver && entry.Address != "" {
			n.addToBacklog(update, []messages.NodeInfo{entry}, constants.BacklogBackoff)
		}
		waitResponse, isWaitResponse := resp.(*messages.RelayWaitResponse)
		switch {
		case failed || (isWaitResponse && !waitResponse.Known):
			next = tree.HandleFailure(send, n.fleet.Now)
		case isWaitResponse:
			next = tree.HandleResponse(send, waitResponse.Missing, n.fleet.Now)
		default:
			next = tree.HandleResponse(send, nil, n.fleet.Now)
		}
		for _, s := range next {
			n.makeCall(update, tree, s, start)
		}
	})
}

// broadcast sends an update to the fleet. It calls acknowledged once all processes in contact have
// accepted it or failed, or once the bound has passed.
func (n *node) broadcast(update *messages.RelayRequest, bound clock.Duration, acknowledged func()) {
	n.fleet.sequence++
	update.From, update.Sequence = membership.Key(n.own), n.fleet.sequence
	start := n.fleet.Now
	tree, sends := broadcast.NewTree(n.own, n.view.All("", start), fanout(update), start)
	if update.Generation > 0 {
		n.addToBacklog(update, tree.Unconfirmed(sends), constants.BacklogForwardedDelay)
	}
	n.makeCalls(update, tree, sends, start)
	var check func()
	check = func() {
		if tree.Done() || n.fleet.Now.Sub(start) >= bound {
			acknowledged()
			return
		}
		n.fleet.After(1_000_000, check)
	}
	check()
}
