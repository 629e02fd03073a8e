package agent

import (
	"testing"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/settings"
	"lemonarch/internal/platform/transport"
)

// TestAgentPullsOwnAssignmentsAndNeverReverts checks that a node follows the plan of the controller
// that it reports to, pulls only a newer revision, and keeps its assignments if the controller has
// an older one or is unreachable.
func TestAgentPullsOwnAssignmentsAndNeverReverts(t *testing.T) {
	network := transport.NewMemoryNetwork()
	revision, pulls, requester := int64(0), 0, ""
	_ = network.Transport("controller:1").Serve(func(kind messages.Kind, body []byte) ([]byte, error) {
		req := &messages.PlanRequest{}
		if kind != messages.KindPlanPull || transport.Decode(body, req) != nil {
			return nil, nil
		}
		pulls, requester = pulls+1, req.Node
		return transport.Encode(&messages.PlanResponse{Revision: revision, Placements: []messages.PlanPlacement{{Window: "w", Adapter: "a", Node: req.Node}}})
	})
	node := New(&settings.Settings{NodeName: "n", Address: "127.0.0.1", InternalPorts: []int{21100, 21110}}, membership.RoleGateway, 1, "", hclog.NewNullLogger())
	node.Transport = network.Transport("node:1")
	for _, step := range []struct{ has, want int64 }{{2, 2}, {1, 2}, {5, 5}, {4, 5}} {
		revision = step.has
		node.pullPlan("controller:1")
		if plan := node.Assigned(); plan.Revision != step.want || len(plan.Placements) != 1 || requester != "n" {
			t.Fatalf("controller has revision %d, request of node %q: assigned %+v, want one placement of revision %d for n",
				step.has, requester, plan, step.want)
		}
	}
	before := pulls
	for _, observed := range []int64{0, 4, 5} {
		node.observePlan(observed, "controller:1")
	}
	if node.plan.pulling || pulls != before {
		t.Fatalf("pulled a revision that is not newer: %d pulls, want %d; pulling %v", pulls, before, node.plan.pulling)
	}
	if rows := node.reportAssigned().Rows; len(rows) != 1 || rows[0][0] != "5" {
		t.Fatalf("status rows %v, want one row of revision 5", rows)
	}
	network.SetPartitioned("controller:1", true)
	node.pullPlan("controller:1")
	if node.Assigned().Revision != 5 {
		t.Fatal("a failed pull changed the assignments, want revision 5 still")
	}
}
