package store

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// renew asks for all locks in one message.
func (d *driver) renew(entries []messages.Acknowledgement, epoch uint64) {
	asked := clock.Now()
	answer := d.acknowledge(entries, epoch, constants.CallTime/2)
	d.lock.Lock()
	defer d.lock.Unlock()
	d.renewing = false
	if answer == nil {
		// Asked again at once: the duty may have changed hands.
		d.renewed = 0
		return
	}
	d.halt(d.core.Renewed(entries, answer.Verdicts, asked, d.lockSpan))
}

// acknowledge carries a batch to the dispatcher; nil when it was not answered.
func (d *driver) acknowledge(entries []messages.Acknowledgement, epoch uint64, span clock.Span) *messages.Acknowledged {
	own, holder := d.server.Node.Own, d.server.holder()
	d.lock.Lock()
	leaving := d.leaving
	d.lock.Unlock()
	question := &messages.Acknowledge{Driver: own.Name, Life: own.Life, Address: own.Address, Zone: own.Zone, Entries: entries,
		Known: d.known(), Leaving: leaving, Epoch: epoch}
	answer := &messages.Acknowledged{}
	if holder == own.Address {
		answer = d.server.acknowledge(question)
	} else if holder == "" || transport.Ask(d.server.Node.Wire, holder, messages.KindAcknowledge, question, answer, span) != nil {
		return nil
	}
	if answer.Elsewhere {
		return nil
	}
	d.listed(answer.Version, answer.Drivers, clock.Now())
	return answer
}

// acknowledgeLoop repeats acknowledgements until they are answered.
func (d *driver) acknowledgeLoop(bell chan struct{}, gather func() []messages.Acknowledgement) {
	stop := d.server.Node.Stop
	for {
		select {
		case <-stop:
			return
		case <-bell:
		case <-clock.After(constants.AcquireHold):
		}
		for {
			d.lock.Lock()
			batch := gather()
			d.lock.Unlock()
			if len(batch) == 0 {
				break
			}
			pause := constants.AckGather
			if answer := d.acknowledge(batch, 0, constants.RoundTime+constants.CallTime); answer != nil {
				d.lock.Lock()
				d.core.Answered(batch, answer.Verdicts)
				d.lock.Unlock()
			} else {
				pause = constants.AckPause
			}
			select {
			case <-stop:
				return
			case <-clock.After(pause):
			}
		}
	}
}
