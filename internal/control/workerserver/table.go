// Package workerserver is a controller's registration of workers: their calls over HTTP, the
// table of workers with its file, and the durability of drains and departures. The table's
// rules, without I/O, are package workers.
//
// A drain or a departure is acknowledged once a majority of the acceptors has it on disk
// and the processes in contact were notified (docs/control/4-state-not-history.md). A
// controller that has just started acknowledges nothing until a majority told it what it
// knows of the workers (recovery.go).
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
	// recovered is set once a majority of the acceptors told what it knows of workers.
	recovered atomic.Bool

	// lock guards the fields below.
	lock     sync.Mutex
	registry *workers.Registry
	// fromFile are the workers of the file, until the table is recovered.
	fromFile []messages.Worker
}

// OpenTable reads the file of workers. heartbeat is the period of workers' calls.
func OpenTable(disk recordlog.Disk, heartbeat clock.Duration) (*Table, error) {
	file, fromFile, err := openWorkerFile(disk)
	if err != nil {
		return nil, err
	}
	return &Table{file: file, registry: workers.New(heartbeat), fromFile: fromFile}, nil
}

// Run writes the file until stop closes.
func (t *Table) Run(stop <-chan struct{}, log hclog.Logger) { t.file.run(stop, t.toPersist, log) }

// toPersist gives all that belongs in the file.
func (t *Table) toPersist() []messages.Worker {
	t.lock.Lock()
	defer t.lock.Unlock()
	return append(t.registry.All(clock.Now()), t.fromFile...)
}

// Recovering tells whether this process has started and has not recovered the workers from a majority of the
// acceptors yet: until then it takes no calls of workers, who go to the next
// controller, and confirms none.
func (t *Table) Recovering() bool { return !t.recovered.Load() }

// Merge takes entries of another table.
func (t *Table) Merge(entries []messages.Worker) {
	t.lock.Lock()
	defer t.lock.Unlock()
	for _, worker := range entries {
		if t.registry.Merge(worker, clock.Now()) {
			t.file.enqueue(worker)
		}
	}
}

// heartbeat takes a worker's own call. It gives the worker as it then stands, and whether
// the call changed anything.
func (t *Table) heartbeat(worker messages.Worker) (messages.Worker, bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	changed := t.registry.Heartbeat(worker, clock.Now())
	worker, _ = t.registry.Get(worker.ID)
	return worker, changed
}

// Get finds a worker.
func (t *Table) Get(id string) (messages.Worker, bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.registry.Get(id)
}

// All gives every worker, with its age, in order of the ids.
func (t *Table) All() []messages.Worker {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.registry.All(clock.Now())
}

// Present names the workers that have not departed and called lately.
func (t *Table) Present() []string {
	var present []string
	for _, worker := range t.All() {
		if worker.Phase != messages.PhaseDeparted && worker.AgeMs < constants.ReplaceAfter.Milliseconds() {
			present = append(present, worker.ID)
		}
	}
	return present
}

// Groups counts the steady workers that called lately, and their capacity, by service and
// zone, in order.
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

// Digest stands for the table in the incarnation of a process.
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

// HeartbeatsSince gives the hashes of the workers whose calls were taken here after an
// instant.
func (t *Table) HeartbeatsSince(instant clock.Instant) []uint32 {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.registry.HeartbeatsSince(instant)
}

// ConfirmHeartbeats takes another controller's list of workers that called it lately.
func (t *Table) ConfirmHeartbeats(hashes []uint32) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.registry.ConfirmHeartbeats(hashes, clock.Now())
}

// BucketSums are the table's sums for a pull from another controller.
func (t *Table) BucketSums() []byte {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.registry.BucketSums()
}

// differing gives the changes after a clock in buckets that differ from those of the asker,
// with the digest of the table that they lead to.
func (t *Table) differing(version uint64, buckets []byte, incarnation int64) ([]messages.Worker, messages.Digest) {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.registry.Differing(version, buckets, clock.Now()), t.registry.Digest(incarnation)
}

// forget drops workers that departed or were silent for long.
func (t *Table) forget() {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.registry.Forget(clock.Now().Add(-constants.ForgetAfter))
}
