package explore

import (
	"testing"

	"pgregory.net/rapid"
)

// Long histories by chance: members are replaced, lose their disks and join again many
// times, while versions follow each other.
func TestLongHistories(t *testing.T) {
	plan := Plan{Members: three, Outsiders: []string{"d", "e"}, Suspect: "a",
		Tenders: []string{"a", "b", "c", "d"}, Writers: []string{"e"}, Versions: 20,
		Attempts: 60, Wipes: 8, Restarts: 8, Doubles: 8}
	var epochs uint64
	var taken int
	rapid.Check(t, func(rt *rapid.T) {
		state := NewFleet(plan)
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
		entry := state.(*fleet)
		for index := range entry.votes {
			value := entry.table.at(entry.votes[index].value)
			epochs, taken = max(epochs, value.SetEpoch), max(taken, len(versions(value)))
		}
	})
	t.Logf("up to epoch %d and %d versions in one history", epochs, taken)
}

// drawStep draws a step, a message nine times of ten.
func drawStep(rt *rapid.T, steps []Step) Step {
	var wanted []Step
	message := rapid.IntRange(0, 9).Draw(rt, "kind") > 0
	for _, step := range steps {
		if step.Message == message {
			wanted = append(wanted, step)
		}
	}
	if len(wanted) == 0 {
		wanted = steps
	}
	return wanted[rapid.IntRange(0, len(wanted)-1).Draw(rt, "step")]
}
