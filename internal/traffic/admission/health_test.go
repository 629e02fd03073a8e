package admission

import (
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// fails has a worker fail one request.
func endRequest(entry *Scheduler, worker string, result Result, now clock.Instant) {
	wanted := newRequest(0)
	wanted.Retryable, wanted.AllowedWorkers = true, map[string]bool{worker: true}
	decision, _ := entry.Admit(wanted, nil, now)
	decision.Grant.End(result, now)
}

// places counts where requests go that are given back at once, without an outcome.
func countPlacements(entry *Scheduler, repeatable bool, count int, now clock.Instant) map[string]int {
	found := map[string]int{}
	for ; count > 0; count-- {
		wanted := newRequest(0)
		wanted.Retryable = repeatable
		decision, _ := entry.Admit(wanted, nil, now)
		found[decision.Grant.Worker.ID]++
		decision.Grant.End(ResultCanceled, now)
	}
	return found
}

// An ejected worker gets nothing, then trials of what may be repeated only, and is back
// with the first that goes well; each step is told.
func TestEjectionAndReturn(t *testing.T) {
	for _, result := range []Result{ResultFailed, ResultUnreachable, ResultTimeout, ResultServerError, ResultMisdirected} {
		entry := newScheduler(t, 4, "v", "w", "x", "y")
		var known []Ejection
		entry.OnEjection(func(ejection Ejection) { known = append(known, ejection) })
		now := atSecond(2)
		endRequest(entry, "w", result, now)
		if len(known) != 1 || known[0].Worker != "w" || known[0].Duration != constants.EjectFor {
			t.Fatal(result, known)
		}
		if countPlacements(entry, true, 40, now)["w"] > 0 {
			t.Fatal(result, " placed on while ejected")
		}
		now = now.Add(constants.EjectFor)
		if countPlacements(entry, false, 40, now)["w"] > 0 {
			t.Fatal(result, " what must not run twice was a trial")
		}
		endRequest(entry, "w", ResultServed, now)
		if len(known) != 2 || known[1].Duration != 0 {
			t.Fatal(result, known)
		}
	}
}

// What our own side broke off, and a full worker, say nothing against it.
func TestOutcomesThatDoNotCount(t *testing.T) {
	entry := newScheduler(t, 4, "v", "w", "x")
	entry.OnEjection(func(ejection Ejection) { t.Fatal(ejection) })
	for count := 0; count < 5; count++ {
		// A worker that was full is asked again later.
		endRequest(entry, "w", ResultCanceled, atSecond(2*count+2))
		endRequest(entry, "w", ResultRejected, atSecond(2*count+2))
	}
}

// Peers' words are heeded where nothing of ours speaks for a worker, and only there.
func TestOwnOutcomesOverridePeerSuspicion(t *testing.T) {
	sample := func(entry *Scheduler, now clock.Instant) {
		for _, peer := range []string{"forge/a", "forge/b"} {
			entry.HandleGossip(&messages.Gossip{From: peer, Loads: messages.AppendLoad(nil, messages.LoadSample{WorkerHash: messages.WorkerHash("w"), Running: messages.RunningUnknown, Health: messages.HealthSuspect})}, now)
		}
	}
	entry := newScheduler(t, 4, "v", "w", "x")
	now := atSecond(2)
	sample(entry, now)
	if countPlacements(entry, false, 40, now)["w"] > 0 {
		t.Fatal("hearsay was not heeded")
	}
	for count := 0; count < 3; count++ {
		endRequest(entry, "w", ResultServed, now)
	}
	sample(entry, now)
	wanted := newRequest(0)
	wanted.AllowedWorkers = map[string]bool{"w": true}
	decision, _ := entry.Admit(wanted, nil, now)
	suspect := entry.isSuspect(decision.Grant.Worker, 0, nil, now)
	if suspect {
		t.Fatal("hearsay went before our own outcomes")
	}
}

// When everybody fails, most of the service is still asked.
func TestMostWorkersStayUsableWhenAllFail(t *testing.T) {
	workerList := []string{"a", "b", "c", "d", "e", "f"}
	entry := newScheduler(t, 4, workerList...)
	now := atSecond(2)
	for _, worker := range workerList {
		endRequest(entry, worker, ResultServerError, now)
	}
	open := 0
	for _, worker := range workerList {
		decision, _ := entry.Admit(&Request{Service: "s", Setpoint: 1, AllowedWorkers: map[string]bool{worker: true}}, nil, now)
		if !entry.ejectedWorkers(newRequest(0), entry.Registry.ByService("s"), now)[worker] && decision.Verdict == VerdictGranted {
			open++
		}
	}
	if open < 4 {
		t.Fatal("only ", open, " of 6 are asked")
	}
}
