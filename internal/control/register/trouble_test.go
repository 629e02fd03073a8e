package register_test

import (
	"fmt"
	"testing"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

func TestRegisterUnderFaults(t *testing.T) {
	names := []string{"a", "b", "c"}
	for seed := int64(1); seed <= 150; seed++ {
		fleet := newFleet(t, seed, names...)
		fleet.world.Loss, fleet.world.Double = 0.05, 0.05
		generation, base := int64(0), int64(0)
		for round := 0; round < 12; round++ {
			// Two operators build on the same version from different nodes.
			for racer := 0; racer < 2; racer++ {
				generation += 1 + int64(fleet.world.Random.Intn(3))
				from := names[fleet.world.Random.Intn(3)]
				next, on := generation, base
				fleet.world.After(clock.Milliseconds(30*fleet.world.Random.Float64()), func() { fleet.replace(from, next, on, fmt.Sprint(next)) })
			}
			fault := names[fleet.world.Random.Intn(3)]
			switch fleet.world.Random.Intn(3) {
			case 0:
				fleet.world.Isolate(fault, names, true)
				fleet.world.After(clock.Milliseconds(300), func() { fleet.world.Isolate(fault, names, false) })
			case 1:
				fleet.controllers[fault].down = true
				fleet.world.After(clock.Milliseconds(300), func() { fleet.restart(fault) })
			}
			fleet.world.Run(fleet.world.Now.Add(clock.Milliseconds(6000)))
			if found := fleet.newest(names[fleet.world.Random.Intn(3)]); found >= 0 {
				base = found
			}
		}
		if len(fleet.acked) < 4 {
			t.Fatalf("seed %d: only %d versions were acknowledged", seed, len(fleet.acked))
		}
	}
}

func TestSameSeedSameHistory(t *testing.T) {
	sum := func() uint64 {
		fleet := newFleet(t, 7, "a", "b", "c")
		fleet.world.Loss = 0.1
		for step := int64(1); step < 6; step++ {
			fleet.replace("a", step, step-1, "x")
			fleet.replace("b", step, step-1, "y")
			fleet.world.Run(fleet.world.Now.Add(clock.Milliseconds(3000)))
		}
		return fleet.world.Sum()
	}
	if first, second := sum(), sum(); first != second {
		t.Fatal("one seed gave two histories")
	}
}

// A value stands on a and b; a loses its disk; then b and c lose power. The
// acceptor that forgot its promises must neither vote in its old place nor make anybody forget.
func TestAmnesia(t *testing.T) {
	fleet := newFleet(t, 3, "a", "b", "c")
	fleet.world.Isolate("c", []string{"a", "b"}, true)
	fleet.replace("a", 5, 0, "five")
	fleet.world.Run(clock.Instant(2_000_000_000))
	if fleet.acked[5] == "" {
		t.Fatal("not acknowledged at a majority")
	}
	fleet.wipe("a")
	fleet.controllers["a"].known = fleet.controllers["c"].known
	fleet.world.Isolate("c", []string{"a", "b"}, false)
	// With b away the emptied a and the outdated c must not make a majority.
	fleet.controllers["b"].down = true
	decided := false
	fleet.change("c", register.ReadOnly, 4, func(_ messages.RegisterValue, done bool) { decided = done })
	fleet.world.Run(fleet.world.Now.Add(clock.Milliseconds(4000)))
	if decided {
		t.Fatal("an amnesiac helped a majority")
	}
	fleet.restart("b")
	fleet.restart("c")
	if found := fleet.newest("c"); found != 5 {
		t.Fatalf("found %d after the power loss, want 5", found)
	}
	// a takes its own place again under its new identity, then counts.
	joined := false
	old := messages.Member{Address: "a", Disk: "first"}
	fleet.change("a", register.Join(fleet.controllers["a"].member, &old, 3), 10, func(_ messages.RegisterValue, done bool) { joined = done })
	fleet.world.Run(fleet.world.Now.Add(clock.Milliseconds(4000)))
	linearizable := false
	fleet.change("a", register.EndJoint, 10, func(value messages.RegisterValue, done bool) { linearizable = done && len(value.Previous) == 0 })
	fleet.world.Run(fleet.world.Now.Add(clock.Milliseconds(4000)))
	if !joined || !linearizable {
		t.Fatal("the newcomer did not join")
	}
	fleet.controllers["b"].down = true
	if found := fleet.newest("c"); found != 5 {
		t.Fatalf("found %d with the newcomer's vote, want 5", found)
	}
}

// An unfinished value is finished by whoever meets it, and a version resent after
// an unclear answer is acknowledged, never refused.
func TestLostAcknowledgementThenResend(t *testing.T) {
	fleet := newFleet(t, 11, "a", "b", "c")
	fleet.replace("a", 2, 0, "two")
	fleet.world.Run(clock.Instant(1_000_000_000))
	fleet.replace("b", 4, 2, "four")
	fleet.world.Run(fleet.world.Now.Add(clock.Milliseconds(1000)))
	var result register.Result
	fleet.change("c", register.Replace(messages.Version{Generation: 2, Hash: "two"}, []byte("two"), &result), 5, func(messages.RegisterValue, bool) {})
	fleet.world.Run(fleet.world.Now.Add(clock.Milliseconds(2000)))
	if result != register.ResultAlreadyApplied {
		t.Fatalf("resent version got outcome %d", result)
	}
	fleet.change("c", register.Replace(messages.Version{Generation: 6, Base: 2, Hash: "six"}, []byte("six"), &result), 5, func(messages.RegisterValue, bool) {})
	fleet.world.Run(fleet.world.Now.Add(clock.Milliseconds(2000)))
	if result != register.ResultConflict {
		t.Fatalf("change on an old base got outcome %d", result)
	}
}

// A process that only proposes is killed in the middle of its rounds and started
// again at once, while others resend what it had sent. Its new incarnation may not use a
// ballot of the old one for another value.
func TestRestartedProposerUsesNoBallotTwice(t *testing.T) {
	acked := 0
	for seed := int64(1); seed <= 300; seed++ {
		fleet := newFleet(t, seed, "a", "b", "c")
		fleet.outsider("d")
		fleet.world.Loss = 0.3
		fleet.replace("a", 1, 0, "1")
		fleet.world.Run(clock.Instant(3_000_000_000))
		base := fleet.newest("a")
		for round := 0; round < 3 && base > 0; round++ {
			first, second := base+1, base+2
			fleet.replace("d", first, base, fmt.Sprint(first))
			fleet.world.Run(fleet.world.Now.Add(clock.Milliseconds(20 + 90*fleet.world.Random.Float64())))
			fleet.controllers["d"].down = true
			fleet.restart("d")
			fleet.replace("d", second, base, fmt.Sprint(second))
			fleet.world.After(clock.Milliseconds(100*fleet.world.Random.Float64()), func() { fleet.replace("b", first, base, fmt.Sprint(first)) })
			fleet.world.Run(fleet.world.Now.Add(clock.Milliseconds(6000)))
			base = fleet.newest("c")
		}
		acked += len(fleet.acked)
	}
	if acked < 500 {
		t.Fatalf("only %d versions were acknowledged", acked)
	}
}

// The history behind it, step by step: d sent X under a ballot that a and b had
// promised, and only a took it when d was killed. Its new incarnation came to the same
// counter by way of c, which had learnt nothing, and had Y chosen by b and c. Who
// reads at a and b must find Y.
func TestTwoIncarnationsOneCounter(t *testing.T) {
	fleet := newFleet(t, 1, "a", "b", "c")
	accept := func(name string, ballot messages.Ballot, label string) bool {
		value := messages.RegisterValue{Acceptors: fleet.controllers["a"].disk.First, Current: messages.Version{Hash: label}}
		resp, _ := fleet.controllers[name].live.Accept(&messages.AcceptRequest{Ballot: ballot, Disk: "first", Value: value})
		return resp.Granted
	}
	prepare := func(name string, ballot messages.Ballot) messages.PrepareResponse {
		resp, _ := fleet.controllers[name].live.Prepare(&messages.PrepareRequest{Ballot: ballot, Disk: "first"})
		return resp
	}
	old, young := register.NewBallot(6, "d", "disk", 1), register.NewBallot(6, "d", "disk", 2)
	prepare("a", old)
	prepare("b", old)
	accept("a", old, "X")
	if !prepare("b", young).Granted || !prepare("c", young).Granted || !accept("b", young, "Y") || !accept("c", young, "Y") {
		t.Fatal("the later life was refused, so this history says nothing")
	}
	proposal, _ := register.NewProposal(register.NewBallot(9, "e", "disk", 1), messages.RegisterValue{Acceptors: fleet.controllers["a"].disk.First}, register.ReadOnly)
	for _, name := range []string{"a", "b"} {
		proposal.HandlePrepareResponse(fleet.controllers[name].member, prepare(name, register.NewBallot(9, "e", "disk", 1)))
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
		fleet := newFleet(t, seed, "a", "b", "c")
		fleet.outsider("d")
		fleet.world.Loss = 0.03
		fleet.slow = 120
		names := []string{"a", "b", "c", "d"}
		generation, base := int64(0), int64(0)
		for round := 0; round < 5; round++ {
			from := names[fleet.world.Random.Intn(4)]
			generation += 2
			fleet.replace(from, generation, base, fmt.Sprint(generation))
			// One direction of one link is cut, then joined again.
			left, right := names[fleet.world.Random.Intn(4)], names[fleet.world.Random.Intn(4)]
			fleet.world.SetPartitioned(left, right, true)
			fleet.world.After(clock.Milliseconds(900), func() { fleet.world.SetPartitioned(left, right, false) })
			// Whoever stands by takes a member's place.
			known := fleet.controllers["a"].known.Acceptors
			voting := map[string]bool{}
			for _, member := range known {
				voting[member.Address] = true
			}
			for _, name := range names {
				if !voting[name] && len(known) == 3 {
					out := known[fleet.world.Random.Intn(3)]
					fleet.change(name, register.Join(fleet.controllers[name].member, &out, 3), 10, func(_ messages.RegisterValue, done bool) {
						if done {
							joins++
							fleet.change(name, register.EndJoint, 10, func(messages.RegisterValue, bool) {})
						}
					})
				}
			}
			fleet.world.Run(fleet.world.Now.Add(clock.Milliseconds(9000)))
			if found := fleet.newest(names[fleet.world.Random.Intn(4)]); found >= 0 {
				base = found
			}
		}
	}
	if joins < 80 {
		t.Fatalf("only %d changes of the set", joins)
	}
}
