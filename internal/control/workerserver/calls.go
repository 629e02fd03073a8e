package workerserver

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"lemonarch/internal/control/contactserver"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/httpreply"
	"lemonarch/internal/platform/messages"
)

// heartbeatBody is the body of a worker's call (PROTOCOL, Workers.Heartbeat).
type heartbeatBody struct {
	Backend    string  `json:"backend"`
	Address    string  `json:"address"`
	Zone       string  `json:"zone"`
	Generation any     `json:"generation"`
	Capacity   int     `json:"capacity"`
	Phase      string  `json:"phase"`
	WarmupMs   float64 `json:"warmup-left-ms"`
	Count      int64   `json:"call-count"`
}

// heartbeatCopies is how many copies of a worker's call are in memory: the body as received, and the
// decoded call.
const heartbeatCopies = 2

// HandleHeartbeat handles a worker's heartbeat, which may report that the worker is draining.
func (s *Server) HandleHeartbeat(writer http.ResponseWriter, request *http.Request) {
	if !s.acceptsWorkerCalls(writer) {
		return
	}
	body, complete := httpreply.ReadBody(writer, request, constants.HeadLimit, heartbeatCopies)
	if !complete {
		return
	}
	var call heartbeatBody
	if err := json.Unmarshal(body, &call); err != nil {
		httpreply.Error(writer, http.StatusBadRequest, "body can't be read: "+err.Error())
		return
	}
	worker := messages.Worker{ID: chi.URLParam(request, "id"), Backend: call.Backend, Address: call.Address, Zone: call.Zone,
		Capacity: call.Capacity, WarmupMs: int64(call.WarmupMs), CallCount: call.Count}
	if worker.Backend == "" || worker.Address == "" || worker.Capacity < 1 {
		httpreply.Error(writer, http.StatusBadRequest, "backend, address or capacity is missing")
		return
	}
	if call.Phase == "draining" {
		worker.Phase = messages.PhaseDraining
	}
	s.acknowledge(writer, worker)
}

// acceptsWorkerCalls reports whether this process can commit changes of workers. If it
// can't, it responds with 503, and the caller tries another controller.
func (s *Server) acceptsWorkerCalls(writer http.ResponseWriter) bool {
	if s.Recovering() || !s.contact.Await() {
		httpreply.Error(writer, http.StatusServiceUnavailable, contactserver.NoClearAnswer)
		return false
	}
	return true
}

// HandleDepart handles a worker's departure.
func (s *Server) HandleDepart(writer http.ResponseWriter, request *http.Request) {
	if !s.acceptsWorkerCalls(writer) {
		return
	}
	body, complete := httpreply.ReadBody(writer, request, constants.HeadLimit, heartbeatCopies)
	if !complete {
		return
	}
	var call heartbeatBody
	// A departure requires only the id. The body is optional.
	_ = json.Unmarshal(body, &call)
	worker, known := s.Get(chi.URLParam(request, "id"))
	if !known {
		worker = messages.Worker{ID: chi.URLParam(request, "id"), Backend: call.Backend, Address: call.Address, Zone: call.Zone}
	}
	worker.Phase = messages.PhaseDeparted
	worker.CallCount = max(worker.CallCount+1, call.Count)
	s.acknowledge(writer, worker)
}

// acknowledge applies a call of a worker and responds to it. A drain or a departure is
// acknowledged once a majority of the acceptors has it on disk and the processes in
// contact were notified, or the announcement has timed out. If no majority has it on disk in time, the
// response is 503 and the caller tries another controller.
func (s *Server) acknowledge(writer http.ResponseWriter, worker messages.Worker) {
	if namesTooLong(&worker) {
		httpreply.Error(writer, http.StatusBadRequest, "id, backend, address or zone is too long")
		return
	}
	worker, changed := s.heartbeat(worker)
	if changed {
		s.node.Log.Info("worker registered", "worker", worker.ID, "service", worker.Backend, "phase", worker.Phase.String(), "address", worker.Address)
	}
	switch {
	case worker.Phase == messages.PhaseSteady:
		if changed {
			s.file.enqueue(worker)
			s.announcer.AnnounceWorker(worker)
		}
	case !s.durable.isDurable(worker):
		if !s.commitWorkerChange(worker, changed) {
			s.node.Log.Warn("failed to commit worker change at quorum", "worker", worker.ID, "phase", worker.Phase.String())
			httpreply.Error(writer, http.StatusServiceUnavailable, contactserver.NoClearAnswer)
			return
		}
		s.durable.setDurable(worker)
	}
	httpreply.JSON(writer, http.StatusOK, struct{}{})
}

// namesTooLong reports whether one of a worker's names exceeds constants.WorkerNameBytes. The length
// is limited since every process stores the names.
func namesTooLong(worker *messages.Worker) bool {
	for _, name := range []string{worker.ID, worker.Backend, worker.Address, worker.Zone} {
		if len(name) > constants.WorkerNameBytes {
			return true
		}
	}
	return false
}

// commitWorkerChange announces a drain or a departure to all processes in contact and persists it at a
// majority of the acceptors, concurrently. It reports whether the change was persisted. A change that
// this process already knew is not announced again: otherwise every controller that a draining worker
// calls would announce it. The processes in contact learn of it by their reports.
func (s *Server) commitWorkerChange(worker messages.Worker, announce bool) bool {
	persisted := make(chan bool, 1)
	go func() { persisted <- s.persistAtQuorum(worker) }()
	if announce {
		s.announcer.AnnounceWorker(worker)
	}
	return <-persisted
}
