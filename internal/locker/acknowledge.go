package locker

import (
	"lemonarch/internal/almanac"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/watch"
)

// renew asks for all locks in one message.
func (driver *driver) renew(entries []pattern.Acknowledgement, epoch uint64) {
	asked := watch.Now()
	answer := driver.acknowledge(entries, epoch, almanac.CallTime/2)
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
func (driver *driver) acknowledge(entries []pattern.Acknowledgement, epoch uint64, span watch.Span) *pattern.Acknowledged {
	own, holder := driver.locker.Stand.Own, driver.locker.holder()
	driver.lock.Lock()
	leaving := driver.leaving
	driver.lock.Unlock()
	question := &pattern.Acknowledge{Driver: own.Name, Life: own.Life, Address: own.Address, Hall: own.Hall, Entries: entries,
		Known: driver.known(), Leaving: leaving, Epoch: epoch}
	answer := &pattern.Acknowledged{}
	if holder == own.Address {
		answer = driver.locker.acknowledge(question)
	} else if holder == "" || tongs.Ask(driver.locker.Stand.Wire, holder, pattern.KindAcknowledge, question, answer, span) != nil {
		return nil
	}
	if answer.Elsewhere {
		return nil
	}
	driver.listed(answer.Version, answer.Drivers, watch.Now())
	return answer
}

// acknowledgeLoop repeats acknowledgements until they are answered.
func (driver *driver) acknowledgeLoop(bell chan struct{}, gather func() []pattern.Acknowledgement) {
	stop := driver.locker.Stand.Stop
	for {
		select {
		case <-stop:
			return
		case <-bell:
		case <-watch.After(almanac.AcquireHold):
		}
		for {
			driver.lock.Lock()
			batch := gather()
			driver.lock.Unlock()
			if len(batch) == 0 {
				break
			}
			pause := almanac.AckGather
			if answer := driver.acknowledge(batch, 0, almanac.RoundTime+almanac.CallTime); answer != nil {
				driver.lock.Lock()
				driver.core.Answered(batch, answer.Verdicts)
				driver.lock.Unlock()
			} else {
				pause = almanac.AckPause
			}
			select {
			case <-stop:
				return
			case <-watch.After(pause):
			}
		}
	}
}
