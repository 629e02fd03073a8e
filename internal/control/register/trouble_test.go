package register_test

import (
	"fmt"
	"testing"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

func TestRegisterUnderTrouble(t *testing.T) {
	names := []string{"a", "b", "c"}
	for seed := int64(1); seed <= 150; seed++ {
		one := newFleet(t, seed, names...)
		one.world.Loss, one.world.Double = 0.05, 0.05
		generation, base := int64(0), int64(0)
		for round := 0; round < 12; round++ {
			// Two operators build on the same version from different nodes.
			for racer := 0; racer < 2; racer++ {
				generation += 1 + int64(one.world.Random.Intn(3))
				from := names[one.world.Random.Intn(3)]
				next, on := generation, base
				one.world.After(clock.Milliseconds(30*one.world.Random.Float64()), func() { one.replace(from, next, on, fmt.Sprint(next)) })
			}
			trouble := names[one.world.Random.Intn(3)]
			switch one.world.Random.Intn(3) {
			case 0:
				one.world.Isolate(trouble, names, true)
				one.world.After(clock.Milliseconds(300), func() { one.world.Isolate(trouble, names, false) })
			case 1:
				one.controllers[trouble].down = true
				one.world.After(clock.Milliseconds(300), func() { one.restart(trouble) })
			}
			one.world.Run(one.world.Now.Plus(clock.Milliseconds(6000)))
			if found := one.newest(names[one.world.Random.Intn(3)]); found >= 0 {
				base = found
			}
		}
		if len(one.acked) < 4 {
			t.Fatalf("seed %d: only %d versions were acknowledged", seed, len(one.acked))
		}
	}
}

func TestSameSeedSameHistory(t *testing.T) {
	sum := func() uint64 {
		one := newFleet(t, 7, "a", "b", "c")
		one.world.Loss = 0.1
		for step := int64(1); step < 6; step++ {
			one.replace("a", step, step-1, "x")
			one.replace("b", step, step-1, "y")
			one.world.Run(one.world.Now.Plus(clock.Milliseconds(3000)))
		}
		return one.world.Sum()
	}
	if first, second := sum(), sum(); first != second {
		t.Fatal("one seed gave two histories")
	}
}

// A value stands on a and b; a loses its disk; then b and c lose power. The
// amnesiac must neither vote in its old place nor make anybody forget.
func TestAmnesia(t *testing.T) {
	one := newFleet(t, 3, "a", "b", "c")
	one.world.Isolate("c", []string{"a", "b"}, true)
	one.replace("a", 5, 0, "five")
	one.world.Run(clock.Moment(2_000_000_000))
	if one.acked[5] == "" {
		t.Fatal("not acknowledged at a majority")
	}
	one.wipe("a")
	one.controllers["a"].known = one.controllers["c"].known
	one.world.Isolate("c", []string{"a", "b"}, false)
	// With b away the wiped a and the outdated c must not make a majority.
	one.controllers["b"].down = true
	decided := false
	one.change("c", register.Look, 4, func(_ messages.Register, done bool) { decided = done })
	one.world.Run(one.world.Now.Plus(clock.Milliseconds(4000)))
	if decided {
		t.Fatal("an amnesiac helped a majority")
	}
	one.restart("b")
	one.restart("c")
	if found := one.newest("c"); found != 5 {
		t.Fatalf("found %d after the power loss, want 5", found)
	}
	// a takes its own place again under its new identity, then counts.
	joined := false
	old := messages.Member{Address: "a", Disk: "first"}
	one.change("a", register.Join(one.controllers["a"].member, &old, 3), 10, func(_ messages.Register, done bool) { joined = done })
	one.world.Run(one.world.Now.Plus(clock.Milliseconds(4000)))
	settled := false
	one.change("a", register.Settle, 10, func(value messages.Register, done bool) { settled = done && len(value.Previous) == 0 })
	one.world.Run(one.world.Now.Plus(clock.Milliseconds(4000)))
	if !joined || !settled {
		t.Fatal("the newcomer did not join")
	}
	one.controllers["b"].down = true
	if found := one.newest("c"); found != 5 {
		t.Fatalf("found %d with the newcomer's vote, want 5", found)
	}
}

// An unfinished value is finished by whoever meets it, and a version resent after
// an unclear answer is acknowledged, never refused.
func TestLostAcknowledgementThenResend(t *testing.T) {
	one := newFleet(t, 11, "a", "b", "c")
	one.replace("a", 2, 0, "two")
	one.world.Run(clock.Moment(1_000_000_000))
	one.replace("b", 4, 2, "four")
	one.world.Run(one.world.Now.Plus(clock.Milliseconds(1000)))
	var result register.Result
	one.change("c", register.Replace(messages.Version{Generation: 2, Hash: "two"}, []byte("two"), &result), 5, func(messages.Register, bool) {})
	one.world.Run(one.world.Now.Plus(clock.Milliseconds(2000)))
	if result != register.ResultAlready {
		t.Fatalf("resent version got outcome %d", result)
	}
	one.change("c", register.Replace(messages.Version{Generation: 6, Base: 2, Hash: "six"}, []byte("six"), &result), 5, func(messages.Register, bool) {})
	one.world.Run(one.world.Now.Plus(clock.Milliseconds(2000)))
	if result != register.ResultOther {
		t.Fatalf("change on an old base got outcome %d", result)
	}
}

// A process that only proposes is killed in the middle of its rounds and started
// again at once, while others resend what it had sent. Its new life may not use a
// ballot of the old one for another value.
func TestRestartedProposerUsesNoBallotTwice(t *testing.T) {
	acked := 0
	for seed := int64(1); seed <= 300; seed++ {
		one := newFleet(t, seed, "a", "b", "c")
		one.outsider("d")
		one.world.Loss = 0.3
		one.replace("a", 1, 0, "1")
		one.world.Run(clock.Moment(3_000_000_000))
		base := one.newest("a")
		for round := 0; round < 3 && base > 0; round++ {
			first, second := base+1, base+2
			one.replace("d", first, base, fmt.Sprint(first))
			one.world.Run(one.world.Now.Plus(clock.Milliseconds(20 + 90*one.world.Random.Float64())))
			one.controllers["d"].down = true
			one.restart("d")
			one.replace("d", second, base, fmt.Sprint(second))
			one.world.After(clock.Milliseconds(100*one.world.Random.Float64()), func() { one.replace("b", first, base, fmt.Sprint(first)) })
			one.world.Run(one.world.Now.Plus(clock.Milliseconds(6000)))
			base = one.newest("c")
		}
		acked += len(one.acked)
	}
	if acked < 500 {
		t.Fatalf("only %d versions were acknowledged", acked)
	}
}

// The history behind it, step by step: d sent X under a ballot that a and b had
// promised, and only a took it when d was killed. Its new life came to the same
// counter by way of c, which had heard nothing, and had Y chosen by b and c. Who
// reads at a and b must find Y.
func TestTwoLivesOneCounter(t *testing.T) {
	one := newFleet(t, 1, "a", "b", "c")
	accept := func(name string, ballot messages.Ballot, mark string) bool {
		value := messages.Register{Acceptors: one.controllers["a"].disk.First, Current: messages.Version{Hash: mark}}
		answer, _ := one.controllers[name].live.Accept(&messages.Accept{Ballot: ballot, Disk: "first", Value: value})
		return answer.Granted
	}
	prepare := func(name string, ballot messages.Ballot) messages.Promise {
		answer, _ := one.controllers[name].live.Prepare(&messages.Prepare{Ballot: ballot, Disk: "first"})
		return answer
	}
	old, young := register.NewBallot(6, "d", "disk", 1), register.NewBallot(6, "d", "disk", 2)
	prepare("a", old)
	prepare("b", old)
	accept("a", old, "X")
	if !prepare("b", young).Granted || !prepare("c", young).Granted || !accept("b", young, "Y") || !accept("c", young, "Y") {
		t.Fatal("the later life was refused, so this history says nothing")
	}
	proposal, _ := register.Begin(register.NewBallot(9, "e", "disk", 1), messages.Register{Acceptors: one.controllers["a"].disk.First}, register.Look)
	for _, name := range []string{"a", "b"} {
		proposal.Promised(one.controllers[name].member, prepare(name, register.NewBallot(9, "e", "disk", 1)))
	}
	if got := proposal.Value().Current.Hash; got != "Y" {
		t.Fatalf("read %q, although Y was chosen", got)
	}
}

// Members join and take each other's places while links are cut in one direction
// or both and disks are slow; whatever was acknowledged stays.
func TestSetChangesUnderCutsAndSlowDisks(t *testing.T) {
	joins := 0
	for seed := int64(1); seed <= 80; seed++ {
		one := newFleet(t, seed, "a", "b", "c")
		one.outsider("d")
		one.world.Loss = 0.03
		one.slow = 120
		names := []string{"a", "b", "c", "d"}
		generation, base := int64(0), int64(0)
		for round := 0; round < 5; round++ {
			from := names[one.world.Random.Intn(4)]
			generation += 2
			one.replace(from, generation, base, fmt.Sprint(generation))
			// One direction of one link is cut, then joined again.
			left, right := names[one.world.Random.Intn(4)], names[one.world.Random.Intn(4)]
			one.world.Cut(left, right, true)
			one.world.After(clock.Milliseconds(900), func() { one.world.Cut(left, right, false) })
			// Whoever stands by takes a member's place.
			known := one.controllers["a"].known.Acceptors
			voting := map[string]bool{}
			for _, member := range known {
				voting[member.Address] = true
			}
			for _, name := range names {
				if !voting[name] && len(known) == 3 {
					out := known[one.world.Random.Intn(3)]
					one.change(name, register.Join(one.controllers[name].member, &out, 3), 10, func(_ messages.Register, done bool) {
						if done {
							joins++
							one.change(name, register.Settle, 10, func(messages.Register, bool) {})
						}
					})
				}
			}
			one.world.Run(one.world.Now.Plus(clock.Milliseconds(9000)))
			if found := one.newest(names[one.world.Random.Intn(4)]); found >= 0 {
				base = found
			}
		}
	}
	if joins < 80 {
		t.Fatalf("only %d changes of the set", joins)
	}
}
