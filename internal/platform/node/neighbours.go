package node

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// Neighbours gives up to count live processes of a role: the same ones as long as
// they live, one of them in another zone where there is one, the rest in this zone
// as far as it has them.
func (runtime *Node) Neighbours(role string, count int) []messages.Entry {
	runtime.lock.Lock()
	defer runtime.lock.Unlock()
	return runtime.view.Neighbours(role, count, clock.Now())
}

// Population is how many live processes of a role the whole fleet has, this one
// included: counted from the view where it is whole, else as controllers last told.
func (runtime *Node) Population(role string) int {
	runtime.lock.Lock()
	defer runtime.lock.Unlock()
	return runtime.view.Population(role, clock.Now())
}
