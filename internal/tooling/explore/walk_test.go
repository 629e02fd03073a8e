package explore

import (
	"testing"

	"pgregory.net/rapid"
)

// TestRegisterInvariantsInLongHistories checks the invariants of the register after each step of long random
// histories, in which members are replaced, lose their disks and rejoin many times while versions are applied
// one after another.
func TestRegisterInvariantsInLongHistories(t *testing.T) {
	plan := Plan{Members: threeMembers, NonMembers: []string{"d", "e"}, Suspect: "a",
		Reconcilers: []string{"a", "b", "c", "d"}, Writers: []string{"e"}, Versions: 20,
		Attempts: 60, Wipes: 8, Restarts: 8, Duplicates: 8}
	var epochs uint64
	var longest int
	rapid.Check(t, func(rt *rapid.T) {
		state := NewRegisterState(plan)
		for count := rapid.IntRange(20, 120).Draw(rt, "steps"); count > 0; count-- {
			steps := state.Next()
			if len(steps) == 0 {
				break
			}
			step := drawStep(rt, steps)
			rt.Log(step.Name)
			state = step.To
			if err := state.Check(); err != nil {
				rt.Fatal(err)
			}
		}
		register := state.(*registerState)
		for index := range register.votes {
			value := register.table.value(register.votes[index].value)
			epochs, longest = max(epochs, value.SetEpoch), max(longest, len(versions(value)))
		}
	})
	t.Logf("highest epoch %d and at most %d versions in one history", epochs, longest)
}

// drawStep draws a step, and with a probability of nine in ten one that delivers a message.
func drawStep(rt *rapid.T, steps []Step) Step {
	var candidates []Step
	delivery := rapid.IntRange(0, 9).Draw(rt, "kind") > 0
	for _, step := range steps {
		if step.Message == delivery {
			candidates = append(candidates, step)
		}
	}
	if len(candidates) == 0 {
		candidates = steps
	}
	return candidates[rapid.IntRange(0, len(candidates)-1).Draw(rt, "step")]
}
