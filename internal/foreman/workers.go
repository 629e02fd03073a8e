package foreman

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"lemonarch/internal/almanac"
	"lemonarch/internal/pattern"
	"lemonarch/internal/reply"
	"lemonarch/internal/watch"
)

// beatBody is a worker's call.
type beatBody struct {
	Backend    string  `json:"backend"`
	Address    string  `json:"address"`
	Hall       string  `json:"zone"`
	Generation any     `json:"generation"`
	Capacity   int     `json:"capacity"`
	Phase      string  `json:"phase"`
	WarmupMs   float64 `json:"warmup-left-ms"`
	Count      int64   `json:"call-count"`
}

func (foreman *Foreman) beat(writer http.ResponseWriter, request *http.Request) {
	if foreman.learning() {
		reply.Later(writer, http.StatusServiceUnavailable, almanac.RoundTime)
		return
	}
	body, whole := readBody(writer, request, almanac.HeadLimit)
	if !whole {
		return
	}
	var call beatBody
	if failure := json.Unmarshal(body, &call); failure != nil {
		reply.Reason(writer, http.StatusBadRequest, "body can't be read: "+failure.Error())
		return
	}
	worker := pattern.Worker{ID: chi.URLParam(request, "id"), Backend: call.Backend, Address: call.Address, Hall: call.Hall,
		Capacity: call.Capacity, WarmupMs: int64(call.WarmupMs), Count: call.Count}
	if worker.Backend == "" || worker.Address == "" || worker.Capacity < 1 {
		reply.Reason(writer, http.StatusBadRequest, "backend, address or capacity is missing")
		return
	}
	if call.Phase == "draining" {
		worker.Phase = pattern.PhaseDraining
	}
	foreman.noteWorker(worker)
	reply.JSON(writer, http.StatusOK, struct{}{})
}

func (foreman *Foreman) depart(writer http.ResponseWriter, request *http.Request) {
	if foreman.learning() {
		reply.Later(writer, http.StatusServiceUnavailable, almanac.RoundTime)
		return
	}
	body, whole := readBody(writer, request, almanac.HeadLimit)
	if !whole {
		return
	}
	var call beatBody
	// A departure needs nothing but the id; what the body adds is welcome.
	_ = json.Unmarshal(body, &call)
	foreman.lock.Lock()
	worker, known := foreman.roster.Get(chi.URLParam(request, "id"))
	foreman.lock.Unlock()
	if !known {
		worker = pattern.Worker{ID: chi.URLParam(request, "id"), Backend: call.Backend, Address: call.Address, Hall: call.Hall}
	}
	worker.Phase = pattern.PhaseGone
	worker.Count = max(worker.Count+1, call.Count)
	foreman.noteWorker(worker)
	reply.JSON(writer, http.StatusOK, struct{}{})
}

// noteWorker applies a call and tells everybody of a change before it is acknowledged.
func (foreman *Foreman) noteWorker(worker pattern.Worker) {
	foreman.lock.Lock()
	changed := foreman.roster.Beat(worker, watch.Now())
	worker, _ = foreman.roster.Get(worker.ID)
	foreman.lock.Unlock()
	if changed {
		foreman.memory.remember(worker)
		foreman.Stand.Log.Info("worker", "id", worker.ID, "service", worker.Backend, "phase", worker.Phase.String(), "address", worker.Address)
		foreman.tell(worker)
	}
}
