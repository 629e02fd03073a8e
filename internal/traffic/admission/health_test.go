package admission

import (
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// fails has a worker fail one request.
func fails(entry *Scheduler, worker string, result Result, now clock.Instant) {
	wanted := ask(0)
	wanted.Retryable, wanted.AllowedWorkers = true, map[string]bool{worker: true}
	decision, _ := entry.Admit(wanted, nil, now)
	decision.Grant.End(result, now)
}

// places counts where requests go that are given back at once, without an outcome.
func places(entry *Scheduler, repeatable bool, count int, now clock.Instant) map[string]int {
	found := map[string]int{}
	for ; count > 0; count-- {
		wanted := ask(0)
		wanted.Retryable = repeatable
		decision, _ := entry.Admit(wanted, nil, now)
		found[decision.Grant.Worker.ID]++
		decision.Grant.End(ResultCanceled, now)
	}
	return found
}

// An ejected worker gets nothing, then trials of what may be repeated only, and is back
// with the first that goes well; each step is told.
func TestEjectedAndBack(t *testing.T) {
	for _, result := range []Result{ResultFailed, ResultUnreachable, ResultTimeout, ResultServerError, ResultMisdirected} {
		entry := scheduler(t, 4, "v", "w", "x", "y")
		var known []Ejection
		entry.OnEjection(func(ejection Ejection) { known = append(known, ejection) })
		now := second(2)
		fails(entry, "w", result, now)
		if len(known) != 1 || known[0].Worker != "w" || known[0].Duration != constants.EjectFor {
			t.Fatal(result, known)
		}
		if places(entry, true, 40, now)["w"] > 0 {
			t.Fatal(result, " placed on while ejected")
		}
		now = now.Add(constants.EjectFor)
		if places(entry, false, 40, now)["w"] > 0 {
			t.Fatal(result, " what must not run twice was a trial")
		}
		fails(entry, "w", ResultServed, now)
		if len(known) != 2 || known[1].Duration != 0 {
			t.Fatal(result, known)
		}
	}
}

// What our own side broke off, and a full worker, say nothing against it.
func TestOutcomesThatDoNotCount(t *testing.T) {
	entry := scheduler(t, 4, "v", "w", "x")
	entry.OnEjection(func(ejection Ejection) { t.Fatal(ejection) })
	for count := 0; count < 5; count++ {
		// A worker that was full is asked again later.
		fails(entry, "w", ResultCanceled, second(2*count+2))
		fails(entry, "w", ResultRejected, second(2*count+2))
	}
}

// Peers' words are heeded where nothing of ours speaks for a worker, and only there.
func TestHearsayYieldsToOwnResults(t *testing.T) {
	sample := func(entry *Scheduler, now clock.Instant) {
		for _, peer := range []string{"forge/a", "forge/b"} {
			entry.HandleGossip(&messages.Gossip{From: peer, Loads: messages.AppendLoad(nil, messages.LoadSample{WorkerHash: messages.WorkerHash("w"), Running: messages.RunningUnknown, Health: messages.HealthSuspect})}, now)
		}
	}
	entry := scheduler(t, 4, "v", "w", "x")
	now := second(2)
	sample(entry, now)
	if places(entry, false, 40, now)["w"] > 0 {
		t.Fatal("hearsay was not heeded")
	}
	for count := 0; count < 3; count++ {
		fails(entry, "w", ResultServed, now)
	}
	sample(entry, now)
	wanted := ask(0)
	wanted.AllowedWorkers = map[string]bool{"w": true}
	decision, _ := entry.Admit(wanted, nil, now)
	suspect := entry.isSuspect(decision.Grant.Worker, 0, nil, now)
	if suspect {
		t.Fatal("hearsay went before our own outcomes")
	}
}

// When everybody fails, most of the service is still asked.
func TestMostOfAServiceStaysInUse(t *testing.T) {
	workerList := []string{"a", "b", "c", "d", "e", "f"}
	entry := scheduler(t, 4, workerList...)
	now := second(2)
	for _, worker := range workerList {
		fails(entry, worker, ResultServerError, now)
	}
	open := 0
	for _, worker := range workerList {
		decision, _ := entry.Admit(&Request{Service: "s", Setpoint: 1, AllowedWorkers: map[string]bool{worker: true}}, nil, now)
		if !entry.ejectedWorkers(ask(0), entry.Registry.ByService("s"), now)[worker] && decision.Verdict == VerdictGranted {
			open++
		}
	}
	if open < 4 {
		t.Fatal("only ", open, " of 6 are asked")
	}
}
