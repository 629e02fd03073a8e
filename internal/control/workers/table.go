package workers

import (
	"hash/fnv"
	"sort"
	"strconv"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Hash returns the short hash that identifies a worker in messages between processes that both know
// its id. Among 600 workers, the chance that two share a hash is one in 20,000. A table resolves a
// shared hash only to the worker that was added last: heartbeats of either worker that another process
// reports count for that one alone, while a report that the hash is overdue makes both count as
// overdue. Once either worker is dropped, reports with the hash are ignored until a worker with that
// hash is added again.
func Hash(id string) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(id))
	return sum.Sum32()
}

// checksum returns the contribution of one versioned entry to the sum of the table.
func checksum(worker messages.Worker) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(worker.ID + "/" + strconv.FormatInt(worker.CallCount, 16) + "/" + strconv.Itoa(int(worker.Phase))))
	return sum.Sum64()
}

// put stores the changed state of an entry, and updates the table's version and sums.
func (r *Registry) put(current *entry, worker messages.Worker) {
	if current.changeVersion > 0 {
		r.toggle(current.worker)
	}
	r.version++
	r.invalidateLists()
	current.worker, current.changeVersion = worker, r.version
	r.toggle(worker)
}

// toggle adds an entry to the sums of the table, or removes it if it was added before.
func (r *Registry) toggle(worker messages.Worker) {
	sum := checksum(worker)
	r.sum ^= sum
	r.buckets.toggle(worker.ID, sum)
}

// invalidateLists drops the cached lists.
func (r *Registry) invalidateLists() {
	clear(r.byService)
	r.sorted = nil
}

// drop removes an entry.
func (r *Registry) drop(id string) {
	entry := r.entries[id]
	r.toggle(entry.worker)
	r.invalidateLists()
	delete(r.entries, id)
	delete(r.idByHash, Hash(id))
	delete(r.overdue, Hash(id))
}

// Digest returns the digest of the table. It covers the versions of the entries, and not their heartbeats.
func (r *Registry) Digest(incarnation int64) messages.Digest {
	return messages.Digest{Incarnation: incarnation, Clock: r.version, Sum: r.sum, Count: len(r.entries)}
}

// Version returns the number of entries that were added or changed so far. Removals do not count.
func (r *Registry) Version() uint64 { return r.version }

// Heartbeat applies a worker's own call and reports whether it made a change that must be sent to
// other processes. A plain heartbeat changes nothing: the version of an entry is the count
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
	previous := entry.worker
	same := worker.Address == previous.Address && worker.Backend == previous.Backend && worker.Capacity == previous.Capacity &&
		(worker.WarmupMs > 0) == (previous.WarmupMs > 0)
	if worker.Phase <= previous.Phase && (late || same || worker.Backend == "") {
		return false
	}
	return r.Merge(worker, now)
}

// HeartbeatsSince returns the hashes of the workers whose calls this process received after an
// instant.
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

// ConfirmHeartbeats applies another controller's list of workers that sent a heartbeat to it.
func (r *Registry) ConfirmHeartbeats(hashes []uint32, now clock.Instant) {
	for _, hash := range hashes {
		if entry := r.entries[r.idByHash[hash]]; entry != nil {
			entry.lastHeartbeat = max(entry.lastHeartbeat, now)
		}
	}
}

// Overdue lists the steady workers that missed several heartbeats, with their ages.
func (r *Registry) Overdue(now clock.Instant) []messages.Overdue {
	var list []messages.Overdue
	for id, entry := range r.entries {
		sinceContact := now.Sub(entry.lastHeartbeat)
		if entry.worker.Phase == messages.PhaseSteady && sinceContact > constants.HeartbeatsSuspect*r.heartbeatPeriod {
			list = append(list, messages.Overdue{WorkerHash: Hash(id), AgeMs: sinceContact.Milliseconds()})
		}
	}
	sort.Slice(list, func(left, right int) bool { return list[left].WorkerHash < list[right].WorkerHash })
	return list
}

// ApplyOverdue applies a controller's list of all silent workers. A worker that is not on it has
// sent a heartbeat within the last constants.HeartbeatsSuspect periods. Of two reports about one worker,
// the one with the later heartbeat counts.
func (r *Registry) ApplyOverdue(list []messages.Overdue, now clock.Instant) {
	next := map[uint32]bool{}
	for _, overdue := range list {
		entry := r.entries[r.idByHash[overdue.WorkerHash]]
		if entry == nil {
			continue
		}
		entry.lastHeartbeat = max(entry.lastHeartbeat, now-clock.Instant(overdue.AgeMs)*1_000_000)
		if !r.overdue[overdue.WorkerHash] && r.overdueReportedAt > 0 {
			entry.lastHeartbeat = max(entry.lastHeartbeat, r.overdueReportedAt-clock.Instant(constants.HeartbeatsSuspect*r.heartbeatPeriod))
		}
		next[overdue.WorkerHash] = true
	}
	r.overdue, r.overdueReportedAt = next, now
}

// sinceLastHeartbeat returns the time since a worker's last heartbeat to this process or a controller.
// For a worker that is not on the last list of silent workers, it is at most the time since that list
// was received.
func (r *Registry) sinceLastHeartbeat(id string, current *entry, now clock.Instant) clock.Duration {
	if r.overdue[Hash(id)] {
		return now.Sub(current.lastHeartbeat)
	}
	return now.Sub(max(current.lastHeartbeat, r.overdueReportedAt))
}

// Forget drops workers whose last heartbeat is older than constants.ForgetAfter. A process that receives
// lists of silent workers from controllers drops only the workers on the last list and those that are
// not steady. It receives no heartbeats itself, so their absence is no evidence about the other workers.
func (r *Registry) Forget(now clock.Instant) {
	for id, entry := range r.entries {
		forgettable := r.overdueReportedAt == 0 || r.overdue[Hash(id)] || entry.worker.Phase != messages.PhaseSteady
		if forgettable && now.Sub(entry.lastHeartbeat) > constants.ForgetAfter {
			r.drop(id)
		}
	}
}
