package leader

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// watchOwnLag resigns the leadership when this process's own disk lags far behind the other stores.
// Jobs are read from that disk, and a later takeover would have to wait for it. Commits do not
// depend on it: a record is durable once the fastest budget + 1 stores have synced it.
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
		t.Close("own store lags behind the others")
		t.Resign()
	})
}
