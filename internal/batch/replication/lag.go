package replication

import "lemonarch/internal/platform/clock"

// ReplicaLag follows how long a leader's own store takes to sync what the others have.
type ReplicaLag struct {
	target int64
	since  clock.Instant
}

// Behind takes how far the own store has synced and up to where records are durable.
// It gives the time for which the own store has not reached what was durable when it
// was first seen behind; zero when it keeps up.
func (l *ReplicaLag) Behind(match, done int64, now clock.Instant) clock.Duration {
	if l.target == 0 || match >= l.target {
		l.target = 0
		if match < done {
			l.target, l.since = done, now
		}
		return 0
	}
	return now.Sub(l.since)
}
