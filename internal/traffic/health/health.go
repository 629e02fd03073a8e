// Package health keeps the health of workers, from what answers and peers say:
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
	live, bulk   int
	pending      int64
	unread       int
	peersRead    clock.Instant
	seen         observation
	steps        [ownSteps]ownStep
	stepped      int
	full         observation
	suspects     map[string]clock.Instant
	suspectUntil clock.Instant
	tookMs       float64
	failures     int64
	answers      int64
}

// Tracker holds the health of all workers.
type Tracker struct {
	workerList map[string]*Health
	trusts     trustBook
}

// New makes an empty health.
func New() *Tracker { return &Tracker{workerList: map[string]*Health{}} }

// Of gives the health of a worker.
func (t *Tracker) Of(worker string) *Health {
	health := t.workerList[worker]
	if health == nil {
		health = &Health{}
		t.workerList[worker] = health
	}
	return health
}

// Forget drops a worker.
func (t *Tracker) Forget(worker string) {
	delete(t.workerList, worker)
	t.Bury(worker)
}

// Begin notes a request of ours on its way.
func (h *Health) Begin(bulk bool, fresh int, now clock.Instant) {
	if bulk {
		h.bulk++
	} else {
		h.live++
	}
	h.pending += int64(fresh)
	h.unread++
	h.step(now)
}

// Read notes that a prompt was read: its first event has come.
func (h *Health) Read(fresh int) {
	h.pending -= int64(fresh)
	h.unread--
}

// Pending is how many prompt tokens of ours wait to be read there, and Unread how
// many requests.
func (h *Health) Pending() int64 { return h.pending }

// Unread is how many requests of ours have had no first event yet.
func (h *Health) Unread() int { return h.unread }

// PeerReads notes that a peer gave the worker a prompt that takes a time to read.
func (h *Health) PeerReads(span clock.Duration, now clock.Instant) {
	h.peersRead = max(h.peersRead, now).Add(span)
}

// PeersReading is how long the worker still reads what peers told of.
func (h *Health) PeersReading(now clock.Instant) clock.Duration {
	return max(0, h.peersRead.Sub(now))
}

// End notes that a request of ours is over.
func (h *Health) End(bulk bool, now clock.Instant) {
	if bulk {
		h.bulk--
	} else {
		h.live--
	}
	h.step(now)
}

// Own is how many requests of ours are there.
func (h *Health) Own() int { return h.live + h.bulk }

// OwnBulk is how many of them are items of lots.
func (h *Health) OwnBulk() int { return h.bulk }

// ReadLoad reads a load header: running, waiting, slots.
func ReadLoad(header string) (busy, slots int, known bool) {
	fields := strings.Split(header, ",")
	if len(fields) < 2 {
		return 0, 0, false
	}
	running, first := strconv.Atoi(strings.TrimSpace(fields[0]))
	waiting, second := strconv.Atoi(strings.TrimSpace(fields[1]))
	if first != nil || second != nil {
		return 0, 0, false
	}
	if len(fields) > 2 {
		slots, _ = strconv.Atoi(strings.TrimSpace(fields[2]))
	}
	return running + waiting, slots, true
}

// Load takes the load header of an answer.
func (h *Health) Load(header string, now clock.Instant) {
	if busy, _, known := ReadLoad(header); known {
		h.observe(busy, now)
	}
}

// Failed notes a failure; peers are told of it while the worker is ejected here.
func (h *Health) Failed(ejected clock.Duration, now clock.Instant) {
	h.failures++
	if ejected > 0 {
		h.suspectUntil = now.Add(ejected)
	}
}

// Answered notes an answer that came as it should.
func (h *Health) Answered(took clock.Duration) {
	h.answers++
	milliseconds := clock.ToMilliseconds(took)
	if h.tookMs == 0 {
		h.tookMs = milliseconds
	}
	h.tookMs += 0.1 * (milliseconds - h.tookMs)
}

// Suspect tells whether the worker is ejected here, or told of by peers.
func (h *Health) Suspect(now clock.Instant) bool {
	return now < h.suspectUntil || h.Told(now)
}

// Told tells whether several peers have ejected the worker.
func (h *Health) Told(now clock.Instant) bool {
	return h.suspected(now)
}

// TookMs is the usual time of an answer.
func (h *Health) TookMs() float64 { return h.tookMs }

// Counts gives answers and failures, for the shell.
func (h *Health) Counts() (answers, failures int64) { return h.answers, h.failures }

// Full notes that the worker turned a request away for want of room.
func (h *Health) Full(capacity int, now clock.Instant) {
	// Our own finding, for a moment: it may be our connections that are spent, so
	// peers are not told.
	h.full = observation{known: true, count: capacity + constants.QueueAheadMax, at: now, own: h.Own()}
}
