package transport

import (
	"sync"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// Deduplicator lets each numbered call through once. A frame may come twice, or long after
// its sender was given a response to the first copy: a second copy that was worked
// on would contradict that answer.
type Deduplicator struct {
	lock sync.Mutex
	seen map[string]bool
	// order holds the names in order of arrival, so that old ones are forgotten.
	order []seenRequest
}

type seenRequest struct {
	name string
	at   clock.Instant
}

// FirstSeen tells whether a name comes for the first time. A call without a name is of
// an older sender and always passes.
func (o *Deduplicator) FirstSeen(name string, now clock.Instant) bool {
	if name == "" {
		return true
	}
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.seen == nil {
		o.seen = map[string]bool{}
	}
	gone := 0
	for gone < len(o.order) && now.Sub(o.order[gone].at) > constants.FrameLifetime {
		delete(o.seen, o.order[gone].name)
		gone++
	}
	if gone > 0 {
		o.order = append([]seenRequest(nil), o.order[gone:]...)
	}
	if o.seen[name] {
		return false
	}
	o.seen[name] = true
	o.order = append(o.order, seenRequest{name, now})
	return true
}
