package roster

import (
	"hash/fnv"
	"sort"
	"strconv"

	"lemonarch/internal/almanac"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

// MarkOf is the short hash by which a worker is named where its id is known to both
// sides. Two workers with one mark, a chance of one in 20,000 at 600 workers, only
// vouch for each other's beats.
func MarkOf(id string) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(id))
	return sum.Sum32()
}

// sumOf stands for one versioned entry in the sum of the table.
func sumOf(worker pattern.Worker) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(worker.ID + "/" + strconv.FormatInt(worker.Count, 16) + "/" + strconv.Itoa(int(worker.Phase))))
	return sum.Sum64()
}

// put keeps a changed entry. The table's sum moves with it.
func (roster *Roster) put(have *known, worker pattern.Worker) {
	if have.change > 0 {
		roster.sum ^= sumOf(have.worker)
	}
	roster.clock++
	roster.changed()
	have.worker, have.change = worker, roster.clock
	roster.sum ^= sumOf(worker)
}

// changed drops the lists that were kept.
func (roster *Roster) changed() {
	clear(roster.named)
	roster.entries = nil
}

// drop forgets an entry.
func (roster *Roster) drop(id string) {
	have := roster.workers[id]
	roster.sum ^= sumOf(have.worker)
	roster.changed()
	delete(roster.workers, id)
	delete(roster.marks, MarkOf(id))
	delete(roster.overdue, MarkOf(id))
}

// Digest stands for the table: its versions, not its beats.
func (roster *Roster) Digest(life int64) pattern.Digest {
	return pattern.Digest{Life: life, Clock: roster.clock, Sum: roster.sum, Count: len(roster.workers)}
}

// Clock counts the changes.
func (roster *Roster) Clock() uint64 { return roster.clock }

// Beat takes a worker's own call and tells whether it changed anything that others
// must hear. A plain heartbeat changes nothing: the version of an entry is the count
// of the call that last changed it.
func (roster *Roster) Beat(worker pattern.Worker, now watch.Moment) bool {
	have := roster.workers[worker.ID]
	if have == nil {
		changed := roster.Merge(worker, now)
		have = roster.workers[worker.ID]
		have.latest, have.heard, have.direct = worker.Count, now, now
		return changed
	}
	late := worker.Count <= max(have.latest, have.worker.Count)
	have.latest = max(have.latest, worker.Count)
	have.heard, have.direct = max(have.heard, now), now
	was := have.worker
	same := worker.Address == was.Address && worker.Backend == was.Backend && worker.Capacity == was.Capacity &&
		(worker.WarmupMs > 0) == (was.WarmupMs > 0)
	if worker.Phase <= was.Phase && (late || same || worker.Backend == "") {
		return false
	}
	return roster.Merge(worker, now)
}

// BeatenSince gives the marks of the workers whose calls were taken here after a
// moment.
func (roster *Roster) BeatenSince(moment watch.Moment) []uint32 {
	var marks []uint32
	for id, have := range roster.workers {
		if have.direct > moment {
			marks = append(marks, MarkOf(id))
		}
	}
	sort.Slice(marks, func(left, right int) bool { return marks[left] < marks[right] })
	return marks
}

// Vouched takes another foreman's word on who has beaten there.
func (roster *Roster) Vouched(marks []uint32, now watch.Moment) {
	for _, mark := range marks {
		if have := roster.workers[roster.marks[mark]]; have != nil {
			have.heard = max(have.heard, now)
		}
	}
}

// Overdue lists the steady workers that missed several beats, with their ages.
func (roster *Roster) Overdue(now watch.Moment) []pattern.Overdue {
	var found []pattern.Overdue
	for id, have := range roster.workers {
		silence := now.Since(have.heard)
		if have.worker.Phase == pattern.PhaseSteady && silence > almanac.BeatsMissed*roster.heartbeat {
			found = append(found, pattern.Overdue{Mark: MarkOf(id), AgeMs: silence.Milliseconds()})
		}
	}
	sort.Slice(found, func(left, right int) bool { return found[left].Mark < found[right].Mark })
	return found
}

// Judged takes a foreman's list of all silent workers: whoever is not on it has
// beaten within the beats that may be missed. Of two words on one worker the younger
// counts.
func (roster *Roster) Judged(list []pattern.Overdue, now watch.Moment) {
	next := map[uint32]bool{}
	for _, one := range list {
		have := roster.workers[roster.marks[one.Mark]]
		if have == nil {
			continue
		}
		have.heard = max(have.heard, now-watch.Moment(one.AgeMs)*1_000_000)
		if !roster.overdue[one.Mark] && roster.confirmed > 0 {
			have.heard = max(have.heard, roster.confirmed-watch.Moment(almanac.BeatsMissed*roster.heartbeat))
		}
		next[one.Mark] = true
	}
	roster.overdue, roster.confirmed = next, now
}

// silence is how long a worker has not been heard, by own ears or by a foreman's.
func (roster *Roster) silence(id string, have *known, now watch.Moment) watch.Span {
	if roster.overdue[MarkOf(id)] {
		return now.Since(have.heard)
	}
	return now.Since(max(have.heard, roster.confirmed))
}

// Forget drops what was silent or gone for long. A process that foremen have told of
// the silent ones forgets those only: its own deafness says nothing of the rest.
func (roster *Roster) Forget(now watch.Moment) {
	for id, have := range roster.workers {
		silent := roster.confirmed == 0 || roster.overdue[MarkOf(id)] || have.worker.Phase != pattern.PhaseSteady
		if silent && now.Since(have.heard) > almanac.ForgetAfter {
			roster.drop(id)
		}
	}
}
