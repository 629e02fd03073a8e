package register_test

import (
	"fmt"
	"testing"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// worst is a fleet that loses one machine for good and the second at the worst step of
// the repair: the instant at which a change of the set was chosen.
type worst struct {
	*grown
	// armed says that the second loss is still to come; epoch is the set's before.
	armed bool
	epoch uint64
	lost  int
}

// repaired is told of each chosen value.
func (w *worst) repaired(value messages.RegisterValue) {
	if !w.armed || value.SetEpoch <= w.epoch {
		return
	}
	if len(value.Previous) > 0 && w.world.Random.Intn(3) == 0 {
		// The next step of the repair then.
		w.epoch = value.SetEpoch
		return
	}
	w.armed = false
	victim := w.victim(&value)
	w.lost++
	w.stop(victim)
	wiped := w.world.Random.Intn(2) == 0
	w.world.After(clock.Milliseconds(300+1500*w.world.Random.Float64()), func() { w.start(victim, wiped) })
}

// victim gives the newest member, the one before it, or any other that is up.
func (w *worst) victim(value *messages.RegisterValue) string {
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

// strike takes one member away for good, with its disk; an empty successor comes.
func (w *worst) strike(value messages.RegisterValue) {
	member := value.Acceptors[w.world.Random.Intn(len(value.Acceptors))]
	w.stop(member.Address)
	delete(w.controllers, member.Address)
	w.number++
	fresh := fmt.Sprint("fresh", w.number)
	w.armed, w.epoch = true, value.SetEpoch
	w.world.After(clock.Milliseconds(1500*w.world.Random.Float64()), func() {
		record := messages.AcceptorRecord{Disk: fresh}
		w.controllers[fresh] = &controller{member: messages.Member{Name: fresh, Address: fresh, Disk: fresh}, disk: record, live: register.NewAcceptor(record)}
		w.reconcile(fresh)
	})
}

// newestSet gives the newest value known anywhere.
func (w *worst) newestSet() messages.RegisterValue {
	var newest messages.RegisterValue
	for _, name := range simulation.Keys(w.controllers) {
		if node := w.controllers[name]; node.chosen && node.known.SetEpoch >= newest.SetEpoch {
			newest = node.known
		}
	}
	return newest
}

// The second loss comes at each step of the repair of the first, right after the step
// was chosen, with the disk and without: what was acknowledged stands, and a majority
// comes back.
func TestSecondLossAtEachStepOfARepair(t *testing.T) {
	second := 0
	for seed := int64(1); seed <= int64(simulation.Seeds(80)); seed++ {
		w := &worst{grown: newGrown(t, seed)}
		w.world.Loss, w.world.Double = 0.02, 0.02
		w.slow = float64(seed%3) * 15
		w.chosen = w.repaired
		if !w.until(clock.Milliseconds(20_000), w.complete) {
			t.Fatalf("seed %d: not whole at first", seed)
		}
		for generation := int64(1); generation <= 5; generation++ {
			w.insist(generation, generation-1)
			if !w.until(clock.Milliseconds(budgetRecover), func() bool { return w.acked[generation] != "" }) {
				t.Fatalf("seed %d: version %d not acknowledged", seed, generation)
			}
			w.strike(w.newestSet())
			if !w.until(clock.Milliseconds(60_000), w.complete) {
				t.Fatalf("seed %d: not repaired a minute after a loss", seed)
			}
			// A step that no proposer saw to its end brought no second loss.
			w.armed = false
			names := simulation.Keys(w.controllers)
			if found := w.newest(names[w.world.Random.Intn(len(names))]); found >= 0 && found < generation {
				t.Fatalf("seed %d: found %d, want %d", seed, found, generation)
			}
		}
		second += w.lost
	}
	if second < 4*simulation.Seeds(80) {
		t.Fatalf("only %d second losses", second)
	}
}

// A joint set that only c accepted was never chosen: a and b may choose something else
// on the old set. Who ends joint sets has to make it chosen first.
func TestJointSetIsChosenBeforeItEnds(t *testing.T) {
	fleet := newFleet(t, 1, "a", "b", "c")
	fleet.outsider("d")
	first := messages.RegisterValue{Acceptors: fleet.controllers["a"].disk.First}
	var out *messages.Member
	joint, _ := register.Join(fleet.controllers["d"].member, out, 4)(first)
	ballot := register.NewBallot(1, "d", "d", 0)
	fleet.controllers["c"].live.Accept(&messages.AcceptRequest{Ballot: ballot, Disk: "first", Value: joint})
	proposal, _ := register.NewProposal(register.NewBallot(2, "e", "e", 0), joint, register.EndJoint)
	var sends []register.Send
	for _, name := range []string{"b", "c", "d"} {
		node := fleet.controllers[name]
		resp, _ := node.live.Prepare(&messages.PrepareRequest{Ballot: register.NewBallot(2, "e", "e", 0), Disk: node.member.Disk})
		sends = append(sends, proposal.HandlePrepareResponse(node.member, resp)...)
	}
	if len(sends) == 0 {
		t.Fatal("no second round, so this says nothing")
	}
	if value := sends[0].Accept.Value; len(value.Previous) == 0 || !proposal.FinishedOther() {
		t.Fatal("ended a joint set that no majority of the old set had accepted")
	}
}
