package node

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// Neighbours gives up to count live processes of a role: the same ones as long as
// they live, one of them in another zone where there is one, the rest in this zone
// as far as it has them.
func (n *Node) Neighbours(role string, count int) []messages.NodeInfo {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.view.Neighbours(role, count, clock.Now())
}

// Population is how many live processes of a role the whole fleet has, this one
// included: counted from the view where it is whole, else as controllers last told.
func (n *Node) Population(role string) int {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.view.Population(role, clock.Now())
}
