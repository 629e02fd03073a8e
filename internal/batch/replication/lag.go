package replication

import "lemonarch/internal/platform/clock"

// ReplicaLag tracks how long a leader's own store takes to sync records that other stores have synced.
type ReplicaLag struct {
	// target is the commit index when the store was first seen behind; zero if it keeps up.
	target int64
	since  clock.Instant
}

// Behind updates the lag and returns it. matchIndex is the index up to which the leader's own store
// has synced. The lag is the time since the own store was first seen behind, counted until it has
// reached the commit index of that moment; zero if it keeps up.
func (l *ReplicaLag) Behind(matchIndex, commitIndex int64, now clock.Instant) clock.Duration {
	if l.target == 0 || matchIndex >= l.target {
		l.target = 0
		if matchIndex < commitIndex {
			l.target, l.since = commitIndex, now
		}
		return 0
	}
	return now.Sub(l.since)
}
