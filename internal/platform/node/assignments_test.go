package node

import (
	"testing"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/settings"
	"lemonarch/internal/platform/transport"
)

// TestNodePullsItsPartAndNeverGoesBack: a node follows the controller it speaks with,
// asks only when that has something newer, and holds on to what it has.
func TestNodePullsItsPartAndNeverGoesBack(t *testing.T) {
	room := transport.NewRoom()
	revision, pulls, asker := int64(0), 0, ""
	_ = room.Transport("controller:1").Serve(func(kind messages.Kind, body []byte) ([]byte, error) {
		question := &messages.PlanPull{}
		if kind != messages.KindPlanPull || transport.Read(body, question) != nil {
			return nil, nil
		}
		pulls, asker = pulls+1, question.Node
		return transport.Write(&messages.PlanTold{Revision: revision, Places: []messages.PlanPlace{{Window: "w", Adapter: "a", Node: question.Node}}})
	})
	node := New(&settings.Settings{NodeName: "n", Address: "127.0.0.1", InternalPorts: []int{21100, 21110}}, membership.RoleGateway, 1, "", hclog.NewNullLogger())
	node.Wire = room.Transport("node:1")
	for _, step := range []struct{ has, want int64 }{{2, 2}, {1, 2}, {5, 5}, {4, 5}} {
		revision = step.has
		node.pullPlan("controller:1")
		if told := node.Assigned(); told.Revision != step.want || len(told.Places) != 1 || asker != "n" {
			t.Fatalf("controller has %d: %+v", step.has, told)
		}
	}
	before := pulls
	for _, seen := range []int64{0, 4, 5} {
		node.sawPlan(seen, "controller:1")
	}
	if node.assigned.pulling || pulls != before {
		t.Fatal("asked for what it has")
	}
	if rows := node.reportAssigned().Rows; len(rows) != 1 || rows[0][0] != "5" {
		t.Fatal(rows)
	}
	room.Cut("controller:1", true)
	node.pullPlan("controller:1")
	if node.Assigned().Revision != 5 {
		t.Fatal("a silent controller changed what is in force")
	}
}
