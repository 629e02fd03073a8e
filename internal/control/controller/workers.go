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

// heartbeatBody is a worker's call.
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

func (c *Controller) handleHeartbeat(writer http.ResponseWriter, request *http.Request) {
	if !c.acceptsWorkerCalls(writer) {
		return
	}
	body, complete := readBody(writer, request, constants.HeadLimit)
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
	c.acknowledge(writer, worker)
}

// acceptsWorkerCalls tells whether this process can spread what a worker says. Where it can't,
// the caller is sent to another one.
func (c *Controller) acceptsWorkerCalls(writer http.ResponseWriter) bool {
	if c.recovering() || !c.awaitContact() {
		httpreply.Error(writer, http.StatusServiceUnavailable, noClearAnswer)
		return false
	}
	return true
}

func (c *Controller) handleDepart(writer http.ResponseWriter, request *http.Request) {
	if !c.acceptsWorkerCalls(writer) {
		return
	}
	body, complete := readBody(writer, request, constants.HeadLimit)
	if !complete {
		return
	}
	var call heartbeatBody
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
	changed := c.registry.Heartbeat(worker, clock.Now())
	worker, _ = c.registry.Get(worker.ID)
	c.lock.Unlock()
	if changed {
		c.Node.Log.Info("worker", "id", worker.ID, "service", worker.Backend, "phase", worker.Phase.String(), "address", worker.Address)
	}
	switch {
	case worker.Phase == messages.PhaseSteady:
		if changed {
			c.workerFile.enqueue(worker)
			c.announce(worker)
		}
	case !c.durableDrains.isDurable(worker):
		if !c.commitWorkerChange(worker, changed) {
			c.Node.Log.Warn("not acknowledged: no majority has it on disk", "id", worker.ID, "phase", worker.Phase.String())
			httpreply.Error(writer, http.StatusServiceUnavailable, noClearAnswer)
			return
		}
		c.durableDrains.setDurable(worker)
	}
	httpreply.JSON(writer, http.StatusOK, struct{}{})
}

// commitWorkerChange has a drain or a departure told to all in touch and kept by a majority, at the
// same time. What this process knew before is not announced once more, at each
// controller that a draining worker calls: the reports bring it to everybody in touch.
func (c *Controller) commitWorkerChange(worker messages.Worker, announce bool) bool {
	retained := make(chan bool, 1)
	go func() { retained <- c.persistAtQuorum(worker) }()
	if announce {
		c.announce(worker)
	}
	return <-retained
}
