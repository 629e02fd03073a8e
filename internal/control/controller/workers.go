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

func (c *Controller) beat(writer http.ResponseWriter, request *http.Request) {
	if !c.takesWorkers(writer) {
		return
	}
	body, complete := readBody(writer, request, constants.HeadLimit)
	if !complete {
		return
	}
	var call beatBody
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
	c.acknowledge(writer, worker)
}

// takesWorkers tells whether this process can spread what a worker says. Where it can't,
// the caller is sent to another one.
func (c *Controller) takesWorkers(writer http.ResponseWriter) bool {
	if c.learning() || !c.inContact() {
		httpreply.Error(writer, http.StatusServiceUnavailable, elsewhere)
		return false
	}
	return true
}

func (c *Controller) depart(writer http.ResponseWriter, request *http.Request) {
	if !c.takesWorkers(writer) {
		return
	}
	body, complete := readBody(writer, request, constants.HeadLimit)
	if !complete {
		return
	}
	var call beatBody
	// A departure needs nothing but the id; what the body adds is welcome.
	_ = json.Unmarshal(body, &call)
	c.lock.Lock()
	worker, known := c.registry.Get(chi.URLParam(request, "id"))
	c.lock.Unlock()
	if !known {
		worker = messages.Worker{ID: chi.URLParam(request, "id"), Backend: call.Backend, Address: call.Address, Zone: call.Zone}
	}
	worker.Phase = messages.PhaseDeparted
	worker.CallCount = max(worker.CallCount+1, call.Count)
	c.acknowledge(writer, worker)
}

// acknowledge applies a call of a worker and answers it. A drain or a departure is
// acknowledged once a majority of the acceptors has it on disk and the processes in
// touch were told; where that fails the caller asks another controller.
func (c *Controller) acknowledge(writer http.ResponseWriter, worker messages.Worker) {
	c.lock.Lock()
	changed := c.registry.Beat(worker, clock.Now())
	worker, _ = c.registry.Get(worker.ID)
	c.lock.Unlock()
	if changed {
		c.Node.Log.Info("worker", "id", worker.ID, "service", worker.Backend, "phase", worker.Phase.String(), "address", worker.Address)
	}
	switch {
	case worker.Phase == messages.PhaseSteady:
		if changed {
			c.memory.remember(worker)
			c.announce(worker)
		}
	case !c.binding.isKept(worker):
		if !c.bind(worker, changed) {
			c.Node.Log.Warn("not acknowledged: no majority has it on disk", "id", worker.ID, "phase", worker.Phase.String())
			httpreply.Error(writer, http.StatusServiceUnavailable, elsewhere)
			return
		}
		c.binding.setKept(worker)
	}
	httpreply.JSON(writer, http.StatusOK, struct{}{})
}

// bind has a drain or a departure told to all in touch and kept by a majority, at the
// same time. What this process knew before is not announced once more, at each
// controller that a draining worker calls: the reports bring it to everybody in touch.
func (c *Controller) bind(worker messages.Worker, announce bool) bool {
	kept := make(chan bool, 1)
	go func() { kept <- c.keepAtMajority(worker) }()
	if announce {
		c.announce(worker)
	}
	return <-kept
}
