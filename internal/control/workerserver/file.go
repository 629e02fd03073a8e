package workerserver

import (
	"sync/atomic"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/recordlog"
)

const (
	// workerFileName is the name of the file of known workers.
	workerFileName = "workers"
	// workerFileLimit is the size, in bytes, above which the file is rewritten.
	workerFileLimit = 512 << 10
)

// ErrWorkersFile is returned if the file of workers can't be read or written.
var ErrWorkersFile = errs.Define("workers on disk")

// workerFile is the file of known workers. A drain or a departure is on the disks of a
// majority of the acceptors before it is acknowledged (persist.go). The state of a steady worker is
// written asynchronously and may be lost, since its next heartbeat repeats it.
type workerFile struct {
	log   *recordlog.Log
	queue chan writeRequest
	// rewriteDue makes the next write rewrite the complete file.
	rewriteDue atomic.Bool
}

// writeRequest is a list of workers to write.
type writeRequest struct {
	workers []messages.Worker
	// done receives the result of the write, after the sync. It may be nil.
	done chan error
}

// openWorkerFile opens the file and reads the workers in it. The last record of each worker counts, with
// the latest phase of all its records.
func openWorkerFile(disk recordlog.Disk) (*workerFile, []messages.Worker, error) {
	known := map[string]messages.Worker{}
	var order []string
	log, err := recordlog.Open(disk, workerFileName, func(_ int64, body []byte) error {
		worker := messages.Worker{}
		if _, cause := worker.UnmarshalMsg(body); cause != nil {
			return ErrWorkersFile.Wrap(cause, workerFileName)
		}
		if _, observed := known[worker.ID]; !observed {
			order = append(order, worker.ID)
		}
		worker.Phase = max(worker.Phase, known[worker.ID].Phase)
		known[worker.ID] = worker
		return nil
	})
	if err != nil {
		return nil, nil, ErrWorkersFile.Wrap(err, "open")
	}
	var workers []messages.Worker
	for _, id := range order {
		worker := known[id]
		worker.AgeMs = 0
		workers = append(workers, worker)
	}
	const queueCapacity = 256
	return &workerFile{log: log, queue: make(chan writeRequest, queueCapacity)}, workers, nil
}

// enqueue queues a change that need not be durable before it is acknowledged, so that a worker's call
// doesn't wait for the disk. If the queue is full, the change is dropped: the next rewrite writes it, and
// if the process restarts before that, the worker's next heartbeat repeats it.
func (f *workerFile) enqueue(worker messages.Worker) {
	select {
	case f.queue <- writeRequest{workers: []messages.Worker{worker}}:
	default:
	}
}

// persist writes workers and returns once they are on disk. It returns an error if that failed or took
// longer than constants.BroadcastTimeout.
func (f *workerFile) persist(workers []messages.Worker) error {
	timer := clock.NewTimer(constants.BroadcastTimeout)
	defer timer.Stop()
	request := writeRequest{workers: workers, done: make(chan error, 1)}
	select {
	case f.queue <- request:
	case <-timer.C:
		return ErrWorkersFile.New("the disk lags behind")
	}
	select {
	case err := <-request.done:
		return err
	case <-timer.C:
		return ErrWorkersFile.New("the disk lags behind")
	}
}

// requestRewrite makes the writer rewrite the file, and does not wait for it.
func (f *workerFile) requestRewrite() {
	f.rewriteDue.Store(true)
	select {
	case f.queue <- writeRequest{}:
	default:
		// The queue is full, so a write that does the rewrite is already due.
	}
}

// run writes the queued changes until stop is closed, several of them with one sync. all returns every
// worker, for a rewrite of the file.
func (f *workerFile) run(stop <-chan struct{}, all func() []messages.Worker, logger hclog.Logger) {
	for {
		var batch []writeRequest
		select {
		case <-stop:
			return
		case request := <-f.queue:
			batch = append(batch, request)
		}
		for more := true; more; {
			select {
			case request := <-f.queue:
				batch = append(batch, request)
			default:
				more = false
			}
		}
		err := f.write(batch, all)
		if err != nil {
			logger.Warn("failed to write workers to disk", "err", err.Error())
		}
		for _, request := range batch {
			if request.done != nil {
				request.done <- err
			}
		}
	}
}

// write writes a batch to disk. A rewrite covers the batch as well, since callers change the registry,
// from which all reads, before they queue a change.
func (f *workerFile) write(batch []writeRequest, all func() []messages.Worker) error {
	if f.rewriteDue.Swap(false) || f.log.Size() > workerFileLimit {
		_, err := f.log.Rewrite(recordlog.Records(encodeWorkers(all())...))
		return ErrWorkersFile.Wrap(err, "rewrite")
	}
	var records [][]byte
	for _, request := range batch {
		records = append(records, encodeWorkers(request.workers)...)
	}
	if _, err := f.log.Append(records...); err != nil {
		return ErrWorkersFile.Wrap(err, "append")
	}
	return ErrWorkersFile.Wrap(f.log.Sync(), "sync")
}

func encodeWorkers(workers []messages.Worker) [][]byte {
	var records [][]byte
	for _, worker := range workers {
		body, _ := worker.MarshalMsg(nil)
		records = append(records, body)
	}
	return records
}
