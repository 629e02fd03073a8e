package transport

import (
	"sync"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// Deduplicator accepts each named call once. A frame may arrive twice, and the second copy may
// arrive long after the sender received the response to the first one. Executing the second copy
// would contradict that response.
type Deduplicator struct {
	lock     sync.Mutex
	received map[string]bool
	// order lists the names in order of arrival, so that old ones can be dropped.
	order []receivedRequest
}

type receivedRequest struct {
	name string
	at   clock.Instant
}

// First reports whether a name is received for the first time within FrameLifetime. A call without a
// name comes from a sender of an older version and is always accepted.
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
