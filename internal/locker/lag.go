package locker

import (
	"lemonarch/internal/almanac"
	"lemonarch/internal/vise"
	"lemonarch/internal/watch"
)

// tendLag gives the duty up when our own disk lags what the other stores sync by
// far: reads of lots come from it, and a later takeover would have to wait for it.
// Records don't: they are durable with the fastest f+1.
func (reign *reign) tendLag() {
	own := vise.Identity(reign.locker.member())
	watch.Every(almanac.HoldRenewal, reign.stop, func() {
		now := watch.Now()
		reign.lock.Lock()
		behind := reign.lag.Behind(reign.press.MatchOf(own), reign.press.Done(), now)
		alone := len(reign.press.Members) < 2
		reign.lock.Unlock()
		if behind < almanac.LagLimit || alone {
			return
		}
		reign.locker.rest(now.Plus(almanac.LagRest))
		reign.end("own store lags the others")
		reign.giveUp()
	})
}

// rest keeps this process from asking for the duty until a moment.
func (locker *Locker) rest(until watch.Moment) {
	locker.lock.Lock()
	defer locker.lock.Unlock()
	locker.resting = until
}

// rests tells whether it stands back from the duty.
func (locker *Locker) rests() bool {
	locker.lock.Lock()
	defer locker.lock.Unlock()
	return watch.Now() < locker.resting
}
