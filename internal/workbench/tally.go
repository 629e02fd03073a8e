package workbench

import "sync/atomic"

// Tally counts, for one route, what was displaced, resumed and finished here.
type Tally struct {
	Displaced, Resumed, Finished atomic.Int64
}

// Tally gives the counts of a route.
func (bench *Workbench) Tally(route string) *Tally {
	bench.tallyLock.Lock()
	defer bench.tallyLock.Unlock()
	tally := bench.tallies[route]
	if tally == nil {
		tally = &Tally{}
		bench.tallies[route] = tally
	}
	return tally
}

// Tallies lists them by route.
func (bench *Workbench) Tallies() map[string]*Tally {
	bench.tallyLock.Lock()
	defer bench.tallyLock.Unlock()
	copied := map[string]*Tally{}
	for route, tally := range bench.tallies {
		copied[route] = tally
	}
	return copied
}
