// Package gauge keeps the vitals of workers, from what answers and peers say:
// passive observation first, since probes are priced. A step function without I/O.
package gauge

import (
	"strconv"
	"strings"

	"lemonarch/internal/almanac"
	"lemonarch/internal/watch"
)

// Vitals is what is known of one worker.
type Vitals struct {
	live, bulk   int
	pending      int64
	unread       int
	peersRead    watch.Moment
	seen         observation
	steps        [ownSteps]ownStep
	stepped      int
	full         observation
	suspects     map[string]watch.Moment
	suspectUntil watch.Moment
	tookMs       float64
	failures     int64
	answers      int64
}

// Gauge holds the vitals of all workers.
type Gauge struct {
	workers map[string]*Vitals
	trusts  trustBook
}

// New makes an empty gauge.
func New() *Gauge { return &Gauge{workers: map[string]*Vitals{}} }

// Of gives the vitals of a worker.
func (gauge *Gauge) Of(worker string) *Vitals {
	vitals := gauge.workers[worker]
	if vitals == nil {
		vitals = &Vitals{}
		gauge.workers[worker] = vitals
	}
	return vitals
}

// Forget drops a worker.
func (gauge *Gauge) Forget(worker string) {
	delete(gauge.workers, worker)
	gauge.Bury(worker)
}

// Begin notes a request of ours on its way.
func (vitals *Vitals) Begin(bulk bool, fresh int, now watch.Moment) {
	if bulk {
		vitals.bulk++
	} else {
		vitals.live++
	}
	vitals.pending += int64(fresh)
	vitals.unread++
	vitals.step(now)
}

// Read notes that a prompt was read: its first event has come.
func (vitals *Vitals) Read(fresh int) {
	vitals.pending -= int64(fresh)
	vitals.unread--
}

// Pending is how many prompt tokens of ours wait to be read there, and Unread how
// many requests.
func (vitals *Vitals) Pending() int64 { return vitals.pending }

// Unread is how many requests of ours have had no first event yet.
func (vitals *Vitals) Unread() int { return vitals.unread }

// PeerReads notes that a peer gave the worker a prompt that takes a time to read.
func (vitals *Vitals) PeerReads(span watch.Span, now watch.Moment) {
	vitals.peersRead = max(vitals.peersRead, now).Plus(span)
}

// PeersReading is how long the worker still reads what peers told of.
func (vitals *Vitals) PeersReading(now watch.Moment) watch.Span {
	return max(0, vitals.peersRead.Since(now))
}

// End notes that a request of ours is over.
func (vitals *Vitals) End(bulk bool, now watch.Moment) {
	if bulk {
		vitals.bulk--
	} else {
		vitals.live--
	}
	vitals.step(now)
}

// Own is how many requests of ours are there.
func (vitals *Vitals) Own() int { return vitals.live + vitals.bulk }

// OwnBulk is how many of them are items of lots.
func (vitals *Vitals) OwnBulk() int { return vitals.bulk }

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
func (vitals *Vitals) Load(header string, now watch.Moment) {
	if busy, _, known := ReadLoad(header); known {
		vitals.observe(busy, now)
	}
}

// Failed notes a failure; peers are told of it while the worker is ejected here.
func (vitals *Vitals) Failed(ejected watch.Span, now watch.Moment) {
	vitals.failures++
	if ejected > 0 {
		vitals.suspectUntil = now.Plus(ejected)
	}
}

// Answered notes an answer that came as it should.
func (vitals *Vitals) Answered(took watch.Span) {
	vitals.answers++
	milliseconds := watch.ToMilliseconds(took)
	if vitals.tookMs == 0 {
		vitals.tookMs = milliseconds
	}
	vitals.tookMs += 0.1 * (milliseconds - vitals.tookMs)
}

// Suspect tells whether the worker is ejected here, or told of by peers.
func (vitals *Vitals) Suspect(now watch.Moment) bool {
	return now < vitals.suspectUntil || vitals.Told(now)
}

// Told tells whether several peers have ejected the worker.
func (vitals *Vitals) Told(now watch.Moment) bool {
	return vitals.suspected(now)
}

// TookMs is the usual time of an answer.
func (vitals *Vitals) TookMs() float64 { return vitals.tookMs }

// Counts gives answers and failures, for the shell.
func (vitals *Vitals) Counts() (answers, failures int64) { return vitals.answers, vitals.failures }

// Full notes that the worker turned a request away for want of room.
func (vitals *Vitals) Full(capacity int, now watch.Moment) {
	// Our own finding, for a moment: it may be our connections that are spent, so
	// peers are not told.
	vitals.full = observation{known: true, count: capacity + almanac.RoomAhead, at: now, own: vitals.Own()}
}
