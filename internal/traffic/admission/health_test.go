package admission

import (
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// endRequest places one retryable request on the given worker and ends it with the given result.
func endRequest(scheduler *Scheduler, worker string, result Result, now clock.Instant) {
	req := newRequest(0)
	req.Retryable, req.AllowedWorkers = true, map[string]bool{worker: true}
	decision, _ := scheduler.Admit(req, nil, now)
	decision.Grant.End(result, now)
}

// countPlacements returns how many of the given number of requests are placed on each worker. Each
// request is canceled at once, so that it has no outcome.
func countPlacements(scheduler *Scheduler, retryable bool, count int, now clock.Instant) map[string]int {
	placements := map[string]int{}
	for ; count > 0; count-- {
		req := newRequest(0)
		req.Retryable = retryable
		decision, _ := scheduler.Admit(req, nil, now)
		placements[decision.Grant.Worker.ID]++
		decision.Grant.End(ResultCanceled, now)
	}
	return placements
}

// A worker that is ejected for the first time gets no requests, then trials with retryable requests
// only, and returns with the first trial that succeeds. OnEjection is called for the ejection and the
// return.
func TestEjectionAndReturn(t *testing.T) {
	for _, result := range []Result{ResultFailed, ResultUnreachable, ResultTimeout, ResultServerError, ResultMisdirected} {
		scheduler := newScheduler(t, 4, "v", "w", "x", "y")
		var ejections []Ejection
		scheduler.OnEjection(func(ejection Ejection) { ejections = append(ejections, ejection) })
		now := atSecond(2)
		endRequest(scheduler, "w", result, now)
		if len(ejections) != 1 || ejections[0].Worker != "w" || ejections[0].Duration != constants.EjectFor {
			t.Fatalf("result %d: ejections %+v, want one of w for %v", result, ejections, constants.EjectFor)
		}
		if countPlacements(scheduler, true, 40, now)["w"] > 0 {
			t.Fatalf("result %d: request placed on an ejected worker", result)
		}
		now = now.Add(constants.EjectFor)
		if countPlacements(scheduler, false, 40, now)["w"] > 0 {
			t.Fatalf("result %d: a request that is not retryable was used as a trial", result)
		}
		endRequest(scheduler, "w", ResultServed, now)
		if len(ejections) != 2 || ejections[1].Duration != 0 {
			t.Fatalf("result %d: events %+v, want an ejection and a return (duration 0)", result, ejections)
		}
	}
}

// Requests canceled by the client or this process, and rejections by a full worker, do not count
// against the worker.
func TestCancellationsAndRejectionsAreNotFaults(t *testing.T) {
	scheduler := newScheduler(t, 4, "v", "w", "x")
	scheduler.OnEjection(func(ejection Ejection) { t.Fatalf("got %+v, want no ejection or return", ejection) })
	for count := 0; count < 5; count++ {
		// A full worker is tried again only after some time, hence the steps of 2 s.
		endRequest(scheduler, "w", ResultCanceled, atSecond(2*count+2))
		endRequest(scheduler, "w", ResultRejected, atSecond(2*count+2))
	}
}

// Peers' suspicions apply only while no outcomes in this process prove the worker healthy.
func TestOwnOutcomesOverridePeerSuspicion(t *testing.T) {
	reportSuspicion := func(scheduler *Scheduler, now clock.Instant) {
		for _, peer := range []string{"forge/a", "forge/b"} {
			scheduler.HandleGossip(&messages.Gossip{From: peer, Loads: messages.AppendLoad(nil, messages.LoadSample{WorkerHash: messages.WorkerHash("w"), Running: messages.RunningUnknown, Health: messages.HealthSuspect})}, now)
		}
	}
	scheduler := newScheduler(t, 4, "v", "w", "x")
	now := atSecond(2)
	reportSuspicion(scheduler, now)
	if countPlacements(scheduler, false, 40, now)["w"] > 0 {
		t.Fatal("request placed on a worker that two peers suspect")
	}
	for count := 0; count < 3; count++ {
		endRequest(scheduler, "w", ResultServed, now)
	}
	reportSuspicion(scheduler, now)
	req := newRequest(0)
	req.AllowedWorkers = map[string]bool{"w": true}
	decision, _ := scheduler.Admit(req, nil, now)
	suspect := scheduler.isSuspect(decision.Grant.Worker, 0, nil, now)
	if suspect {
		t.Fatal("peers' suspicions overrode this process's own outcomes")
	}
}

// If all workers fail, most of the service's workers still receive requests.
func TestMostWorkersStayUsableWhenAllFail(t *testing.T) {
	workerList := []string{"a", "b", "c", "d", "e", "f"}
	scheduler := newScheduler(t, 4, workerList...)
	now := atSecond(2)
	for _, worker := range workerList {
		endRequest(scheduler, worker, ResultServerError, now)
	}
	usable := 0
	for _, worker := range workerList {
		decision, _ := scheduler.Admit(&Request{Service: "s", Setpoint: 1, AllowedWorkers: map[string]bool{worker: true}}, nil, now)
		if !scheduler.ejectedWorkers(newRequest(0), scheduler.Registry.ByService("s"), now)[worker] && decision.Verdict == VerdictGranted {
			usable++
		}
	}
	if usable < 4 {
		t.Fatalf("%d of 6 workers are usable, want at least 4", usable)
	}
}
