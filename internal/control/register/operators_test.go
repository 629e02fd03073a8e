package register_test

import (
	"fmt"
	"testing"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// status is what an operator saw of one try of an order.
type status int

const (
	unanswered status = iota
	acknowledged
	refused
)

// sighted is one answer that an operator saw.
type sighted struct {
	operator string
	at       string
	version  messages.Version
	status   status
	when     clock.Instant
}

// operators send orders to a fleet, again where no clear answer came, and keep what
// they saw.
type operators struct {
	*fleet
	names  []string
	seen   []sighted
	sent   []messages.Version
	chain  map[int64]messages.Version
	onTop  map[int64]messages.Version
	counts map[string]int
}

func newOperators(t *testing.T, seed int64) *operators {
	t.Helper()

	o := &operators{fleet: newFleet(t, seed, "a", "b", "c"), chain: map[int64]messages.Version{}, onTop: map[int64]messages.Version{}, counts: map[string]int{}}
	o.outsider("d")
	o.outsider("e")
	o.names = []string{"a", "b", "c", "d", "e"}
	o.fleet.chosen = o.note
	return o
}

// note keeps the one true history, and fails where there are two.
func (o *operators) note(value messages.RegisterValue) {
	for _, version := range append([]messages.Version{value.Current}, value.History...) {
		if version.Generation == 0 {
			continue
		}
		if other, known := o.chain[version.Generation]; known && other != version {
			o.test.Fatalf("two histories: %v and %v", other, version)
		}
		if other, known := o.onTop[version.Base]; known && other != version {
			o.test.Fatalf("two versions on one base: %v and %v", other, version)
		}
		o.chain[version.Generation], o.onTop[version.Base] = version, version
	}
}

// try sends an order to one process; ended is told of a clear answer.
func (o *operators) try(operator, at string, version messages.Version, ended func(status status)) {
	resp := func(status status) {
		o.world.Send(at, operator, func() {
			o.seen = append(o.seen, sighted{operator, at, version, status, o.world.Now})
			if status != unanswered {
				ended(status)
			}
		})
	}
	o.world.Send(operator, at, func() {
		if o.controllers[at].down {
			return
		}
		var result register.Result
		o.change(at, register.Replace(version, []byte(version.Hash), &result), 6, func(value messages.RegisterValue, done bool) {
			o.conclude(at, &value, version, result, done, resp)
		})
	})
}

// conclude is what quorum.Register.Replace and the controller make of an outcome.
func (o *operators) conclude(at string, value *messages.RegisterValue, version messages.Version, result register.Result, done bool, resp func(status)) {
	if done && result == register.ResultNeedsArchive {
		o.counts["archived"]++
		req := &messages.ArchiveRequest{Head: value.Archive, Generation: version.Generation, Fingerprint: register.Fingerprint(version)}
		done = false
		for _, name := range append([]string{at}, o.names...) {
			node := o.controllers[name]
			if sought := node.archive.Lookup(req).Status; !node.down && sought != messages.VersionUnknown {
				done, result = true, register.CheckSuccessor(value.Current, version)
				if sought == messages.VersionCommitted {
					result = register.ResultAlreadyApplied
				}
			}
		}
	}
	switch {
	case !done || result == register.ResultBaseAhead:
		resp(unanswered)
	case result.InForce():
		resp(acknowledged)
	default:
		resp(refused)
	}
}

// order sends a version until a clear answer comes, each time to any process, often
// before the first try has ended.
func (o *operators) order(operator string, version messages.Version, attempts int, ended func(status status)) {
	over := false
	var again func(attempts int)
	again = func(attempts int) {
		if over || attempts == 0 {
			return
		}
		o.try(operator, o.names[o.world.Random.Intn(len(o.names))], version, func(status status) {
			if !over {
				over = true
				ended(status)
			}
		})
		o.world.After(clock.Milliseconds(10+600*o.world.Random.Float64()), func() { again(attempts - 1) })
	}
	again(attempts)
}

// work is one operator: it builds on what it believes to be newest, at times with the
// number or the very bytes of somebody else's order, at times sends an old one again.
func (o *operators) work(operator string, orders int) {
	newest := int64(0)
	var step func(left int)
	step = func(left int) {
		if left == 0 {
			return
		}
		random := o.world.Random
		version := messages.Version{Generation: newest + 1 + int64(random.Intn(2)), Base: newest, Hash: fmt.Sprint(operator, left)}
		if len(o.sent) > 0 && random.Intn(4) == 0 {
			version = o.sent[random.Intn(len(o.sent))]
			o.counts["again"]++
		}
		if len(o.sent) > 0 && random.Intn(8) == 0 {
			// Built on an order that has no answer yet.
			base := o.sent[len(o.sent)-1]
			version = messages.Version{Generation: base.Generation + 1, Base: base.Generation, Hash: fmt.Sprint("hasty", operator, left)}
		}
		o.sent = append(o.sent, version)
		over := false
		next := func() {
			if !over {
				over = true
				o.world.After(clock.Milliseconds(40*random.Float64()), func() { step(left - 1) })
			}
		}
		o.order(operator, version, 6, func(status status) {
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
	step(orders)
}

// trouble cuts, ends, and restarts processes, one at a time.
func (o *operators) trouble() {
	name := o.names[o.world.Random.Intn(len(o.names))]
	switch o.world.Random.Intn(4) {
	case 0:
		o.world.Isolate(name, o.names, true)
		o.world.After(clock.Milliseconds(700), func() { o.world.Isolate(name, o.names, false) })
	case 1:
		o.bounce(name)
	case 2:
		other := o.names[o.world.Random.Intn(len(o.names))]
		o.world.SetPartitioned(name, other, true)
		o.world.After(clock.Milliseconds(900), func() { o.world.SetPartitioned(name, other, false) })
	}
	o.world.After(clock.Milliseconds(2500*o.world.Random.Float64()), o.trouble)
}

// Eight operators send orders at once, each again where no clear answer came, while
// messages are lost and doubled, links are cut, processes end between the two rounds
// and come back from their disks. Nothing that came into force is ever refused, what
// was refused never comes into force, and no two versions stand on one base.
func TestOperatorHistoriesAreLinearizable(t *testing.T) {
	total := map[string]int{}
	for seed := int64(1); seed <= int64(simulation.Seeds(120)); seed++ {
		operators := newOperators(t, seed)
		operators.world.Loss, operators.world.Double, operators.crash = 0.03, 0.03, 0.03
		operators.slow = float64(seed%3) * 8
		for index := range 8 {
			operators.work(fmt.Sprint("operator", index), 14)
		}
		operators.trouble()
		operators.world.Run(clock.Instant(clock.Milliseconds(60_000)))
		for _, resp := range operators.seen {
			inForce := operators.chain[resp.version.Generation] == resp.version
			if resp.status == acknowledged && !inForce {
				t.Fatalf("seed %d: acknowledged, yet not in the history: %v", seed, resp)
			}
			if resp.status == refused && inForce {
				t.Fatalf("seed %d: refused, yet in the history: %v", seed, resp)
			}
			total[fmt.Sprint("status ", resp.status)]++
		}
		total["versions"] += len(operators.chain)
		for _, key := range simulation.Keys(operators.counts) {
			total[key] += operators.counts[key]
		}
	}
	t.Log(total)
	if total["versions"] < 30*simulation.Seeds(120) || total["archived"] < simulation.Seeds(120) {
		t.Fatalf("too little happened: %v", total)
	}
}
