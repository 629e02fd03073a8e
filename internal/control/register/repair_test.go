package register_test

import (
	"fmt"
	"testing"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// repairFleet is a fleet that loses one machine permanently and a second one during the repair, at
// the moment at which a change of the set is chosen.
type repairFleet struct {
	*growingFleet
	// lossPending is set until the second loss has occurred, which it does at a set with a later epoch
	// than epoch.
	lossPending bool
	epoch       uint64
	losses      int
}

// handleChosen handles each chosen value.
func (w *repairFleet) handleChosen(value messages.RegisterValue) {
	if !w.lossPending || value.SetEpoch <= w.epoch {
		return
	}
	if len(value.Previous) > 0 && w.world.Random.Intn(3) == 0 {
		// The loss occurs at the next step of the repair instead.
		w.epoch = value.SetEpoch
		return
	}
	w.lossPending = false
	name := w.pickMember(&value)
	w.losses++
	w.stop(name)
	wiped := w.world.Random.Intn(2) == 0
	w.world.After(clock.Milliseconds(300+1500*w.world.Random.Float64()), func() { w.start(name, wiped) })
}

// pickMember returns the newest member in half of the cases, and a random live member otherwise.
func (w *repairFleet) pickMember(value *messages.RegisterValue) string {
	var up []string
	for _, member := range register.Targets(value) {
		if node := w.controllers[member.Address]; node != nil && !node.down {
			up = append(up, member.Address)
		}
	}
	newest := value.Acceptors[len(value.Acceptors)-1].Address
	if node := w.controllers[newest]; node != nil && !node.down && w.world.Random.Intn(2) == 0 {
		return newest
	}
	return up[w.world.Random.Intn(len(up))]
}

// loseMember removes one member permanently, with its disk; an empty replacement is added.
func (w *repairFleet) loseMember(value messages.RegisterValue) {
	member := value.Acceptors[w.world.Random.Intn(len(value.Acceptors))]
	w.stop(member.Address)
	delete(w.controllers, member.Address)
	w.replacements++
	fresh := fmt.Sprint("fresh", w.replacements)
	w.lossPending, w.epoch = true, value.SetEpoch
	w.world.After(clock.Milliseconds(1500*w.world.Random.Float64()), func() {
		record := messages.AcceptorRecord{Disk: fresh}
		w.controllers[fresh] = &controller{member: messages.Member{Name: fresh, Address: fresh, Disk: fresh}, disk: record, acceptor: register.NewAcceptor(record)}
		w.reconcile(fresh)
	})
}

// newestSet returns the value with the newest set that any process knows to be chosen.
func (w *repairFleet) newestSet() messages.RegisterValue {
	var newest messages.RegisterValue
	for _, name := range simulation.Keys(w.controllers) {
		if node := w.controllers[name]; node.chosen && node.known.SetEpoch >= newest.SetEpoch {
			newest = node.known
		}
	}
	return newest
}

// A second member is lost at each step of the repair after the first loss, right after the step was
// chosen, with or without its disk. Acknowledged versions must remain, and the set must become
// complete again.
func TestSecondLossAtEachStepOfARepair(t *testing.T) {
	totalLosses := 0
	for seed := int64(1); seed <= int64(simulation.Seeds(80)); seed++ {
		w := &repairFleet{growingFleet: newGrowingFleet(t, seed)}
		w.world.LossProbability, w.world.DuplicateProbability = 0.02, 0.02
		w.maxSyncMs = float64(seed%3) * 15
		w.onChosen = w.handleChosen
		if !w.runUntil(clock.Milliseconds(20_000), w.complete) {
			t.Fatalf("seed %d: set not complete at the start", seed)
		}
		for generation := int64(1); generation <= 5; generation++ {
			w.replaceUntilAcknowledged(generation, generation-1)
			if !w.runUntil(clock.Milliseconds(budgetRecover), func() bool { return w.acked[generation] != "" }) {
				t.Fatalf("seed %d: version %d not acknowledged", seed, generation)
			}
			w.loseMember(w.newestSet())
			if !w.runUntil(clock.Milliseconds(60_000), w.complete) {
				t.Fatalf("seed %d: set not complete a minute after a loss", seed)
			}
			// A step that no proposer saw complete caused no second loss.
			w.lossPending = false
			names := simulation.Keys(w.controllers)
			if found := w.newest(names[w.world.Random.Intn(len(names))]); found >= 0 && found < generation {
				t.Fatalf("seed %d: read generation %d, want at least %d", seed, found, generation)
			}
		}
		totalLosses += w.losses
	}
	if totalLosses < 4*simulation.Seeds(80) {
		t.Fatalf("only %d second losses occurred", totalLosses)
	}
}

// A joint set that only c accepted was never chosen: a and b may choose another value on the old
// set. A proposer that ends a joint set must have it chosen first.
func TestJointSetIsChosenBeforeItEnds(t *testing.T) {
	fleet := newFleet(t, 1, "a", "b", "c")
	fleet.addNonMember("d")
	first := messages.RegisterValue{Acceptors: fleet.controllers["a"].disk.First}
	var out *messages.Member
	joint, _ := register.Join(fleet.controllers["d"].member, out, 4)(first)
	ballot := register.NewBallot(1, "d", "d", 0)
	fleet.controllers["c"].acceptor.Accept(&messages.AcceptRequest{Ballot: ballot, Disk: "first", Value: joint})
	proposal, _ := register.NewProposal(register.NewBallot(2, "e", "e", 0), joint, register.EndJoint)
	var sends []register.Send
	for _, name := range []string{"b", "c", "d"} {
		node := fleet.controllers[name]
		resp, _ := node.acceptor.Prepare(&messages.PrepareRequest{Ballot: register.NewBallot(2, "e", "e", 0), Disk: node.member.Disk})
		sends = append(sends, proposal.HandlePrepareResponse(node.member, resp)...)
	}
	if len(sends) == 0 {
		t.Fatal("no second round was started, so the test has no effect")
	}
	if value := sends[0].Accept.Value; len(value.Previous) == 0 || !proposal.FinishedOther() {
		t.Fatal("ended a joint set that no majority of the old set had accepted")
	}
}
