package controller

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/httpreply"
	"lemonarch/internal/platform/messages"
)

// beatBody is a worker's call.
type beatBody struct {
	Backend    string  `json:"backend"`
	Address    string  `json:"address"`
	Zone       string  `json:"zone"`
	Generation any     `json:"generation"`
	Capacity   int     `json:"capacity"`
	Phase      string  `json:"phase"`
	WarmupMs   float64 `json:"warmup-left-ms"`
	Count      int64   `json:"call-count"`
}

func (controller *Controller) beat(writer http.ResponseWriter, request *http.Request) {
	if !controller.takesWorkers(writer) {
		return
	}
	body, whole := readBody(writer, request, constants.HeadLimit)
	if !whole {
		return
	}
	var call beatBody
	if err := json.Unmarshal(body, &call); err != nil {
		httpreply.Reason(writer, http.StatusBadRequest, "body can't be read: "+err.Error())
		return
	}
	worker := messages.Worker{ID: chi.URLParam(request, "id"), Backend: call.Backend, Address: call.Address, Zone: call.Zone,
		Capacity: call.Capacity, WarmupMs: int64(call.WarmupMs), Count: call.Count}
	if worker.Backend == "" || worker.Address == "" || worker.Capacity < 1 {
		httpreply.Reason(writer, http.StatusBadRequest, "backend, address or capacity is missing")
		return
	}
	if call.Phase == "draining" {
		worker.Phase = messages.PhaseDraining
	}
	controller.acknowledge(writer, worker)
}

// takesWorkers tells whether this process can spread what a worker says. Where it can't,
// the caller is sent to another one.
func (controller *Controller) takesWorkers(writer http.ResponseWriter) bool {
	if controller.learning() || !controller.inContact() {
		httpreply.Reason(writer, http.StatusServiceUnavailable, elsewhere)
		return false
	}
	return true
}

func (controller *Controller) depart(writer http.ResponseWriter, request *http.Request) {
	if !controller.takesWorkers(writer) {
		return
	}
	body, whole := readBody(writer, request, constants.HeadLimit)
	if !whole {
		return
	}
	var call beatBody
	// A departure needs nothing but the id; what the body adds is welcome.
	_ = json.Unmarshal(body, &call)
	controller.lock.Lock()
	worker, known := controller.registry.Get(chi.URLParam(request, "id"))
	controller.lock.Unlock()
	if !known {
		worker = messages.Worker{ID: chi.URLParam(request, "id"), Backend: call.Backend, Address: call.Address, Zone: call.Zone}
	}
	worker.Phase = messages.PhaseGone
	worker.Count = max(worker.Count+1, call.Count)
	controller.acknowledge(writer, worker)
}

// acknowledge applies a call of a worker and answers it. A drain or a departure is
// acknowledged once a majority of the acceptors has it on disk and the processes in
// touch were told; where that fails the caller asks another controller.
func (controller *Controller) acknowledge(writer http.ResponseWriter, worker messages.Worker) {
	controller.lock.Lock()
	changed := controller.registry.Beat(worker, clock.Now())
	worker, _ = controller.registry.Get(worker.ID)
	controller.lock.Unlock()
	if changed {
		controller.Node.Log.Info("worker", "id", worker.ID, "service", worker.Backend, "phase", worker.Phase.String(), "address", worker.Address)
	}
	switch {
	case worker.Phase == messages.PhaseSteady:
		if changed {
			controller.memory.remember(worker)
			controller.announce(worker)
		}
	case !controller.binding.isKept(worker):
		if !controller.bind(worker) {
			controller.Node.Log.Warn("not acknowledged: no majority has it on disk", "id", worker.ID, "phase", worker.Phase.String())
			httpreply.Reason(writer, http.StatusServiceUnavailable, elsewhere)
			return
		}
		controller.binding.setKept(worker)
	}
	httpreply.JSON(writer, http.StatusOK, struct{}{})
}

// bind has a drain or a departure told to all in touch and kept by a majority, at the
// same time.
func (controller *Controller) bind(worker messages.Worker) bool {
	kept := make(chan bool, 1)
	go func() { kept <- controller.keepAtMajority(worker) }()
	controller.announce(worker)
	return <-kept
}
