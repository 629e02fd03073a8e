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
	if controller.learning() {
		httpreply.Later(writer, http.StatusServiceUnavailable, constants.RoundTime)
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
	controller.noteWorker(worker)
	httpreply.JSON(writer, http.StatusOK, struct{}{})
}

func (controller *Controller) depart(writer http.ResponseWriter, request *http.Request) {
	if controller.learning() {
		httpreply.Later(writer, http.StatusServiceUnavailable, constants.RoundTime)
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
	controller.noteWorker(worker)
	httpreply.JSON(writer, http.StatusOK, struct{}{})
}

// noteWorker applies a call and tells everybody of a change before it is acknowledged.
func (controller *Controller) noteWorker(worker messages.Worker) {
	controller.lock.Lock()
	changed := controller.registry.Beat(worker, clock.Now())
	worker, _ = controller.registry.Get(worker.ID)
	controller.lock.Unlock()
	if changed {
		controller.memory.remember(worker)
		controller.Node.Log.Info("worker", "id", worker.ID, "service", worker.Backend, "phase", worker.Phase.String(), "address", worker.Address)
		controller.tell(worker)
	}
}
