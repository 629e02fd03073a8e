// Package workerserver implements the registration of workers on a controller: their calls over HTTP,
// the table of workers with its file, and the durability of drains and departures. The rules of the
// table, without I/O, are in package workers.
//
// A drain or a departure is acknowledged once a majority of the acceptors has it on disk and either
// the processes in contact were notified or constants.BroadcastTimeout has passed
// (docs/control/4-state-not-history.md). One that this process knew already is not announced again. A
// controller that has just started acknowledges nothing until it has recovered the workers from a
// majority of the acceptors (recovery.go).
package workerserver

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/control/workers"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/recordlog"
)

// Table is a controller's table of workers with its file. It is safe for concurrent use.
type Table struct {
	file *workerFile
	// recovered is set once the workers were recovered from a majority of the acceptors.
	recovered atomic.Bool

	// lock guards the fields below.
	lock     sync.Mutex
	registry *workers.Registry
	// fromFile are the workers read from the file, until the table is recovered.
	fromFile []messages.Worker
}

// OpenTable opens the table and reads its file. heartbeat is the period of workers' calls.
func OpenTable(disk recordlog.Disk, heartbeat clock.Duration) (*Table, error) {
	file, fromFile, err := openWorkerFile(disk)
	if err != nil {
		return nil, err
	}
	return &Table{file: file, registry: workers.New(heartbeat), fromFile: fromFile}, nil
}

// Run writes changes to the file until stop is closed.
func (t *Table) Run(stop <-chan struct{}, log hclog.Logger) { t.file.run(stop, t.toPersist, log) }

// toPersist returns all workers that a rewrite of the file must contain.
func (t *Table) toPersist() []messages.Worker {
	t.lock.Lock()
	defer t.lock.Unlock()
	return append(t.registry.All(clock.Now()), t.fromFile...)
}

// Recovering reports whether this process has not yet recovered the workers from a majority of the
// acceptors since its start. Until then it rejects the calls of workers, which then try the next
// controller, and confirms no workers to other processes.
func (t *Table) Recovering() bool { return !t.recovered.Load() }

// Merge merges entries of another table, and queues those that changed this table for the file.
func (t *Table) Merge(entries []messages.Worker) {
	t.lock.Lock()
	defer t.lock.Unlock()
	for _, worker := range entries {
		if t.registry.Merge(worker, clock.Now()) {
			t.file.enqueue(worker)
		}
	}
}

// heartbeat applies a worker's own call. It returns the worker's state after the call, and whether
// the call changed anything.
func (t *Table) heartbeat(worker messages.Worker) (messages.Worker, bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	changed := t.registry.Heartbeat(worker, clock.Now())
	worker, _ = t.registry.Get(worker.ID)
	return worker, changed
}

// Get returns a worker by its id, without its age, and reports whether the table contains it.
func (t *Table) Get(id string) (messages.Worker, bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.registry.Get(id)
}

// All returns every worker, with its age, in order of the ids.
func (t *Table) All() []messages.Worker {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.registry.All(clock.Now())
}

// Present returns the ids of the workers that have not departed and that called within
// constants.ReplaceAfter.
func (t *Table) Present() []string {
	var present []string
	for _, worker := range t.All() {
		if worker.Phase != messages.PhaseDeparted && worker.AgeMs < constants.ReplaceAfter.Milliseconds() {
			present = append(present, worker.ID)
		}
	}
	return present
}

// Groups returns the number and the capacity of the steady workers that called within
// constants.ReplaceAfter, by service and zone, in order of these.
func (t *Table) Groups() []messages.WorkerGroup {
	byKey := map[[2]string]*messages.WorkerGroup{}
	for _, worker := range t.All() {
		if worker.Phase != messages.PhaseSteady || worker.AgeMs >= constants.ReplaceAfter.Milliseconds() {
			continue
		}
		key := [2]string{worker.Backend, worker.Zone}
		if byKey[key] == nil {
			byKey[key] = &messages.WorkerGroup{Service: worker.Backend, Zone: worker.Zone}
		}
		byKey[key].Workers++
		byKey[key].Slots += worker.Capacity
	}
	groups := make([]messages.WorkerGroup, 0, len(byKey))
	for _, group := range byKey {
		groups = append(groups, *group)
	}
	slices.SortFunc(groups, func(left, right messages.WorkerGroup) int {
		return strings.Compare(left.Service+"\x00"+left.Zone, right.Service+"\x00"+right.Zone)
	})
	return groups
}

// Digest returns the digest of the table for an incarnation of this process.
func (t *Table) Digest(incarnation int64) messages.Digest {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.registry.Digest(incarnation)
}

// Overdue lists the steady workers that missed several heartbeats.
func (t *Table) Overdue() []messages.Overdue {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.registry.Overdue(clock.Now())
}

// HeartbeatsSince returns the hashes of the workers whose calls this process received after an
// instant.
func (t *Table) HeartbeatsSince(instant clock.Instant) []uint32 {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.registry.HeartbeatsSince(instant)
}

// ConfirmHeartbeats applies another controller's list of workers that called it lately.
func (t *Table) ConfirmHeartbeats(hashes []uint32) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.registry.ConfirmHeartbeats(hashes, clock.Now())
}

// BucketSums returns the encoded sums of the table's buckets, for a pull from another controller.
func (t *Table) BucketSums() []byte {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.registry.BucketSums()
}

// differing returns the workers changed after a version whose buckets differ from the requester's sums,
// and the digest that the table then has.
func (t *Table) differing(version uint64, buckets []byte, incarnation int64) ([]messages.Worker, messages.Digest) {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.registry.Differing(version, buckets, clock.Now()), t.registry.Digest(incarnation)
}

// forget drops workers whose last heartbeat is more than twice constants.ForgetAfter ago: the registry
// subtracts constants.ForgetAfter once more from the time that it is given.
func (t *Table) forget() {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.registry.Forget(clock.Now().Add(-constants.ForgetAfter))
}
