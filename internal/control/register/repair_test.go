package register_test

import (
	"fmt"
	"testing"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// repairFleet is a fleet that loses one machine permanently and a second one for a while during the
// repair, at the moment at which a change of the set is chosen. The second loss is placed there because
// that is the worst step of the repair for it.
type repairFleet struct {
	*growingFleet
	// lossPending is set while the second loss is still to come. It occurs when a set with an epoch
	// higher than epoch is chosen.
	lossPending bool
	epoch       uint64
	losses      int
}

// handleChosen handles each chosen value.
func (f *repairFleet) handleChosen(value messages.RegisterValue) {
	if !f.lossPending || value.SetEpoch <= f.epoch {
		return
	}
	if len(value.Previous) > 0 && f.world.Random.Intn(3) == 0 {
		// The loss occurs at the next step of the repair instead.
		f.epoch = value.SetEpoch
		return
	}
	f.lossPending = false
	name := f.pickMember(&value)
	f.losses++
	f.stop(name)
	wiped := f.world.Random.Intn(2) == 0
	f.world.After(clock.Milliseconds(300+1500*f.world.Random.Float64()), func() { f.start(name, wiped) })
}

// pickMember returns the newest member in half of the cases, and a random live member otherwise.
func (f *repairFleet) pickMember(value *messages.RegisterValue) string {
	var up []string
	for _, member := range register.Targets(value) {
		if node := f.controllers[member.Address]; node != nil && !node.down {
			up = append(up, member.Address)
		}
	}
	newest := value.Acceptors[len(value.Acceptors)-1].Address
	if node := f.controllers[newest]; node != nil && !node.down && f.world.Random.Intn(2) == 0 {
		return newest
	}
	return up[f.world.Random.Intn(len(up))]
}

// loseMember removes one member permanently, with its disk; an empty replacement is added.
func (f *repairFleet) loseMember(value messages.RegisterValue) {
	member := value.Acceptors[f.world.Random.Intn(len(value.Acceptors))]
	f.stop(member.Address)
	delete(f.controllers, member.Address)
	f.replacements++
	fresh := fmt.Sprint("fresh", f.replacements)
	f.lossPending, f.epoch = true, value.SetEpoch
	f.world.After(clock.Milliseconds(1500*f.world.Random.Float64()), func() {
		record := messages.AcceptorRecord{Disk: fresh}
		f.controllers[fresh] = &controller{member: messages.Member{Name: fresh, Address: fresh, Disk: fresh}, disk: record, acceptor: register.NewAcceptor(record)}
		f.reconcile(fresh)
	})
}

// newestSet returns the value with the newest set that any process knows to be chosen.
func (f *repairFleet) newestSet() messages.RegisterValue {
	var newest messages.RegisterValue
	for _, name := range simulation.SortedKeys(f.controllers) {
		if node := f.controllers[name]; node.chosen && node.known.SetEpoch >= newest.SetEpoch {
			newest = node.known
		}
	}
	return newest
}

// During the repair after the loss of a member, a second one stops right after a random step of the
// repair was chosen. It restarts 0.3 to 1.8 s later, with its disk or with an empty one. Acknowledged
// versions must remain, and the set must become complete again.
func TestAcknowledgedSurvivesASecondLossDuringRepair(t *testing.T) {
	totalLosses := 0
	for seed := int64(1); seed <= int64(simulation.Seeds(80)); seed++ {
		f := &repairFleet{growingFleet: newGrowingFleet(t, seed)}
		f.world.LossProbability, f.world.DuplicateProbability = 0.02, 0.02
		f.maxSyncMs = float64(seed%3) * 15
		f.onChosen = f.handleChosen
		if !f.runUntil(clock.Milliseconds(20_000), f.complete) {
			t.Fatalf("seed %d: set not complete within 20 s of the start", seed)
		}
		for generation := int64(1); generation <= 5; generation++ {
			f.replaceUntilAcknowledged(generation, generation-1)
			if !f.runUntil(clock.Milliseconds(budgetRecover), func() bool { return f.acked[generation] != "" }) {
				t.Fatalf("seed %d: version %d not acknowledged within %d ms", seed, generation, budgetRecover)
			}
			f.loseMember(f.newestSet())
			if !f.runUntil(clock.Milliseconds(60_000), f.complete) {
				t.Fatalf("seed %d: set not complete a minute after a loss", seed)
			}
			// A step that no proposer saw complete caused no second loss.
			f.lossPending = false
			names := simulation.SortedKeys(f.controllers)
			if found := f.newest(names[f.world.Random.Intn(len(names))]); found >= 0 && found < generation {
				t.Fatalf("seed %d: read generation %d, want at least %d", seed, found, generation)
			}
		}
		totalLosses += f.losses
	}
	if totalLosses < 4*simulation.Seeds(80) {
		t.Fatalf("only %d second losses occurred, want at least %d", totalLosses, 4*simulation.Seeds(80))
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
