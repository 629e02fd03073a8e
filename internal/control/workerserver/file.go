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

// workerFileName is the file of known workers, and workerFileLimit its length in bytes at
// which it is rewritten (ours).
const (
	workerFileName  = "workers"
	workerFileLimit = 512 << 10
)

// ErrWorkersFile is the error of a file of workers that can't be kept.
var ErrWorkersFile = errs.Define("workers on disk")

// workerFile is the file of known workers. A drain or a departure is on the disks of a
// majority of the acceptors before it is acknowledged (persist.go). A steady worker is
// written when the disk has time for it: its next heartbeat says the same.
type workerFile struct {
	log   *recordlog.Log
	queue chan writeRequest
	// rewriteDue asks the next write for the complete file anew.
	rewriteDue atomic.Bool
}

// writeRequest is a list of workers to be written. done, where there is one, gets the result
// once they are on disk.
type writeRequest struct {
	workers []messages.Worker
	done    chan error
}

// openWorkerFile reads the file: the last record of each worker counts.
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
	const waiting = 256
	return &workerFile{log: log, queue: make(chan writeRequest, waiting)}, workers, nil
}

// enqueue queues a change that binds nobody: a worker's call is not held up by the disk,
// and a change that finds the queue full is written with the next rewrite, or comes again
// with the worker's next heartbeat.
func (f *workerFile) enqueue(worker messages.Worker) {
	select {
	case f.queue <- writeRequest{workers: []messages.Worker{worker}}:
	default:
	}
}

// persist returns once workers are on disk, with an error if that failed or took too long.
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

// requestRewrite has the file written anew, without waiting for it.
func (f *workerFile) requestRewrite() {
	f.rewriteDue.Store(true)
	select {
	case f.queue <- writeRequest{}:
	default:
		// The queue is full: the file is written soon anyway.
	}
}

// run writes what was queued, several changes with one sync. all gives every worker for
// a rewrite of the file.
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
			logger.Warn("workers not written to disk", "err", err.Error())
		}
		for _, request := range batch {
			if request.done != nil {
				request.done <- err
			}
		}
	}
}

// write puts a batch on disk. What is in the batch is in all as well: callers change the
// registry first.
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
