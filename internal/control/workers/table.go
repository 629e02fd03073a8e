package workers

import (
	"hash/fnv"
	"sort"
	"strconv"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
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
func sumOf(worker messages.Worker) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(worker.ID + "/" + strconv.FormatInt(worker.Count, 16) + "/" + strconv.Itoa(int(worker.Phase))))
	return sum.Sum64()
}

// put keeps a changed entry. The table's sum moves with it.
func (registry *Registry) put(have *known, worker messages.Worker) {
	if have.change > 0 {
		registry.sum ^= sumOf(have.worker)
	}
	registry.clockValue++
	registry.changed()
	have.worker, have.change = worker, registry.clockValue
	registry.sum ^= sumOf(worker)
}

// changed drops the lists that were kept.
func (registry *Registry) changed() {
	clear(registry.named)
	registry.entries = nil
}

// drop forgets an entry.
func (registry *Registry) drop(id string) {
	have := registry.workerList[id]
	registry.sum ^= sumOf(have.worker)
	registry.changed()
	delete(registry.workerList, id)
	delete(registry.marks, MarkOf(id))
	delete(registry.overdue, MarkOf(id))
}

// Digest stands for the table: its versions, not its beats.
func (registry *Registry) Digest(life int64) messages.Digest {
	return messages.Digest{Life: life, Clock: registry.clockValue, Sum: registry.sum, Count: len(registry.workerList)}
}

// Clock counts the changes.
func (registry *Registry) Clock() uint64 { return registry.clockValue }

// Beat takes a worker's own call and tells whether it changed anything that others
// must hear. A plain heartbeat changes nothing: the version of an entry is the count
// of the call that last changed it.
func (registry *Registry) Beat(worker messages.Worker, now clock.Moment) bool {
	have := registry.workerList[worker.ID]
	if have == nil {
		changed := registry.Merge(worker, now)
		have = registry.workerList[worker.ID]
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
	return registry.Merge(worker, now)
}

// BeatenSince gives the marks of the workers whose calls were taken here after a
// moment.
func (registry *Registry) BeatenSince(moment clock.Moment) []uint32 {
	var marks []uint32
	for id, have := range registry.workerList {
		if have.direct > moment {
			marks = append(marks, MarkOf(id))
		}
	}
	sort.Slice(marks, func(left, right int) bool { return marks[left] < marks[right] })
	return marks
}

// Vouched takes another controller's word on who has beaten there.
func (registry *Registry) Vouched(marks []uint32, now clock.Moment) {
	for _, mark := range marks {
		if have := registry.workerList[registry.marks[mark]]; have != nil {
			have.heard = max(have.heard, now)
		}
	}
}

// Overdue lists the steady workers that missed several beats, with their ages.
func (registry *Registry) Overdue(now clock.Moment) []messages.Overdue {
	var found []messages.Overdue
	for id, have := range registry.workerList {
		silence := now.Since(have.heard)
		if have.worker.Phase == messages.PhaseSteady && silence > constants.BeatsMissed*registry.heartbeat {
			found = append(found, messages.Overdue{Mark: MarkOf(id), AgeMs: silence.Milliseconds()})
		}
	}
	sort.Slice(found, func(left, right int) bool { return found[left].Mark < found[right].Mark })
	return found
}

// Judged takes a controller's list of all silent workers: whoever is not on it has
// beaten within the beats that may be missed. Of two words on one worker the younger
// counts.
func (registry *Registry) Judged(list []messages.Overdue, now clock.Moment) {
	next := map[uint32]bool{}
	for _, one := range list {
		have := registry.workerList[registry.marks[one.Mark]]
		if have == nil {
			continue
		}
		have.heard = max(have.heard, now-clock.Moment(one.AgeMs)*1_000_000)
		if !registry.overdue[one.Mark] && registry.confirmed > 0 {
			have.heard = max(have.heard, registry.confirmed-clock.Moment(constants.BeatsMissed*registry.heartbeat))
		}
		next[one.Mark] = true
	}
	registry.overdue, registry.confirmed = next, now
}

// silence is how long a worker has not been heard, by own ears or by a controller's.
func (registry *Registry) silence(id string, have *known, now clock.Moment) clock.Span {
	if registry.overdue[MarkOf(id)] {
		return now.Since(have.heard)
	}
	return now.Since(max(have.heard, registry.confirmed))
}

// Forget drops what was silent or gone for long. A process that controllers have told of
// the silent ones forgets those only: its own deafness says nothing of the rest.
func (registry *Registry) Forget(now clock.Moment) {
	for id, have := range registry.workerList {
		silent := registry.confirmed == 0 || registry.overdue[MarkOf(id)] || have.worker.Phase != messages.PhaseSteady
		if silent && now.Since(have.heard) > constants.ForgetAfter {
			registry.drop(id)
		}
	}
}
