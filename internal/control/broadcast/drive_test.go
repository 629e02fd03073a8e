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
func (here *node) drive(update *messages.Relay, job *broadcast.Job, sends []broadcast.Send, begun clock.Moment) {
	for _, send := range sends {
		here.carry(update, job, send, begun)
	}
	here.fleet.After(constants.RelayPatience/4, func() {
		if !job.Done() && !here.down && here.fleet.Now.Since(begun) < constants.BulkCallTime {
			here.drive(update, job, job.Tick(here.fleet.Now), begun)
		}
	})
}

func (here *node) carry(update *messages.Relay, job *broadcast.Job, send broadcast.Send, begun clock.Moment) {
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
	here.call(send.Address, message, constants.CallTime, func(answer transport.Writable, failed bool) {
		var next []broadcast.Send
		if entry := job.Told(send); failed && send.Step == broadcast.StepTell && entry.Address != "" {
			here.owe(update, []messages.Entry{entry}, constants.BacklogPause)
		}
		done, waited := answer.(*messages.RelayDone)
		switch {
		case failed || (waited && !done.Known):
			next = job.Failed(send, here.fleet.Now)
		case waited:
			next = job.Took(send, done.Missing, here.fleet.Now)
		default:
			next = job.Took(send, nil, here.fleet.Now)
		}
		for _, one := range next {
			here.carry(update, job, one, begun)
		}
	})
}

// spread tells the fleet; acknowledged runs once all in touch took it, or at the bound.
func (here *node) spread(update *messages.Relay, bound clock.Span, acknowledged func()) {
	here.fleet.number++
	update.From, update.Number = membership.Key(here.own), here.fleet.number
	begun := here.fleet.Now
	job, sends := broadcast.Fleet(here.own, here.view.All("", begun), fan(update), begun)
	if update.Generation > 0 {
		here.owe(update, job.Unconfirmed(sends), constants.BacklogPassedPause)
	}
	here.drive(update, job, sends, begun)
	var look func()
	look = func() {
		if job.Done() || here.fleet.Now.Since(begun) >= bound {
			acknowledged()
			return
		}
		here.fleet.After(1_000_000, look)
	}
	look()
}
