package register_test

import (
	"fmt"
	"testing"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// status is the result of one attempt of a request, as an operator saw it.
type status int

const (
	unknown status = iota
	acknowledged
	rejected
)

// observation is one response that an operator received.
type observation struct {
	operator string
	at       string
	version  messages.Version
	status   status
	when     clock.Instant
}

// operators send change requests to a fleet, retry those with an unknown outcome, and record
// the responses.
type operators struct {
	*fleet
	names        []string
	observations []observation
	sent         []messages.Version
	byGeneration map[int64]messages.Version
	byBase       map[int64]messages.Version
	counts       map[string]int
}

func newOperators(t *testing.T, seed int64) *operators {
	t.Helper()

	o := &operators{fleet: newFleet(t, seed, "a", "b", "c"), byGeneration: map[int64]messages.Version{}, byBase: map[int64]messages.Version{}, counts: map[string]int{}}
	o.addNonMember("d")
	o.addNonMember("e")
	o.names = []string{"a", "b", "c", "d", "e"}
	o.fleet.onChosen = o.recordChosen
	return o
}

// recordChosen adds a chosen value to the history, and fails if that contradicts an earlier value.
func (o *operators) recordChosen(value messages.RegisterValue) {
	for _, version := range append([]messages.Version{value.Current}, value.History...) {
		if version.Generation == 0 {
			continue
		}
		if other, known := o.byGeneration[version.Generation]; known && other != version {
			o.test.Fatalf("two versions of one generation: %v and %v", other, version)
		}
		if other, known := o.byBase[version.Base]; known && other != version {
			o.test.Fatalf("two versions on one base: %v and %v", other, version)
		}
		o.byGeneration[version.Generation], o.byBase[version.Base] = version, version
	}
}

// sendOnce sends a request to one process. callback is called with a definite result.
func (o *operators) sendOnce(operator, at string, version messages.Version, callback func(status status)) {
	respond := func(status status) {
		o.world.Send(at, operator, func() {
			o.observations = append(o.observations, observation{operator, at, version, status, o.world.Now})
			if status != unknown {
				callback(status)
			}
		})
	}
	o.world.Send(operator, at, func() {
		if o.controllers[at].down {
			return
		}
		var result register.Result
		o.change(at, register.Replace(version, []byte(version.Hash), &result), 6, func(value messages.RegisterValue, done bool) {
			o.interpret(at, &value, version, result, done, respond)
		})
	})
}

// interpret maps an outcome to a status as registerserver.Replica.Replace and the controller do.
func (o *operators) interpret(at string, value *messages.RegisterValue, version messages.Version, result register.Result, done bool, respond func(status)) {
	if done && result == register.ResultNeedsArchive {
		o.counts["archived"]++
		req := &messages.ArchiveRequest{Head: value.Archive, Generation: version.Generation, Fingerprint: register.Fingerprint(version)}
		done = false
		for _, name := range append([]string{at}, o.names...) {
			node := o.controllers[name]
			if status := node.archive.Lookup(req).Status; !node.down && status != messages.VersionUnknown {
				done, result = true, register.CheckSuccessor(value.Current, version)
				if status == messages.VersionCommitted {
					result = register.ResultAlreadyApplied
				}
			}
		}
	}
	switch {
	case !done || result == register.ResultBaseAhead:
		respond(unknown)
	case result.InForce():
		respond(acknowledged)
	default:
		respond(rejected)
	}
}

// sendUntilResolved sends a version until a definite response arrives, each time to a random
// process, often before the previous attempt has ended.
func (o *operators) sendUntilResolved(operator string, version messages.Version, attempts int, callback func(status status)) {
	finished := false
	var retry func(attempts int)
	retry = func(attempts int) {
		if finished || attempts == 0 {
			return
		}
		o.sendOnce(operator, o.names[o.world.Random.Intn(len(o.names))], version, func(status status) {
			if !finished {
				finished = true
				callback(status)
			}
		})
		o.world.After(clock.Milliseconds(10+600*o.world.Random.Float64()), func() { retry(attempts - 1) })
	}
	retry(attempts)
}

// run is one operator. It bases its requests on the version that it believes to be the newest. Some
// of them reuse the generation or the exact content of another request, and some repeat an old one.
func (o *operators) run(operator string, requests int) {
	newest := int64(0)
	var step func(remaining int)
	step = func(remaining int) {
		if remaining == 0 {
			return
		}
		random := o.world.Random
		version := messages.Version{Generation: newest + 1 + int64(random.Intn(2)), Base: newest, Hash: fmt.Sprint(operator, remaining)}
		if len(o.sent) > 0 && random.Intn(4) == 0 {
			version = o.sent[random.Intn(len(o.sent))]
			o.counts["again"]++
		}
		if len(o.sent) > 0 && random.Intn(8) == 0 {
			// Based on a request that has no response yet.
			base := o.sent[len(o.sent)-1]
			version = messages.Version{Generation: base.Generation + 1, Base: base.Generation, Hash: fmt.Sprint("hasty", operator, remaining)}
		}
		o.sent = append(o.sent, version)
		finished := false
		next := func() {
			if !finished {
				finished = true
				o.world.After(clock.Milliseconds(40*random.Float64()), func() { step(remaining - 1) })
			}
		}
		o.sendUntilResolved(operator, version, 6, func(status status) {
			if status == acknowledged && version.Generation > newest {
				newest = version.Generation
				next()
				return
			}
			o.change(o.names[random.Intn(len(o.names))], register.ReadOnly, 4, func(value messages.RegisterValue, done bool) {
				if done {
					newest = value.Current.Generation
				}
				next()
			})
		})
		o.world.After(clock.Milliseconds(3000), next)
	}
	step(requests)
}

// injectFaults isolates or restarts one process, partitions one direction of one link, or does
// nothing, and repeats this up to 2.5 s later. Faults may overlap: they last up to 900 ms.
func (o *operators) injectFaults() {
	name := o.names[o.world.Random.Intn(len(o.names))]
	switch o.world.Random.Intn(4) {
	case 0:
		o.world.Isolate(name, o.names, true)
		o.world.After(clock.Milliseconds(700), func() { o.world.Isolate(name, o.names, false) })
	case 1:
		o.restartLater(name)
	case 2:
		other := o.names[o.world.Random.Intn(len(o.names))]
		o.world.SetPartitioned(name, other, true)
		o.world.After(clock.Milliseconds(900), func() { o.world.SetPartitioned(name, other, false) })
	}
	o.world.After(clock.Milliseconds(2500*o.world.Random.Float64()), o.injectFaults)
}

// Eight operators send requests at once and retry those with an unknown outcome, while messages are
// lost and duplicated, links are partitioned, and processes crash between the two rounds and
// restart from their disks. A version that came into force must never be rejected, a rejected
// version must never come into force, and no two versions may have the same base.
func TestOperatorHistoriesAreLinearizable(t *testing.T) {
	total := map[string]int{}
	for seed := int64(1); seed <= int64(simulation.Seeds(120)); seed++ {
		operators := newOperators(t, seed)
		operators.world.LossProbability, operators.world.DuplicateProbability, operators.crashProbability = 0.03, 0.03, 0.03
		operators.maxSyncMs = float64(seed%3) * 8
		for index := range 8 {
			operators.run(fmt.Sprint("operator", index), 14)
		}
		operators.injectFaults()
		operators.world.Run(clock.Instant(clock.Milliseconds(60_000)))
		for _, observed := range operators.observations {
			inForce := operators.byGeneration[observed.version.Generation] == observed.version
			if observed.status == acknowledged && !inForce {
				t.Fatalf("seed %d: acknowledged but not in the history: %v", seed, observed)
			}
			if observed.status == rejected && inForce {
				t.Fatalf("seed %d: rejected but in the history: %v", seed, observed)
			}
			total[fmt.Sprint("status ", observed.status)]++
		}
		total["versions"] += len(operators.byGeneration)
		for _, key := range simulation.SortedKeys(operators.counts) {
			total[key] += operators.counts[key]
		}
	}
	t.Log(total)
	if total["versions"] < 30*simulation.Seeds(120) || total["archived"] < simulation.Seeds(120) {
		t.Fatalf("too few versions or archive lookups, want at least %d and %d: %v", 30*simulation.Seeds(120), simulation.Seeds(120), total)
	}
}
