package controller

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/recordlog"
)

// memoryName is the file of known workers, and memoryLimit its length in bytes at
// which it is rewritten (ours).
const (
	memoryName  = "workers"
	memoryLimit = 512 << 10
)

// Forgotten is the error of a file of workers that can't be kept.
var Forgotten = errs.Define("workers on disk")

// memory keeps who the workers are, so that a fleet that lost power as a whole
// need not wait for a heartbeat of each. It is a help, not a promise: what it says
// counts as just heard and is overtaken by any later call.
type memory struct {
	logfile *recordlog.Logfile
	queue   chan messages.Worker
}

func openMemory(disk recordlog.Disk) (*memory, []messages.Worker, error) {
	known := map[string]messages.Worker{}
	var order []string
	logfile, err := recordlog.Open(disk, memoryName, func(_ int64, body []byte) error {
		worker := messages.Worker{}
		if _, problem := worker.UnmarshalMsg(body); problem != nil {
			return Forgotten.Wrap(problem, memoryName)
		}
		if _, seen := known[worker.ID]; !seen {
			order = append(order, worker.ID)
		}
		known[worker.ID] = worker
		return nil
	})
	if err != nil {
		return nil, nil, Forgotten.Wrap(err, "open")
	}
	var workerList []messages.Worker
	for _, id := range order {
		if worker := known[id]; worker.Phase == messages.PhaseSteady {
			worker.AgeMs = 0
			workerList = append(workerList, worker)
		}
	}
	const waiting = 256
	return &memory{logfile: logfile, queue: make(chan messages.Worker, waiting)}, workerList, nil
}

// remember queues a change; a worker's call is never held up by the disk.
func (one *memory) remember(worker messages.Worker) {
	select {
	case one.queue <- worker:
	default:
		// The disk lags far behind: the next heartbeat after a restart tells it anyway.
	}
}

// write keeps what was queued, several changes with one sync.
func (controller *Controller) remembering() {
	one := controller.memory
	for {
		var batch [][]byte
		select {
		case <-controller.Node.Stop:
			return
		case worker := <-one.queue:
			batch = append(batch, packWorker(worker))
		}
		for more := true; more; {
			select {
			case worker := <-one.queue:
				batch = append(batch, packWorker(worker))
			default:
				more = false
			}
		}
		var err error
		if one.logfile.Size() > memoryLimit {
			controller.lock.Lock()
			batch = nil
			for _, worker := range controller.registry.All(clock.Now()) {
				batch = append(batch, packWorker(worker))
			}
			controller.lock.Unlock()
			_, err = one.logfile.Rewrite(recordlog.Once(batch...))
		} else if _, err = one.logfile.Append(batch...); err == nil {
			err = one.logfile.Sync()
		}
		if err != nil {
			controller.Node.Log.Warn("workers not kept", "why", err.Error())
		}
	}
}

func packWorker(worker messages.Worker) []byte {
	body, _ := worker.MarshalMsg(nil)
	return body
}
