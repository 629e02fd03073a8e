package register_test

import (
	"fmt"
	"testing"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// Two operators at a time send changes on the same base while messages are lost and duplicated and
// processes are isolated or restarted. At most one change on each base may be acknowledged, and no
// acknowledged version may be lost.
func TestAcknowledgedVersionsRemainUnderFaults(t *testing.T) {
	names := []string{"a", "b", "c"}
	for seed := int64(1); seed <= 150; seed++ {
		fleet := newFleet(t, seed, names...)
		fleet.world.LossProbability, fleet.world.DuplicateProbability = 0.05, 0.05
		generation, base := int64(0), int64(0)
		for round := 0; round < 12; round++ {
			// Two operators base a change on the same version, each at a random node.
			for operator := 0; operator < 2; operator++ {
				generation += 1 + int64(fleet.world.Random.Intn(3))
				from := names[fleet.world.Random.Intn(3)]
				next, onBase := generation, base
				fleet.world.After(clock.Milliseconds(30*fleet.world.Random.Float64()), func() { fleet.replace(from, next, onBase, fmt.Sprint(next)) })
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
			t.Fatalf("seed %d: only %d versions were acknowledged, want at least 4", seed, len(fleet.acked))
		}
	}
}

func TestSameSeedSameHistory(t *testing.T) {
	sum := func() uint64 {
		fleet := newFleet(t, 7, "a", "b", "c")
		fleet.world.LossProbability = 0.1
		for step := int64(1); step < 6; step++ {
			fleet.replace("a", step, step-1, "x")
			fleet.replace("b", step, step-1, "y")
			fleet.world.Run(fleet.world.Now.Add(clock.Milliseconds(3000)))
		}
		return fleet.world.HistoryHash()
	}
	if first, second := sum(), sum(); first != second {
		t.Fatalf("the same seed produced two histories, with hashes %x and %x", first, second)
	}
}

// A value is accepted by a and b; a loses its disk; then b and c lose power. The acceptor that lost
// its promises must neither vote under its old identity nor cause the value to be lost.
func TestAcceptorThatLostItsDiskDoesNotVote(t *testing.T) {
	fleet := newFleet(t, 3, "a", "b", "c")
	fleet.world.Isolate("c", []string{"a", "b"}, true)
	fleet.replace("a", 5, 0, "five")
	fleet.world.Run(clock.Instant(2_000_000_000))
	if fleet.acked[5] == "" {
		t.Fatal("version 5 was not acknowledged by a majority")
	}
	fleet.wipe("a")
	fleet.controllers["a"].known = fleet.controllers["c"].known
	fleet.world.Isolate("c", []string{"a", "b"}, false)
	// While b is down, a with its empty disk and the outdated c must not form a majority.
	fleet.controllers["b"].down = true
	decided := false
	fleet.change("c", register.ReadOnly, 4, func(_ messages.RegisterValue, done bool) { decided = done })
	fleet.world.Run(fleet.world.Now.Add(clock.Milliseconds(4000)))
	if decided {
		t.Fatal("an acceptor that lost its disk counted in a majority")
	}
	fleet.restart("b")
	fleet.restart("c")
	if found := fleet.newest("c"); found != 5 {
		t.Fatalf("read generation %d after the power loss, want 5", found)
	}
	// a replaces its old identity in the set, and counts from then on.
	joined := false
	old := messages.Member{Address: "a", Disk: "first"}
	fleet.change("a", register.Join(fleet.controllers["a"].member, &old, 3), 10, func(_ messages.RegisterValue, done bool) { joined = done })
	fleet.world.Run(fleet.world.Now.Add(clock.Milliseconds(4000)))
	ended := false
	fleet.change("a", register.EndJoint, 10, func(value messages.RegisterValue, done bool) { ended = done && len(value.Previous) == 0 })
	fleet.world.Run(fleet.world.Now.Add(clock.Milliseconds(4000)))
	if !joined || !ended {
		t.Fatalf("replacing the old identity: joined %v, joint set ended %v, want both", joined, ended)
	}
	fleet.controllers["b"].down = true
	if found := fleet.newest("c"); found != 5 {
		t.Fatalf("read generation %d with the joiner's vote, want 5", found)
	}
}

// A version that is sent again, as after an unknown outcome, is acknowledged although another
// version has followed it, never rejected. A new version on the old base is a conflict.
func TestResentVersionIsNeverRejected(t *testing.T) {
	fleet := newFleet(t, 11, "a", "b", "c")
	fleet.replace("a", 2, 0, "two")
	fleet.world.Run(clock.Instant(1_000_000_000))
	fleet.replace("b", 4, 2, "four")
	fleet.world.Run(fleet.world.Now.Add(clock.Milliseconds(1000)))
	var result register.Result
	fleet.change("c", register.Replace(messages.Version{Generation: 2, Hash: "two"}, []byte("two"), &result), 5, func(messages.RegisterValue, bool) {})
	fleet.world.Run(fleet.world.Now.Add(clock.Milliseconds(2000)))
	if result != register.ResultAlreadyApplied {
		t.Fatalf("resent version got result %d, want ResultAlreadyApplied", result)
	}
	fleet.change("c", register.Replace(messages.Version{Generation: 6, Base: 2, Hash: "six"}, []byte("six"), &result), 5, func(messages.RegisterValue, bool) {})
	fleet.world.Run(fleet.world.Now.Add(clock.Milliseconds(2000)))
	if result != register.ResultConflict {
		t.Fatalf("change on an old base got result %d, want ResultConflict", result)
	}
}

// A process that only proposes is killed during its rounds and restarted immediately, while others
// resend its requests. Its new incarnation must not reuse a ballot of the old one for another
// value.
func TestRestartedProposerUsesNoBallotTwice(t *testing.T) {
	acked := 0
	for seed := int64(1); seed <= 300; seed++ {
		fleet := newFleet(t, seed, "a", "b", "c")
		fleet.addNonMember("d")
		fleet.world.LossProbability = 0.3
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
		t.Fatalf("only %d versions were acknowledged, want at least 500", acked)
	}
}

// One history that TestRestartedProposerUsesNoBallotTwice guards against, step by step: d sent X
// under a ballot that a and b had promised, and only a accepted it before d was killed. The new
// incarnation of d reached the same counter through c, which did not know of that ballot, and had Y
// chosen by b and c. A read at a and b must return Y.
func TestIncarnationsWithOneCounterUseDifferentBallots(t *testing.T) {
	fleet := newFleet(t, 1, "a", "b", "c")
	accept := func(name string, ballot messages.Ballot, label string) bool {
		value := messages.RegisterValue{Acceptors: fleet.controllers["a"].disk.First, Current: messages.Version{Hash: label}}
		resp, _ := fleet.controllers[name].acceptor.Accept(&messages.AcceptRequest{Ballot: ballot, Disk: "first", Value: value})
		return resp.Granted
	}
	prepare := func(name string, ballot messages.Ballot) messages.PrepareResponse {
		resp, _ := fleet.controllers[name].acceptor.Prepare(&messages.PrepareRequest{Ballot: ballot, Disk: "first"})
		return resp
	}
	old, newBallot := register.NewBallot(6, "d", "disk", 1), register.NewBallot(6, "d", "disk", 2)
	prepare("a", old)
	prepare("b", old)
	accept("a", old, "X")
	if !prepare("b", newBallot).Granted || !prepare("c", newBallot).Granted || !accept("b", newBallot, "Y") || !accept("c", newBallot, "Y") {
		t.Fatal("the later incarnation was rejected, so the test has no effect")
	}
	proposal, _ := register.NewProposal(register.NewBallot(9, "e", "disk", 1), messages.RegisterValue{Acceptors: fleet.controllers["a"].disk.First}, register.ReadOnly)
	for _, name := range []string{"a", "b"} {
		proposal.HandlePrepareResponse(fleet.controllers[name].member, prepare(name, register.NewBallot(9, "e", "disk", 1)))
	}
	if got := proposal.Value().Current.Hash; got != "Y" {
		t.Fatalf("read %q, want Y", got)
	}
}

// Processes that are not members join the set in place of a member, while in each round one direction
// of one link is partitioned and disks are slow. Acknowledged versions must remain.
func TestAcknowledgedVersionsRemainThroughSetChanges(t *testing.T) {
	joins := 0
	for seed := int64(1); seed <= 80; seed++ {
		fleet := newFleet(t, seed, "a", "b", "c")
		fleet.addNonMember("d")
		fleet.world.LossProbability = 0.03
		fleet.maxSyncMs = 120
		names := []string{"a", "b", "c", "d"}
		generation, base := int64(0), int64(0)
		for round := 0; round < 5; round++ {
			from := names[fleet.world.Random.Intn(4)]
			generation += 2
			fleet.replace(from, generation, base, fmt.Sprint(generation))
			// One direction of one link is partitioned, then healed.
			left, right := names[fleet.world.Random.Intn(4)], names[fleet.world.Random.Intn(4)]
			fleet.world.SetPartitioned(left, right, true)
			fleet.world.After(clock.Milliseconds(900), func() { fleet.world.SetPartitioned(left, right, false) })
			// Each process that is not a member replaces a member.
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
		t.Fatalf("only %d set changes, want at least 80", joins)
	}
}
