package leader

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// watchOwnLag gives the leadership up when our own disk lags what the other stores sync by
// far: reads of jobs come from it, and a later takeover would have to wait for it.
// Records don't: they are durable with the fastest f+1.
func (t *Term) watchOwnLag() {
	own := register.Identity(t.process.Election.Member())
	clock.Every(constants.LeaseRenewPeriod, t.lifecycle.stop, func() {
		now := clock.Now()
		t.lock.Lock()
		behind := t.health.replicaLag.Behind(t.records.replicator.MatchIndex(own), t.records.replicator.CommitIndex(), now)
		alone := len(t.records.replicator.Members) < 2
		t.lock.Unlock()
		if behind < constants.LagLimit || alone {
			return
		}
		t.process.Election.YieldUntil(now.Add(constants.LagYieldTime))
		t.Close("own store lags the others")
		t.Resign()
	})
}
