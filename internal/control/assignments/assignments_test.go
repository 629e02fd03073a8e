package assignments

import (
	"strings"
	"testing"

	"lemonarch/internal/platform/messages"
)

func TestApplyRejectsOlderRevisions(t *testing.T) {
	table := Table{}
	for _, step := range []struct {
		revision int64
		applied  bool
	}{{0, false}, {2, true}, {2, false}, {1, false}, {7, true}, {3, false}} {
		if table.Apply(messages.PlanResponse{Revision: step.revision}) != step.applied {
			t.Fatalf("Apply of revision %d: want result %v, got the opposite", step.revision, step.applied)
		}
	}
	if table.Revision() != 7 {
		t.Fatalf("got revision %d, want 7", table.Revision())
	}
}

func TestNextWindow(t *testing.T) {
	windows := []messages.PlanWindow{{Name: "nightly", Starts: "22:30"}, {Name: "morning", Starts: "05:45"}, {Name: "early", Starts: "05:45"}}
	for minute, want := range map[int]string{0: "early", 5*60 + 44: "early", 5*60 + 45: "nightly", 22*60 + 29: "nightly", 22*60 + 30: "early", 23*60 + 59: "early"} {
		if next, found := Next(windows, minute); !found || next.Name != want {
			t.Errorf("minute %d: got window %q, want %q", minute, next.Name, want)
		}
	}
	if next, found := Next(windows[:1], 22*60+30); !found || next.Name != "nightly" {
		t.Error("the only window is not returned as the next one at its own start")
	}
	if _, found := Next(nil, 0); found {
		t.Error("got a window from an empty list")
	}
}

func TestStatus(t *testing.T) {
	plan := &messages.PlanResponse{Revision: 3, Generation: 9, Windows: []messages.PlanWindow{{Name: "nightly", Starts: "22:30"}}, Absent: []string{"n2"},
		Placements: []messages.PlanPlacement{{Window: "nightly", Adapter: "a", Node: "n1"}, {Window: "nightly", Adapter: "b", Node: "n2"}}, Collisions: []string{"window nightly: rules r: why"}}
	text := func(node string) string {
		lines := ""
		for _, row := range Status(plan, node, 0).Rows {
			lines += strings.Join(row, "|") + "\n"
		}
		return lines
	}
	if got := text("n1"); got != "3|9|nightly 22:30||||COLLISION, the last answer stays in force: window nightly: rules r: why\n3|9|nightly 22:30|n1|nightly|a|in force\n" {
		t.Fatalf("status of n1: got %q, want the collision and the placement of a", got)
	}
	if got := text(""); !strings.Contains(got, "|n2|||gone\n") || !strings.Contains(got, "|n2|nightly|b|in force\n") {
		t.Fatalf("status of all nodes: got %q, want rows for n2 as absent and for its placement of b", got)
	}
	plan.Collisions = nil
	if got := text("n7"); got != "3|9|nightly 22:30|n7|||carries nothing\n" {
		t.Fatalf("status of a node without placements: got %q, want one row that says so", got)
	}
	if len(Status(&messages.PlanResponse{}, "n1", 0).Rows) != 0 {
		t.Fatal("got rows for a plan with revision 0")
	}
}
