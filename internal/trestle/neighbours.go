package trestle

import (
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

// Neighbours gives up to count live processes of a role: the same ones as long as
// they live, one of them in another hall where there is one, the rest in this hall
// as far as it has them.
func (trestle *Trestle) Neighbours(role string, count int) []pattern.Entry {
	trestle.lock.Lock()
	defer trestle.lock.Unlock()
	return trestle.view.Neighbours(role, count, watch.Now())
}

// Population is how many live processes of a role the whole fleet has, this one
// included: counted from the view where it is whole, else as foremen last told.
func (trestle *Trestle) Population(role string) int {
	trestle.lock.Lock()
	defer trestle.lock.Unlock()
	return trestle.view.Population(role, watch.Now())
}
