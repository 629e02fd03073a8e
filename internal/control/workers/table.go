package workers

import (
	"hash/fnv"
	"sort"
	"strconv"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Hash is the short hash by which a worker is named where its id is known to both
// sides. Two workers with one hash, a chance of one in 20,000 at 600 workers, only
// confirm each other's heartbeats.
func Hash(id string) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(id))
	return sum.Sum32()
}

// checksum stands for one versioned entry in the sum of the table.
func checksum(worker messages.Worker) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(worker.ID + "/" + strconv.FormatInt(worker.CallCount, 16) + "/" + strconv.Itoa(int(worker.Phase))))
	return sum.Sum64()
}

// put keeps a changed entry. The table's sum moves with it.
func (r *Registry) put(have *entry, worker messages.Worker) {
	if have.change > 0 {
		r.toggle(have.worker)
	}
	r.version++
	r.invalidateLists()
	have.worker, have.change = worker, r.version
	r.toggle(worker)
}

// toggle adds an entry to the sums of the table, or takes it out again.
func (r *Registry) toggle(worker messages.Worker) {
	sum := checksum(worker)
	r.sum ^= sum
	r.buckets.toggle(worker.ID, sum)
}

// invalidateLists drops the lists that were kept.
func (r *Registry) invalidateLists() {
	clear(r.byService)
	r.sorted = nil
}

// drop forgets an entry.
func (r *Registry) drop(id string) {
	entry := r.entries[id]
	r.toggle(entry.worker)
	r.invalidateLists()
	delete(r.entries, id)
	delete(r.idByHash, Hash(id))
	delete(r.overdue, Hash(id))
}

// Digest stands for the table: its versions, not its heartbeats.
func (r *Registry) Digest(incarnation int64) messages.Digest {
	return messages.Digest{Incarnation: incarnation, Clock: r.version, Sum: r.sum, Count: len(r.entries)}
}

// Version counts the changes.
func (r *Registry) Version() uint64 { return r.version }

// Heartbeat takes a worker's own call and tells whether it changed anything that others
// must hear. A plain heartbeat changes nothing: the version of an entry is the count
// of the call that last changed it.
func (r *Registry) Heartbeat(worker messages.Worker, now clock.Instant) bool {
	entry := r.entries[worker.ID]
	if entry == nil {
		changed := r.Merge(worker, now)
		entry = r.entries[worker.ID]
		entry.lastCallCount, entry.lastHeartbeat, entry.lastDirect = worker.CallCount, now, now
		return changed
	}
	late := worker.CallCount <= max(entry.lastCallCount, entry.worker.CallCount)
	entry.lastCallCount = max(entry.lastCallCount, worker.CallCount)
	entry.lastHeartbeat, entry.lastDirect = max(entry.lastHeartbeat, now), now
	was := entry.worker
	same := worker.Address == was.Address && worker.Backend == was.Backend && worker.Capacity == was.Capacity &&
		(worker.WarmupMs > 0) == (was.WarmupMs > 0)
	if worker.Phase <= was.Phase && (late || same || worker.Backend == "") {
		return false
	}
	return r.Merge(worker, now)
}

// HeartbeatsSince gives the hashes of the workers whose calls were taken here after a
// moment.
func (r *Registry) HeartbeatsSince(instant clock.Instant) []uint32 {
	var hashes []uint32
	for id, entry := range r.entries {
		if entry.lastDirect > instant {
			hashes = append(hashes, Hash(id))
		}
	}
	sort.Slice(hashes, func(left, right int) bool { return hashes[left] < hashes[right] })
	return hashes
}

// ConfirmHeartbeats takes another controller's list of workers that sent a heartbeat there.
func (r *Registry) ConfirmHeartbeats(hashes []uint32, now clock.Instant) {
	for _, hash := range hashes {
		if entry := r.entries[r.idByHash[hash]]; entry != nil {
			entry.lastHeartbeat = max(entry.lastHeartbeat, now)
		}
	}
}

// Overdue lists the steady workers that missed several heartbeats, with their ages.
func (r *Registry) Overdue(now clock.Instant) []messages.Overdue {
	var found []messages.Overdue
	for id, entry := range r.entries {
		sinceContact := now.Sub(entry.lastHeartbeat)
		if entry.worker.Phase == messages.PhaseSteady && sinceContact > constants.HeartbeatsSuspect*r.heartbeatPeriod {
			found = append(found, messages.Overdue{WorkerHash: Hash(id), AgeMs: sinceContact.Milliseconds()})
		}
	}
	sort.Slice(found, func(left, right int) bool { return found[left].WorkerHash < found[right].WorkerHash })
	return found
}

// ApplyOverdue takes a controller's list of all silent workers: whoever is not on it has
// sent one within the heartbeats that may be missed. Of two reports on one worker the younger
// counts.
func (r *Registry) ApplyOverdue(list []messages.Overdue, now clock.Instant) {
	next := map[uint32]bool{}
	for _, overdue := range list {
		entry := r.entries[r.idByHash[overdue.WorkerHash]]
		if entry == nil {
			continue
		}
		entry.lastHeartbeat = max(entry.lastHeartbeat, now-clock.Instant(overdue.AgeMs)*1_000_000)
		if !r.overdue[overdue.WorkerHash] && r.confirmed > 0 {
			entry.lastHeartbeat = max(entry.lastHeartbeat, r.confirmed-clock.Instant(constants.HeartbeatsSuspect*r.heartbeatPeriod))
		}
		next[overdue.WorkerHash] = true
	}
	r.overdue, r.confirmed = next, now
}

// sinceLastHeartbeat is how long ago a worker's last heartbeat came, here or at a controller.
func (r *Registry) sinceLastHeartbeat(id string, have *entry, now clock.Instant) clock.Duration {
	if r.overdue[Hash(id)] {
		return now.Sub(have.lastHeartbeat)
	}
	return now.Sub(max(have.lastHeartbeat, r.confirmed))
}

// Forget drops what was silent or gone for long. A process that controllers have notified of
// the silent ones forgets those only: that it gets no heartbeats itself says nothing of the rest.
func (r *Registry) Forget(now clock.Instant) {
	for id, entry := range r.entries {
		partitioned := r.confirmed == 0 || r.overdue[Hash(id)] || entry.worker.Phase != messages.PhaseSteady
		if partitioned && now.Sub(entry.lastHeartbeat) > constants.ForgetAfter {
			r.drop(id)
		}
	}
}
