package admission

import (
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// fails has a worker fail one request.
func fails(one *Scheduler, worker string, result Result, now clock.Instant) {
	wanted := ask(0)
	wanted.Repeatable, wanted.Among = true, map[string]bool{worker: true}
	answer, _ := one.Admit(wanted, nil, now)
	answer.Grant.End(result, now)
}

// places counts where requests go that are given back at once, without an outcome.
func places(one *Scheduler, repeatable bool, count int, now clock.Instant) map[string]int {
	found := map[string]int{}
	for ; count > 0; count-- {
		wanted := ask(0)
		wanted.Repeatable = repeatable
		answer, _ := one.Admit(wanted, nil, now)
		found[answer.Grant.Worker.ID]++
		answer.Grant.End(ResultCalledOff, now)
	}
	return found
}

// An ejected worker gets nothing, then trials of what may be repeated only, and is back
// with the first that goes well; each step is told.
func TestEjectedAndBack(t *testing.T) {
	for _, result := range []Result{ResultFailed, ResultRefused, ResultSilent, ResultErrored, ResultGoneAway} {
		one := scheduler(t, 4, "v", "w", "x", "y")
		var told []Ejection
		one.OnEjection(func(ejection Ejection) { told = append(told, ejection) })
		now := second(2)
		fails(one, "w", result, now)
		if len(told) != 1 || told[0].Worker != "w" || told[0].For != constants.EjectFor {
			t.Fatal(result, told)
		}
		if places(one, true, 40, now)["w"] > 0 {
			t.Fatal(result, " placed on while ejected")
		}
		now = now.Add(constants.EjectFor)
		if places(one, false, 40, now)["w"] > 0 {
			t.Fatal(result, " what must not run twice was a trial")
		}
		fails(one, "w", ResultServed, now)
		if len(told) != 2 || told[1].For != 0 {
			t.Fatal(result, told)
		}
	}
}

// What our own side broke off, and a full worker, say nothing against it.
func TestWhatSaysNothing(t *testing.T) {
	one := scheduler(t, 4, "v", "w", "x")
	one.OnEjection(func(ejection Ejection) { t.Fatal(ejection) })
	for count := 0; count < 5; count++ {
		// A worker that was full is asked again later.
		fails(one, "w", ResultCalledOff, second(2*count+2))
		fails(one, "w", ResultTurnedAway, second(2*count+2))
	}
}

// Peers' words are heeded where nothing of ours speaks for a worker, and only there.
func TestHearsayYieldsToOwnResults(t *testing.T) {
	word := func(one *Scheduler, now clock.Instant) {
		for _, peer := range []string{"forge/a", "forge/b"} {
			one.Heard(&messages.Gossip{From: peer, Loads: messages.AppendLoad(nil, messages.LoadSample{WorkerHash: messages.WorkerHash("w"), Running: messages.RunningUnknown, Health: messages.HealthSuspect})}, now)
		}
	}
	one := scheduler(t, 4, "v", "w", "x")
	now := second(2)
	word(one, now)
	if places(one, false, 40, now)["w"] > 0 {
		t.Fatal("hearsay was not heeded")
	}
	for count := 0; count < 3; count++ {
		fails(one, "w", ResultServed, now)
	}
	word(one, now)
	wanted := ask(0)
	wanted.Among = map[string]bool{"w": true}
	answer, _ := one.Admit(wanted, nil, now)
	suspect := one.suspect(answer.Grant.Worker, 0, nil, now)
	if suspect {
		t.Fatal("hearsay went before our own outcomes")
	}
}

// When everybody fails, most of the service is still asked.
func TestMostOfAServiceIsAlwaysAsked(t *testing.T) {
	workerList := []string{"a", "b", "c", "d", "e", "f"}
	one := scheduler(t, 4, workerList...)
	now := second(2)
	for _, worker := range workerList {
		fails(one, worker, ResultErrored, now)
	}
	open := 0
	for _, worker := range workerList {
		answer, _ := one.Admit(&Ask{Service: "s", Setpoint: 1, Among: map[string]bool{worker: true}}, nil, now)
		if !one.apart(ask(0), one.Registry.ByService("s"), now)[worker] && answer.Verdict == VerdictGranted {
			open++
		}
	}
	if open < 4 {
		t.Fatal("only ", open, " of 6 are asked")
	}
}
