package transport

import (
	"sync"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// Once lets each numbered call through once. A frame may come twice, or long after
// its sender was given an answer to the first copy: a second copy that was worked
// on would contradict that answer.
type Once struct {
	lock sync.Mutex
	seen map[string]bool
	// order holds the names in order of arrival, so that old ones are forgotten.
	order []onceSeen
}

type onceSeen struct {
	name string
	at   clock.Moment
}

// First tells whether a name comes for the first time. A call without a name is of
// an older sender and always passes.
func (once *Once) First(name string, now clock.Moment) bool {
	if name == "" {
		return true
	}
	once.lock.Lock()
	defer once.lock.Unlock()
	if once.seen == nil {
		once.seen = map[string]bool{}
	}
	gone := 0
	for gone < len(once.order) && now.Since(once.order[gone].at) > constants.FrameLife {
		delete(once.seen, once.order[gone].name)
		gone++
	}
	if gone > 0 {
		once.order = append([]onceSeen(nil), once.order[gone:]...)
	}
	if once.seen[name] {
		return false
	}
	once.seen[name] = true
	once.order = append(once.order, onceSeen{name, now})
	return true
}
