// Package health keeps the health of workers, from what responses and peers say:
// passive observation first, since probes are priced. A step function without I/O.
package health

import (
	"strconv"
	"strings"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// Health is what is known of one worker.
type Health struct {
	live, bulk       int
	pendingTokens    int64
	pendingPrefills  int
	peerPrefillUntil clock.Instant
	observed         observation
	ownHistory       [ownHistorySize]ownCountChange
	ownChanges       int
	full             observation
	suspects         map[string]clock.Instant
	suspectUntil     clock.Instant
	meanResponseMs   float64
	failures         int64
	responses        int64
}

// Tracker holds the health of all workers.
type Tracker struct {
	byWorker map[string]*Health
	outcomes outcomeTable
}

// New makes an empty tracker.
func New() *Tracker { return &Tracker{byWorker: map[string]*Health{}} }

// Of gives the health of a worker.
func (t *Tracker) Of(worker string) *Health {
	health := t.byWorker[worker]
	if health == nil {
		health = &Health{}
		t.byWorker[worker] = health
	}
	return health
}

// Forget drops a worker.
func (t *Tracker) Forget(worker string) {
	delete(t.byWorker, worker)
	t.ForgetOutcomes(worker)
}

// RequestStarted notes a request of this process on its way.
func (h *Health) RequestStarted(bulk bool, fresh int, now clock.Instant) {
	if bulk {
		h.bulk++
	} else {
		h.live++
	}
	h.pendingTokens += int64(fresh)
	h.pendingPrefills++
	h.recordOwnCount(now)
}

// PrefillDone notes that a prompt was prefilled: its first event has come.
func (h *Health) PrefillDone(fresh int) {
	h.pendingTokens -= int64(fresh)
	h.pendingPrefills--
}

// PendingTokens is how many prompt tokens of this process wait to be prefilled there.
func (h *Health) PendingTokens() int64 { return h.pendingTokens }

// PendingPrefills is how many requests of this process have had no first event yet.
func (h *Health) PendingPrefills() int { return h.pendingPrefills }

// AddPeerPrefill notes that a peer gave the worker a prompt that takes a time to prefill.
func (h *Health) AddPeerPrefill(duration clock.Duration, now clock.Instant) {
	h.peerPrefillUntil = max(h.peerPrefillUntil, now).Add(duration)
}

// PeerPrefillLeft is how long the worker still prefills what peers have notified of.
func (h *Health) PeerPrefillLeft(now clock.Instant) clock.Duration {
	return max(0, h.peerPrefillUntil.Sub(now))
}

// RequestEnded notes that a request of this process is over.
func (h *Health) RequestEnded(bulk bool, now clock.Instant) {
	if bulk {
		h.bulk--
	} else {
		h.live--
	}
	h.recordOwnCount(now)
}

// Own is how many requests of this process are there.
func (h *Health) Own() int { return h.live + h.bulk }

// OwnBulk is how many of them are items of batch jobs.
func (h *Health) OwnBulk() int { return h.bulk }

// ParseLoad parses a load header: running, waiting, slots.
func ParseLoad(header string) (busy, slots int, known bool) {
	running, waiting, known := ParseRunning(header)
	if !known {
		return 0, 0, false
	}
	if fields := strings.Split(header, ","); len(fields) > 2 {
		slots, _ = strconv.Atoi(strings.TrimSpace(fields[2]))
	}
	return running + waiting, slots, true
}

// ParseRunning gives the requests that run and wait at a worker by its load header.
func ParseRunning(header string) (running, waiting int, known bool) {
	fields := strings.Split(header, ",")
	if len(fields) < 2 {
		return 0, 0, false
	}
	running, first := strconv.Atoi(strings.TrimSpace(fields[0]))
	waiting, second := strconv.Atoi(strings.TrimSpace(fields[1]))
	return running, waiting, first == nil && second == nil
}

// ObserveLoad takes the load header of a response.
func (h *Health) ObserveLoad(header string, now clock.Instant) {
	if busy, _, known := ParseLoad(header); known {
		h.observe(busy, now)
	}
}

// RecordFailure notes a failure; peers are told of it while the worker is ejected here.
func (h *Health) RecordFailure(ejected clock.Duration, now clock.Instant) {
	h.failures++
	if ejected > 0 {
		h.suspectUntil = now.Add(ejected)
	}
}

// RecordResponse notes a response that came as it should.
func (h *Health) RecordResponse(took clock.Duration) {
	h.responses++
	milliseconds := clock.ToMilliseconds(took)
	if h.meanResponseMs == 0 {
		h.meanResponseMs = milliseconds
	}
	h.meanResponseMs += 0.1 * (milliseconds - h.meanResponseMs)
}

// Suspect tells whether the worker is ejected here, or suspected by peers.
func (h *Health) Suspect(now clock.Instant) bool {
	return now < h.suspectUntil || h.SuspectedByPeers(now)
}

// SuspectedByPeers tells whether several peers have ejected the worker.
func (h *Health) SuspectedByPeers(now clock.Instant) bool {
	return h.suspectedByPeers(now)
}

// TookMs is the usual time of a response, in ms.
func (h *Health) MeanResponseMs() float64 { return h.meanResponseMs }

// Counts gives answers and failures, for the shell.
func (h *Health) Counts() (responses, failures int64) { return h.responses, h.failures }

// RecordFull notes that the worker rejected a request for want of capacity.
func (h *Health) RecordFull(capacity int, now clock.Instant) {
	// Our own finding, for a moment: it may be our connections that are spent, so
	// peers are not told.
	h.full = observation{known: true, count: capacity + constants.QueueAheadMax, at: now, own: h.Own()}
}
