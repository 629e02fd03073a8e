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
	peersRead    clock.Moment
	seen         observation
	steps        [ownSteps]ownStep
	stepped      int
	full         observation
	suspects     map[string]clock.Moment
	suspectUntil clock.Moment
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
func (tracker *Tracker) Of(worker string) *Health {
	health := tracker.workerList[worker]
	if health == nil {
		health = &Health{}
		tracker.workerList[worker] = health
	}
	return health
}

// Forget drops a worker.
func (tracker *Tracker) Forget(worker string) {
	delete(tracker.workerList, worker)
	tracker.Bury(worker)
}

// Begin notes a request of ours on its way.
func (health *Health) Begin(bulk bool, fresh int, now clock.Moment) {
	if bulk {
		health.bulk++
	} else {
		health.live++
	}
	health.pending += int64(fresh)
	health.unread++
	health.step(now)
}

// Read notes that a prompt was read: its first event has come.
func (health *Health) Read(fresh int) {
	health.pending -= int64(fresh)
	health.unread--
}

// Pending is how many prompt tokens of ours wait to be read there, and Unread how
// many requests.
func (health *Health) Pending() int64 { return health.pending }

// Unread is how many requests of ours have had no first event yet.
func (health *Health) Unread() int { return health.unread }

// PeerReads notes that a peer gave the worker a prompt that takes a time to read.
func (health *Health) PeerReads(span clock.Span, now clock.Moment) {
	health.peersRead = max(health.peersRead, now).Plus(span)
}

// PeersReading is how long the worker still reads what peers told of.
func (health *Health) PeersReading(now clock.Moment) clock.Span {
	return max(0, health.peersRead.Since(now))
}

// End notes that a request of ours is over.
func (health *Health) End(bulk bool, now clock.Moment) {
	if bulk {
		health.bulk--
	} else {
		health.live--
	}
	health.step(now)
}

// Own is how many requests of ours are there.
func (health *Health) Own() int { return health.live + health.bulk }

// OwnBulk is how many of them are items of lots.
func (health *Health) OwnBulk() int { return health.bulk }

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
func (health *Health) Load(header string, now clock.Moment) {
	if busy, _, known := ReadLoad(header); known {
		health.observe(busy, now)
	}
}

// Failed notes a failure; peers are told of it while the worker is ejected here.
func (health *Health) Failed(ejected clock.Span, now clock.Moment) {
	health.failures++
	if ejected > 0 {
		health.suspectUntil = now.Plus(ejected)
	}
}

// Answered notes an answer that came as it should.
func (health *Health) Answered(took clock.Span) {
	health.answers++
	milliseconds := clock.ToMilliseconds(took)
	if health.tookMs == 0 {
		health.tookMs = milliseconds
	}
	health.tookMs += 0.1 * (milliseconds - health.tookMs)
}

// Suspect tells whether the worker is ejected here, or told of by peers.
func (health *Health) Suspect(now clock.Moment) bool {
	return now < health.suspectUntil || health.Told(now)
}

// Told tells whether several peers have ejected the worker.
func (health *Health) Told(now clock.Moment) bool {
	return health.suspected(now)
}

// TookMs is the usual time of an answer.
func (health *Health) TookMs() float64 { return health.tookMs }

// Counts gives answers and failures, for the shell.
func (health *Health) Counts() (answers, failures int64) { return health.answers, health.failures }

// Full notes that the worker turned a request away for want of room.
func (health *Health) Full(capacity int, now clock.Moment) {
	// Our own finding, for a moment: it may be our connections that are spent, so
	// peers are not told.
	health.full = observation{known: true, count: capacity + constants.RoomAhead, at: now, own: health.Own()}
}
