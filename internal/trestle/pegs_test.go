package trestle

import (
	"testing"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/bellows"
	"lemonarch/internal/boot"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
)

// TestNodePullsItsPartAndNeverGoesBack: a node follows the foreman it speaks with,
// asks only when that has something newer, and holds on to what it has.
func TestNodePullsItsPartAndNeverGoesBack(test *testing.T) {
	room := tongs.NewRoom()
	revision, pulls, asker := int64(0), 0, ""
	_ = room.Transport("foreman:1").Serve(func(kind pattern.Kind, body []byte) ([]byte, error) {
		question := &pattern.PlanPull{}
		if kind != pattern.KindPlanPull || tongs.Read(body, question) != nil {
			return nil, nil
		}
		pulls, asker = pulls+1, question.Node
		return tongs.Write(&pattern.PlanTold{Revision: revision, Places: []pattern.PlanPlace{{Window: "w", Adapter: "a", Node: question.Node}}})
	})
	node := New(&boot.Boot{NodeName: "n", Address: "127.0.0.1", InternalPorts: []int{21100, 21110}}, bellows.RoleForge, 1, "", hclog.NewNullLogger())
	node.Wire = room.Transport("node:1")
	for _, step := range []struct{ has, want int64 }{{2, 2}, {1, 2}, {5, 5}, {4, 5}} {
		revision = step.has
		node.pullPlan("foreman:1")
		if told := node.Assigned(); told.Revision != step.want || len(told.Places) != 1 || asker != "n" {
			test.Fatalf("foreman has %d: %+v", step.has, told)
		}
	}
	before := pulls
	for _, seen := range []int64{0, 4, 5} {
		node.sawPlan(seen, "foreman:1")
	}
	if node.pegs.pulling || pulls != before {
		test.Fatal("asked for what it has")
	}
	if rows := node.reportPegs().Rows; len(rows) != 1 || rows[0][0] != "5" {
		test.Fatal(rows)
	}
	room.Cut("foreman:1", true)
	node.pullPlan("foreman:1")
	if node.Assigned().Revision != 5 {
		test.Fatal("a silent foreman changed what is in force")
	}
}
