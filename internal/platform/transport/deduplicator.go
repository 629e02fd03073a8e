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
	lock     sync.Mutex
	received map[string]bool
	// order holds the names in order of arrival, so that old ones are forgotten.
	order []receivedRequest
}

type receivedRequest struct {
	name string
	at   clock.Instant
}

// First tells whether a name comes for the first time. A call without a name is of
// an older sender and always passes.
func (o *Deduplicator) First(name string, now clock.Instant) bool {
	if name == "" {
		return true
	}
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.received == nil {
		o.received = map[string]bool{}
	}
	expired := 0
	for expired < len(o.order) && now.Sub(o.order[expired].at) > constants.FrameLifetime {
		delete(o.received, o.order[expired].name)
		expired++
	}
	if expired > 0 {
		o.order = append([]receivedRequest(nil), o.order[expired:]...)
	}
	if o.received[name] {
		return false
	}
	o.received[name] = true
	o.order = append(o.order, receivedRequest{name, now})
	return true
}
