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
func (n *node) drive(update *messages.Relay, job *broadcast.Job, sends []broadcast.Send, begun clock.Moment) {
	for _, send := range sends {
		n.carry(update, job, send, begun)
	}
	n.fleet.After(constants.RelayPatience/4, func() {
		if !job.Done() && !n.down && n.fleet.Now.Since(begun) < constants.BulkCallTime {
			n.drive(update, job, job.Tick(n.fleet.Now), begun)
		}
	})
}

func (n *node) carry(update *messages.Relay, job *broadcast.Job, send broadcast.Send, begun clock.Moment) {
	var message transport.Writable
	switch {
	case send.Step == broadcast.StepRelay:
		part := *update
		part.Expect = send.Expect
		message = &part
	case send.Step == broadcast.StepWait:
		message = &messages.RelayWait{From: update.From, Number: update.Number}
	case update.Generation > 0:
		message = &messages.ConfigPush{Generation: update.Generation, Body: update.Body, Pass: send.Pass}
	default:
		message = &messages.RosterPush{Workers: update.Workers}
	}
	n.call(send.Address, message, constants.CallTime, func(answer transport.Writable, failed bool) {
		var next []broadcast.Send
		if entry := job.Told(send); failed && send.Step == broadcast.StepTell && entry.Address != "" {
			n.owe(update, []messages.Entry{entry}, constants.BacklogPause)
		}
		done, waited := answer.(*messages.RelayDone)
		switch {
		case failed || (waited && !done.Known):
			next = job.Failed(send, n.fleet.Now)
		case waited:
			next = job.Took(send, done.Missing, n.fleet.Now)
		default:
			next = job.Took(send, nil, n.fleet.Now)
		}
		for _, one := range next {
			n.carry(update, job, one, begun)
		}
	})
}

// spread tells the fleet; acknowledged runs once all in touch took it, or at the bound.
func (n *node) spread(update *messages.Relay, bound clock.Span, acknowledged func()) {
	n.fleet.number++
	update.From, update.Number = membership.Key(n.own), n.fleet.number
	begun := n.fleet.Now
	job, sends := broadcast.Fleet(n.own, n.view.All("", begun), fan(update), begun)
	if update.Generation > 0 {
		n.owe(update, job.Unconfirmed(sends), constants.BacklogPassedPause)
	}
	n.drive(update, job, sends, begun)
	var look func()
	look = func() {
		if job.Done() || n.fleet.Now.Since(begun) >= bound {
			acknowledged()
			return
		}
		n.fleet.After(1_000_000, look)
	}
	look()
}
