package workbench

import (
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

// Judged takes a foreman's list of the workers that are silent. It says, too, that a
// foreman was heard.
func (bench *Workbench) Judged(silent []pattern.Overdue, now watch.Moment) {
	bench.lock.Lock()
	defer bench.lock.Unlock()
	bench.listening = now
	bench.Roster.Judged(silent, now)
	bench.Roster.Forget(now)
}

// Table stands for the workers known here.
func (bench *Workbench) Table() pattern.Digest {
	bench.lock.Lock()
	defer bench.lock.Unlock()
	return bench.Roster.Digest(bench.own.Life)
}
