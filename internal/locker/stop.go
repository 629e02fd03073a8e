package locker

import (
	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/ledgerbox"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/watch"
)

// stopRuns takes all acquisitions of a lot back whose end is decided, and tells the
// drivers that hold some. The lock is held. A driver that can't be told learns it
// when it renews, or stops when its lock ends.
func (reign *reign) stopRuns(lot *ledgerbox.Lot) {
	var addresses []string
	for _, driver := range reign.dispatcher.Stop(lot) {
		addresses = append(addresses, driver.Address)
	}
	if reign.dispatcher.Unsure(watch.Now()) {
		// Earlier holders may have handed items of it to anybody.
		addresses = nil
		for _, entry := range reign.locker.Stand.Live(bellows.RoleLocker) {
			addresses = append(addresses, entry.Address)
		}
		addresses = append(addresses, reign.locker.Stand.Own.Address)
	}
	for _, address := range addresses {
		if address == reign.locker.Stand.Own.Address {
			go reign.locker.driver.stopLot(lot.ID)
			continue
		}
		go func() {
			told, answer := &pattern.StopRuns{Lot: lot.ID}, &pattern.Nothing{}
			for try := 0; try < 2; try++ {
				if tongs.Ask(reign.locker.Stand.Wire, address, pattern.KindStopRuns, told, answer, almanac.CallTime) == nil {
					return
				}
			}
		}()
	}
}

// driverAnswerers registers what drivers ask of the dispatcher, and what it tells
// them.
func (locker *Locker) driverAnswerers() {
	stand := locker.Stand
	stand.Answer(pattern.KindAcquire, func(body []byte) ([]byte, error) {
		question := &pattern.Acquire{}
		if failure := tongs.Read(body, question); failure != nil {
			return nil, failure
		}
		return tongs.Write(locker.acquire(question))
	})
	stand.Answer(pattern.KindAcknowledge, func(body []byte) ([]byte, error) {
		question := &pattern.Acknowledge{}
		if failure := tongs.Read(body, question); failure != nil {
			return nil, failure
		}
		return tongs.Write(locker.acknowledge(question))
	})
	stand.Answer(pattern.KindStopRuns, func(body []byte) ([]byte, error) {
		told := &pattern.StopRuns{}
		if failure := tongs.Read(body, told); failure != nil {
			return nil, failure
		}
		locker.driver.stopLot(told.Lot)
		return tongs.Write(&pattern.Nothing{Taken: true})
	})
}

// acquire and acknowledge are the dispatcher's side, for drivers here and elsewhere.
func (locker *Locker) acquire(question *pattern.Acquire) *pattern.Acquired {
	if current := locker.current(); current != nil {
		return current.acquire(question)
	}
	return &pattern.Acquired{Elsewhere: true, Holder: locker.elsewhere().Holder}
}

func (locker *Locker) acknowledge(question *pattern.Acknowledge) *pattern.Acknowledged {
	if current := locker.current(); current != nil {
		return current.acknowledge(question)
	}
	return &pattern.Acknowledged{Elsewhere: true, Holder: locker.elsewhere().Holder}
}
