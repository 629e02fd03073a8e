package broadcast_test

import (
	"lemonarch/internal/control/broadcast"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// drive makes the calls of a job, and ticks it while it lasts.
func (n *node) drive(update *messages.RelayRequest, job *broadcast.Tree, sends []broadcast.Send, start clock.Instant) {
	for _, send := range sends {
		n.carry(update, job, send, start)
	}
	n.fleet.After(constants.RelayTimeout/4, func() {
		if !job.Done() && !n.down && n.fleet.Now.Sub(start) < constants.BulkCallTimeout {
			n.drive(update, job, job.Tick(n.fleet.Now), start)
		}
	})
}

func (n *node) carry(update *messages.RelayRequest, job *broadcast.Tree, send broadcast.Send, start clock.Instant) {
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
		if entry := job.Receiver(send); failed && send.Step == broadcast.StepDeliver && entry.Address != "" {
			n.owe(update, []messages.NodeInfo{entry}, constants.BacklogBackoff)
		}
		done, waited := resp.(*messages.RelayWaitResponse)
		switch {
		case failed || (waited && !done.Known):
			next = job.HandleFailure(send, n.fleet.Now)
		case waited:
			next = job.HandleResponse(send, done.Missing, n.fleet.Now)
		default:
			next = job.HandleResponse(send, nil, n.fleet.Now)
		}
		for _, s := range next {
			n.carry(update, job, s, start)
		}
	})
}

// spread tells the fleet; acknowledged runs once all in touch took it, or at the bound.
func (n *node) spread(update *messages.RelayRequest, bound clock.Duration, acknowledged func()) {
	n.fleet.number++
	update.From, update.Sequence = membership.Key(n.own), n.fleet.number
	start := n.fleet.Now
	job, sends := broadcast.NewTree(n.own, n.view.All("", start), fan(update), start)
	if update.Generation > 0 {
		n.owe(update, job.Unconfirmed(sends), constants.BacklogForwardedDelay)
	}
	n.drive(update, job, sends, start)
	var check func()
	check = func() {
		if job.Done() || n.fleet.Now.Sub(start) >= bound {
			acknowledged()
			return
		}
		n.fleet.After(1_000_000, check)
	}
	check()
}
