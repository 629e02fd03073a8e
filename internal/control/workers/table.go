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
	_, _ = sum.Write([]byte(worker.ID + "/" + strconv.FormatInt(worker.CallCount, 16) + "/" + strconv.Itoa(int(worker.Phase))))
	return sum.Sum64()
}

// put keeps a changed entry. The table's sum moves with it.
func (r *Registry) put(have *known, worker messages.Worker) {
	if have.change > 0 {
		r.sum ^= sumOf(have.worker)
	}
	r.clockValue++
	r.changed()
	have.worker, have.change = worker, r.clockValue
	r.sum ^= sumOf(worker)
}

// changed drops the lists that were kept.
func (r *Registry) changed() {
	clear(r.named)
	r.entries = nil
}

// drop forgets an entry.
func (r *Registry) drop(id string) {
	have := r.workerList[id]
	r.sum ^= sumOf(have.worker)
	r.changed()
	delete(r.workerList, id)
	delete(r.marks, MarkOf(id))
	delete(r.overdue, MarkOf(id))
}

// Digest stands for the table: its versions, not its beats.
func (r *Registry) Digest(incarnation int64) messages.Digest {
	return messages.Digest{Incarnation: incarnation, Clock: r.clockValue, Sum: r.sum, Count: len(r.workerList)}
}

// Clock counts the changes.
func (r *Registry) Clock() uint64 { return r.clockValue }

// Beat takes a worker's own call and tells whether it changed anything that others
// must hear. A plain heartbeat changes nothing: the version of an entry is the count
// of the call that last changed it.
func (r *Registry) Beat(worker messages.Worker, now clock.Instant) bool {
	have := r.workerList[worker.ID]
	if have == nil {
		changed := r.Merge(worker, now)
		have = r.workerList[worker.ID]
		have.latest, have.heard, have.direct = worker.CallCount, now, now
		return changed
	}
	late := worker.CallCount <= max(have.latest, have.worker.CallCount)
	have.latest = max(have.latest, worker.CallCount)
	have.heard, have.direct = max(have.heard, now), now
	was := have.worker
	same := worker.Address == was.Address && worker.Backend == was.Backend && worker.Capacity == was.Capacity &&
		(worker.WarmupMs > 0) == (was.WarmupMs > 0)
	if worker.Phase <= was.Phase && (late || same || worker.Backend == "") {
		return false
	}
	return r.Merge(worker, now)
}

// BeatenSince gives the marks of the workers whose calls were taken here after a
// moment.
func (r *Registry) BeatenSince(instant clock.Instant) []uint32 {
	var hashes []uint32
	for id, have := range r.workerList {
		if have.direct > instant {
			hashes = append(hashes, MarkOf(id))
		}
	}
	sort.Slice(hashes, func(left, right int) bool { return hashes[left] < hashes[right] })
	return hashes
}

// Vouched takes another controller's word on who has beaten there.
func (r *Registry) Vouched(hashes []uint32, now clock.Instant) {
	for _, hash := range hashes {
		if have := r.workerList[r.marks[hash]]; have != nil {
			have.heard = max(have.heard, now)
		}
	}
}

// Overdue lists the steady workers that missed several beats, with their ages.
func (r *Registry) Overdue(now clock.Instant) []messages.Overdue {
	var found []messages.Overdue
	for id, have := range r.workerList {
		silence := now.Sub(have.heard)
		if have.worker.Phase == messages.PhaseSteady && silence > constants.HeartbeatsSuspect*r.heartbeat {
			found = append(found, messages.Overdue{WorkerHash: MarkOf(id), AgeMs: silence.Milliseconds()})
		}
	}
	sort.Slice(found, func(left, right int) bool { return found[left].WorkerHash < found[right].WorkerHash })
	return found
}

// Judged takes a controller's list of all silent workers: whoever is not on it has
// beaten within the beats that may be missed. Of two words on one worker the younger
// counts.
func (r *Registry) Judged(list []messages.Overdue, now clock.Instant) {
	next := map[uint32]bool{}
	for _, overdue := range list {
		have := r.workerList[r.marks[overdue.WorkerHash]]
		if have == nil {
			continue
		}
		have.heard = max(have.heard, now-clock.Instant(overdue.AgeMs)*1_000_000)
		if !r.overdue[overdue.WorkerHash] && r.confirmed > 0 {
			have.heard = max(have.heard, r.confirmed-clock.Instant(constants.HeartbeatsSuspect*r.heartbeat))
		}
		next[overdue.WorkerHash] = true
	}
	r.overdue, r.confirmed = next, now
}

// silence is how long a worker has not been heard, by own ears or by a controller's.
func (r *Registry) silence(id string, have *known, now clock.Instant) clock.Duration {
	if r.overdue[MarkOf(id)] {
		return now.Sub(have.heard)
	}
	return now.Sub(max(have.heard, r.confirmed))
}

// Forget drops what was silent or gone for long. A process that controllers have told of
// the silent ones forgets those only: its own deafness says nothing of the rest.
func (r *Registry) Forget(now clock.Instant) {
	for id, have := range r.workerList {
		silent := r.confirmed == 0 || r.overdue[MarkOf(id)] || have.worker.Phase != messages.PhaseSteady
		if silent && now.Sub(have.heard) > constants.ForgetAfter {
			r.drop(id)
		}
	}
}
