// Package gauge keeps the vitals of workers, from what answers and peers say:
// passive observation first, since probes are priced. A step function without I/O.
package gauge

import (
	"strconv"
	"strings"

	"lemonarch/internal/almanac"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

// headerFresh is how long a load told in an answer is better than gossip (ours):
// a few requests' length.
const headerFresh = 350 * 1_000_000

type peerWord struct {
	live, bulk int
	suspect    bool
	at         watch.Moment
}

// Vitals is what is known of one worker.
type Vitals struct {
	live, bulk   int
	pending      int64
	unread       int
	peersRead    watch.Moment
	told         int
	toldAt       watch.Moment
	toldOwn      int
	peers        map[string]peerWord
	suspectUntil watch.Moment
	tookMs       float64
	failures     int64
	answers      int64
}

// Gauge holds the vitals of all workers.
type Gauge struct {
	workers map[string]*Vitals
}

// New makes an empty gauge.
func New() *Gauge { return &Gauge{workers: map[string]*Vitals{}} }

// Of gives the vitals of a worker.
func (gauge *Gauge) Of(worker string) *Vitals {
	vitals := gauge.workers[worker]
	if vitals == nil {
		vitals = &Vitals{peers: map[string]peerWord{}}
		gauge.workers[worker] = vitals
	}
	return vitals
}

// Forget drops a worker.
func (gauge *Gauge) Forget(worker string) { delete(gauge.workers, worker) }

// Begin notes a request of ours on its way.
func (vitals *Vitals) Begin(bulk bool, fresh int) {
	if bulk {
		vitals.bulk++
	} else {
		vitals.live++
	}
	vitals.pending += int64(fresh)
	vitals.unread++
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
func (vitals *Vitals) End(bulk bool) {
	if bulk {
		vitals.bulk--
	} else {
		vitals.live--
	}
}

// Own is how many requests of ours are there.
func (vitals *Vitals) Own() int { return vitals.live + vitals.bulk }

// OwnBulk is how many of them are items of lots.
func (vitals *Vitals) OwnBulk() int { return vitals.bulk }

// Weight is what we tell peers.
func (vitals *Vitals) Weight(worker string, now watch.Moment) pattern.Weight {
	return pattern.Weight{ID: worker, Live: vitals.live, Bulk: vitals.bulk, Suspect: now < vitals.suspectUntil}
}

// Idle tells that there is nothing to tell.
func (vitals *Vitals) Idle(now watch.Moment) bool {
	return vitals.live == 0 && vitals.bulk == 0 && now >= vitals.suspectUntil
}

// Peer takes a peer's word.
func (vitals *Vitals) Peer(peer string, weight pattern.Weight, now watch.Moment) {
	vitals.peers[peer] = peerWord{live: weight.Live, bulk: weight.Bulk, suspect: weight.Suspect, at: now}
}

// Load takes the load header of an answer: running, waiting, slots.
func (vitals *Vitals) Load(header string, now watch.Moment) {
	fields := strings.Split(header, ",")
	if len(fields) < 2 {
		return
	}
	running, first := strconv.Atoi(strings.TrimSpace(fields[0]))
	waiting, second := strconv.Atoi(strings.TrimSpace(fields[1]))
	if first != nil || second != nil {
		return
	}
	vitals.told, vitals.toldAt, vitals.toldOwn = running+waiting, now, vitals.Own()
}

// Running estimates how many requests of all nodes are at the worker.
func (vitals *Vitals) Running(now watch.Moment) int {
	count := vitals.Own()
	if vitals.toldAt > 0 && now.Since(vitals.toldAt) < headerFresh {
		return max(count, vitals.told+count-vitals.toldOwn)
	}
	for _, word := range vitals.peers {
		if now.Since(word.at) < almanac.GossipStale {
			count += word.live + word.bulk
		}
	}
	return count
}

// Bulk estimates how many of them are items of lots.
func (vitals *Vitals) Bulk(now watch.Moment) int {
	count := vitals.bulk
	for _, word := range vitals.peers {
		if now.Since(word.at) < almanac.GossipStale {
			count += word.bulk
		}
	}
	return count
}

// Failed notes a reset, a refusal to connect, or silence.
func (vitals *Vitals) Failed(now watch.Moment) {
	vitals.failures++
	vitals.suspectUntil = now.Plus(almanac.SuspectFor)
}

// Answered notes an answer that came as it should.
func (vitals *Vitals) Answered(took watch.Span) {
	vitals.answers++
	vitals.suspectUntil = 0
	milliseconds := watch.ToMilliseconds(took)
	if vitals.tookMs == 0 {
		vitals.tookMs = milliseconds
	}
	vitals.tookMs += 0.1 * (milliseconds - vitals.tookMs)
}

// Suspect tells whether the worker has just failed, here or at several peers.
func (vitals *Vitals) Suspect(now watch.Moment) bool {
	if now < vitals.suspectUntil {
		return true
	}
	count := 0
	for _, word := range vitals.peers {
		if word.suspect && now.Since(word.at) < almanac.GossipPeriod+almanac.GossipPeriod/2 {
			count++
		}
	}
	return count >= 2
}

// TookMs is the usual time of an answer.
func (vitals *Vitals) TookMs() float64 { return vitals.tookMs }

// Counts gives answers and failures, for the shell.
func (vitals *Vitals) Counts() (answers, failures int64) { return vitals.answers, vitals.failures }

// Full notes that the worker turned a request away for want of room.
func (vitals *Vitals) Full(capacity int, now watch.Moment) {
	vitals.told, vitals.toldAt, vitals.toldOwn = max(capacity+almanac.RoomAhead, vitals.told), now, vitals.Own()
}
