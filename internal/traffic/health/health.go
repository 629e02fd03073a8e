// Package health tracks the health of workers from their responses and from peers' reports. Passive
// observation is preferred to probes, since probes have a cost. The package performs no I/O; callers
// pass the current time.
package health

import (
	"strconv"
	"strings"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// Health is the state known of one worker.
type Health struct {
	// live and bulk count the requests of this process that are at the worker: bulk those that are
	// items of batch jobs, live all others. ownHistory is a ring of the last changes of their sum, and
	// ownChanges the number of all changes. observed is the freshest load observation, and full the
	// load assumed after a rejection (RecordFull). suspects contains when each peer last reported that
	// it ejected the worker; suspectUntil is when the last ejection by this process ends.
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

// Tracker contains the health of all workers. Callers must serialize access, also to the Health and
// Outcomes that it returns.
type Tracker struct {
	byWorker map[string]*Health
	outcomes outcomeTable
}

// New returns an empty tracker.
func New() *Tracker { return &Tracker{byWorker: map[string]*Health{}} }

// HealthOf returns the health of a worker and creates it if necessary.
func (t *Tracker) HealthOf(worker string) *Health {
	health := t.byWorker[worker]
	if health == nil {
		health = &Health{}
		t.byWorker[worker] = health
	}
	return health
}

// Forget deletes the health and outcomes of a worker.
func (t *Tracker) Forget(worker string) {
	delete(t.byWorker, worker)
	t.ForgetOutcomes(worker)
}

// RequestStarted records that this process sends the worker a request with the given number of
// tokens to prefill.
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

// PrefillDone records that a prompt no longer awaits its prefill: its first event arrived, or its
// request ended without one. fresh is the number that was passed to RequestStarted.
func (h *Health) PrefillDone(fresh int) {
	h.pendingTokens -= int64(fresh)
	h.pendingPrefills--
}

// PendingTokens returns the number of this process's prompt tokens that the worker has yet to
// prefill.
func (h *Health) PendingTokens() int64 { return h.pendingTokens }

// PendingPrefills returns the number of this process's requests that have received no first event
// yet.
func (h *Health) PendingPrefills() int { return h.pendingPrefills }

// AddPeerPrefill records that a peer sent the worker a prompt that takes the given time to prefill.
func (h *Health) AddPeerPrefill(duration clock.Duration, now clock.Instant) {
	h.peerPrefillUntil = max(h.peerPrefillUntil, now).Add(duration)
}

// PeerPrefillLeft returns the remaining time that the worker needs to prefill the prompts that
// peers have reported.
func (h *Health) PeerPrefillLeft(now clock.Instant) clock.Duration {
	return max(0, h.peerPrefillUntil.Sub(now))
}

// RequestEnded records that a request of this process has ended.
func (h *Health) RequestEnded(bulk bool, now clock.Instant) {
	if bulk {
		h.bulk--
	} else {
		h.live--
	}
	h.recordOwnCount(now)
}

// OwnRequests returns the number of this process's requests at the worker.
func (h *Health) OwnRequests() int { return h.live + h.bulk }

// OwnBulkRequests returns how many of these are items of batch jobs.
func (h *Health) OwnBulkRequests() int { return h.bulk }

// ParseLoad parses a load header of the form "running,waiting,slots". busy is the sum of running
// and waiting requests; slots is 0 if it is missing. known is false if the header is not valid.
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

// ParseRunning parses the numbers of running and waiting requests from a load header.
func ParseRunning(header string) (running, waiting int, known bool) {
	fields := strings.Split(header, ",")
	if len(fields) < 2 {
		return 0, 0, false
	}
	running, first := strconv.Atoi(strings.TrimSpace(fields[0]))
	waiting, second := strconv.Atoi(strings.TrimSpace(fields[1]))
	return running, waiting, first == nil && second == nil
}

// ObserveLoad applies the load header of a response.
func (h *Health) ObserveLoad(header string, now clock.Instant) {
	if busy, _, known := ParseLoad(header); known {
		h.observe(busy, now)
	}
}

// RecordFailure records a failure. ejected is the duration of the ejection that it caused, or 0.
// While the worker is ejected here, its gossip samples tell peers so.
func (h *Health) RecordFailure(ejected clock.Duration, now clock.Instant) {
	h.failures++
	if ejected > 0 {
		h.suspectUntil = now.Add(ejected)
	}
}

// RecordResponse records the response time of a successful first event or response header.
func (h *Health) RecordResponse(took clock.Duration) {
	h.responses++
	milliseconds := clock.ToMilliseconds(took)
	if h.meanResponseMs == 0 {
		h.meanResponseMs = milliseconds
	}
	h.meanResponseMs += 0.1 * (milliseconds - h.meanResponseMs)
}

// Suspect reports whether the worker is ejected here or suspected by peers.
func (h *Health) Suspect(now clock.Instant) bool {
	return now < h.suspectUntil || h.SuspectedByPeers(now)
}

// SuspectedByPeers reports whether at least two peers have recently reported that they ejected the
// worker.
func (h *Health) SuspectedByPeers(now clock.Instant) bool {
	return h.suspectedByPeers(now)
}

// MeanResponseMs returns the moving average of the response time, in ms.
func (h *Health) MeanResponseMs() float64 { return h.meanResponseMs }

// Counts returns the numbers of responses and failures, for the shell.
func (h *Health) Counts() (responses, failures int64) { return h.responses, h.failures }

// RecordFull records that the worker rejected a request for lack of capacity.
func (h *Health) RecordFull(capacity int, now clock.Instant) {
	// This is kept for a short time and not sent to peers: the limit may be that of this process's
	// own connections.
	h.full = observation{known: true, count: capacity + constants.QueueAheadMax, at: now, own: h.OwnRequests()}
}
