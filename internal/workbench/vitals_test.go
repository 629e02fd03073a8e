package workbench

import (
	"testing"

	"lemonarch/internal/almanac"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

// fails has a worker fail one request.
func fails(one *Workbench, worker string, outcome Outcome, now watch.Moment) {
	wanted := ask(0)
	wanted.Repeatable, wanted.Among = true, map[string]bool{worker: true}
	answer, _ := one.Admit(wanted, nil, now)
	answer.Grant.End(outcome, now)
}

// places counts where requests go that are given back at once, without an outcome.
func places(one *Workbench, repeatable bool, count int, now watch.Moment) map[string]int {
	found := map[string]int{}
	for ; count > 0; count-- {
		wanted := ask(0)
		wanted.Repeatable = repeatable
		answer, _ := one.Admit(wanted, nil, now)
		found[answer.Grant.Worker.ID]++
		answer.Grant.End(OutcomeCalledOff, now)
	}
	return found
}

// An ejected worker gets nothing, then trials of what may be repeated only, and is back
// with the first that goes well; each step is told.
func TestEjectedAndBack(test *testing.T) {
	for _, outcome := range []Outcome{OutcomeFailed, OutcomeRefused, OutcomeSilent, OutcomeErrored, OutcomeGoneAway} {
		one := bench(test, 4, "v", "w", "x", "y")
		var told []Ejection
		one.OnEjection(func(ejection Ejection) { told = append(told, ejection) })
		now := second(2)
		fails(one, "w", outcome, now)
		if len(told) != 1 || told[0].Worker != "w" || told[0].For != almanac.EjectFor {
			test.Fatal(outcome, told)
		}
		if places(one, true, 40, now)["w"] > 0 {
			test.Fatal(outcome, " placed on while ejected")
		}
		now = now.Plus(almanac.EjectFor)
		if places(one, false, 40, now)["w"] > 0 {
			test.Fatal(outcome, " what must not run twice was a trial")
		}
		fails(one, "w", OutcomeServed, now)
		if len(told) != 2 || told[1].For != 0 {
			test.Fatal(outcome, told)
		}
	}
}

// What our own side broke off, and a full worker, say nothing against it.
func TestWhatSaysNothing(test *testing.T) {
	one := bench(test, 4, "v", "w", "x")
	one.OnEjection(func(ejection Ejection) { test.Fatal(ejection) })
	for count := 0; count < 5; count++ {
		// A worker that was full is asked again later.
		fails(one, "w", OutcomeCalledOff, second(2*count+2))
		fails(one, "w", OutcomeTurnedAway, second(2*count+2))
	}
}

// Peers' words are heeded where nothing of ours speaks for a worker, and only there.
func TestHearsayYieldsToOwnOutcomes(test *testing.T) {
	word := func(one *Workbench, now watch.Moment) {
		for _, peer := range []string{"forge/a", "forge/b"} {
			one.Heard(&pattern.Gossip{From: peer, Loads: pattern.AppendLoad(nil, pattern.LoadWord{Name: pattern.WorkerName("w"), Running: pattern.RunningUnknown, Trust: pattern.TrustSuspect})}, now)
		}
	}
	one := bench(test, 4, "v", "w", "x")
	now := second(2)
	word(one, now)
	if places(one, false, 40, now)["w"] > 0 {
		test.Fatal("hearsay was not heeded")
	}
	for count := 0; count < 3; count++ {
		fails(one, "w", OutcomeServed, now)
	}
	word(one, now)
	wanted := ask(0)
	wanted.Among = map[string]bool{"w": true}
	answer, _ := one.Admit(wanted, nil, now)
	suspect := one.suspect(answer.Grant.Worker, 0, nil, now)
	if suspect {
		test.Fatal("hearsay went before our own outcomes")
	}
}

// When everybody fails, most of the service is still asked.
func TestMostOfAServiceIsAlwaysAsked(test *testing.T) {
	workers := []string{"a", "b", "c", "d", "e", "f"}
	one := bench(test, 4, workers...)
	now := second(2)
	for _, worker := range workers {
		fails(one, worker, OutcomeErrored, now)
	}
	open := 0
	for _, worker := range workers {
		answer, _ := one.Admit(&Ask{Service: "s", Setpoint: 1, Among: map[string]bool{worker: true}}, nil, now)
		if !one.apart(ask(0), one.Roster.Named("s"), now)[worker] && answer.Verdict == VerdictGranted {
			open++
		}
	}
	if open < 4 {
		test.Fatal("only ", open, " of 6 are asked")
	}
}
