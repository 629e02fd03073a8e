package store

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// renew asks for all locks in one message.
func (driver *driver) renew(entries []messages.Acknowledgement, epoch uint64) {
	asked := clock.Now()
	answer := driver.acknowledge(entries, epoch, constants.CallTime/2)
	driver.lock.Lock()
	defer driver.lock.Unlock()
	driver.renewing = false
	if answer == nil {
		// Asked again at once: the duty may have changed hands.
		driver.renewed = 0
		return
	}
	driver.halt(driver.core.Renewed(entries, answer.Verdicts, asked, driver.lockSpan))
}

// acknowledge carries a batch to the dispatcher; nil when it was not answered.
func (driver *driver) acknowledge(entries []messages.Acknowledgement, epoch uint64, span clock.Span) *messages.Acknowledged {
	own, holder := driver.server.Node.Own, driver.server.holder()
	driver.lock.Lock()
	leaving := driver.leaving
	driver.lock.Unlock()
	question := &messages.Acknowledge{Driver: own.Name, Life: own.Life, Address: own.Address, Zone: own.Zone, Entries: entries,
		Known: driver.known(), Leaving: leaving, Epoch: epoch}
	answer := &messages.Acknowledged{}
	if holder == own.Address {
		answer = driver.server.acknowledge(question)
	} else if holder == "" || transport.Ask(driver.server.Node.Wire, holder, messages.KindAcknowledge, question, answer, span) != nil {
		return nil
	}
	if answer.Elsewhere {
		return nil
	}
	driver.listed(answer.Version, answer.Drivers, clock.Now())
	return answer
}

// acknowledgeLoop repeats acknowledgements until they are answered.
func (driver *driver) acknowledgeLoop(bell chan struct{}, gather func() []messages.Acknowledgement) {
	stop := driver.server.Node.Stop
	for {
		select {
		case <-stop:
			return
		case <-bell:
		case <-clock.After(constants.AcquireHold):
		}
		for {
			driver.lock.Lock()
			batch := gather()
			driver.lock.Unlock()
			if len(batch) == 0 {
				break
			}
			pause := constants.AckGather
			if answer := driver.acknowledge(batch, 0, constants.RoundTime+constants.CallTime); answer != nil {
				driver.lock.Lock()
				driver.core.Answered(batch, answer.Verdicts)
				driver.lock.Unlock()
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
