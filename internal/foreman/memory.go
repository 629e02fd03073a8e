package foreman

import (
	"lemonarch/internal/mishap"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
	"lemonarch/internal/whetstone"
)

// memoryName is the file of known workers, and memoryLimit its length in bytes at
// which it is rewritten (ours).
const (
	memoryName  = "workers"
	memoryLimit = 512 << 10
)

// Forgotten is the mishap of a file of workers that can't be kept.
var Forgotten = mishap.Define("workers on disk")

// memory keeps who the workers are, so that a fleet that lost power as a whole
// need not wait for a heartbeat of each. It is a help, not a promise: what it says
// counts as just heard and is overtaken by any later call.
type memory struct {
	stone *whetstone.Stone
	queue chan pattern.Worker
}

func openMemory(disk whetstone.Disk) (*memory, []pattern.Worker, error) {
	known := map[string]pattern.Worker{}
	var order []string
	stone, failure := whetstone.Open(disk, memoryName, func(_ int64, body []byte) error {
		worker := pattern.Worker{}
		if _, problem := worker.UnmarshalMsg(body); problem != nil {
			return Forgotten.Wrap(problem, memoryName)
		}
		if _, seen := known[worker.ID]; !seen {
			order = append(order, worker.ID)
		}
		known[worker.ID] = worker
		return nil
	})
	if failure != nil {
		return nil, nil, Forgotten.Wrap(failure, "open")
	}
	var workers []pattern.Worker
	for _, id := range order {
		if worker := known[id]; worker.Phase == pattern.PhaseSteady {
			worker.AgeMs = 0
			workers = append(workers, worker)
		}
	}
	const waiting = 256
	return &memory{stone: stone, queue: make(chan pattern.Worker, waiting)}, workers, nil
}

// remember queues a change; a worker's call is never held up by the disk.
func (one *memory) remember(worker pattern.Worker) {
	select {
	case one.queue <- worker:
	default:
		// The disk lags far behind: the next heartbeat after a restart tells it anyway.
	}
}

// write keeps what was queued, several changes with one sync.
func (foreman *Foreman) remembering() {
	one := foreman.memory
	for {
		var batch [][]byte
		select {
		case <-foreman.Stand.Stop:
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
		var failure error
		if one.stone.Size() > memoryLimit {
			foreman.lock.Lock()
			batch = nil
			for _, worker := range foreman.roster.All(watch.Now()) {
				batch = append(batch, packWorker(worker))
			}
			foreman.lock.Unlock()
			_, failure = one.stone.Rewrite(whetstone.Once(batch...))
		} else if _, failure = one.stone.Append(batch...); failure == nil {
			failure = one.stone.Sync()
		}
		if failure != nil {
			foreman.Stand.Log.Warn("workers not kept", "why", failure.Error())
		}
	}
}

func packWorker(worker pattern.Worker) []byte {
	body, _ := worker.MarshalMsg(nil)
	return body
}
