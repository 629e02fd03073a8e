package controller

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/control/assignmentserver"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/settings"
	"lemonarch/internal/platform/transport"
)

// reconcilePlansSet makes a controller reconcile the acceptor set of the register of assignments as in the
// first second after its start.
func reconcilePlansSet(controller *Controller) {
	controller.Node.StartedAt = clock.Now()
	controller.assignments.ReconcileSet()
}

// voters creates controllers that vote with disks in memory, so that the test does not depend on how
// fast the machine's disk syncs.
func voters(t *testing.T, count int) (map[int]*Controller, *transport.MemoryNetwork) {
	t.Helper()

	network, controllers := transport.NewMemoryNetwork(), map[int]*Controller{}
	for number := 1; number <= count; number++ {
		controllers[number] = voter(t, network, number, true)
	}
	exchangeMembership(controllers)
	return controllers, network
}

// voter creates one such controller. first marks the system's first start.
func voter(t *testing.T, network *transport.MemoryNetwork, number int, first bool) *Controller {
	t.Helper()

	nodeSettings := &settings.Settings{NodeName: fmt.Sprint("m", number), Address: fmt.Sprint("10.0.0.", number), Zone: fmt.Sprint("h", number%4),
		InternalPorts: []int{7000, 7010}, Seeds: []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"}, Bootstrap: first, InQuorum: true,
		HeartbeatMs: 1200, FaultBudget: settings.FaultBudget{Machines: 2}}
	controller, err := New(nodeSettings, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	controller.Node.Transport = network.Transport(controller.Node.Self.Address)
	if err = controller.Node.Transport.Serve(controller.Node.Dispatch); err != nil {
		t.Fatal(err)
	}
	return controller
}

// exchangeMembership makes every controller observe all others, as their heartbeats would.
func exchangeMembership(controllers map[int]*Controller) {
	for _, controller := range controllers {
		for _, other := range controllers {
			if controller != other {
				controller.Node.Observe([]messages.NodeInfo{other.Node.Self})
			}
		}
	}
}

// TestAssignmentsSurviveALostDiskAndTwoLosses checks that the acceptor set of the register of assignments
// expands to the budget, that a member whose disk was wiped returns with a new identity and does not
// vote under the old one, and that an acknowledged plan can still be read after this disk and two other
// machines are lost. The acceptor set of the configuration must not change.
func TestAssignmentsSurviveALostDiskAndTwoLosses(t *testing.T) {
	controllers, network := voters(t, 8)
	for round := 0; round < 3; round++ {
		for number := 1; number <= 8; number++ {
			reconcilePlansSet(controllers[number])
		}
	}
	set := controllers[8].assignments.Replica().Known()
	if len(set.Acceptors) != 5 || len(set.Previous) != 0 {
		t.Fatal("want a set of 5 acceptors and no previous set, got ", len(set.Acceptors), len(set.Previous))
	}
	if len(members(controllers[8])) != 3 {
		t.Fatal("the acceptor set of the configuration changed: ", members(controllers[8]))
	}
	rules, solution := rulesAndSolution(t)
	exchangeMembership(controllers)
	response := &messages.PlanApplyResponse{}
	dispatchTo(t, controllers[1], messages.KindPlanApply, &messages.PlanApplyRequest{Rules: rules, Solution: solution}, response)
	if !response.Applied || response.Revision != 1 {
		t.Fatalf("plan not applied: %+v", response)
	}
	network.SetPartitioned(controllers[1].Node.Self.Address, true)
	before := controllers[3].assignments.Replica().Identity()
	controllers[3].Node.Transport.Close()
	// The same machine starts with an empty disk, and not as at the system's first start.
	controllers[3] = voter(t, network, 3, false)
	exchangeMembership(controllers)
	promise := &messages.PrepareResponse{}
	dispatchTo(t, controllers[3], messages.KindNamedPrepare, &messages.NamedPrepareRequest{Name: assignmentserver.RegisterName,
		Request: messages.PrepareRequest{Ballot: messages.Ballot{Counter: 1 << 30, Node: "x"}, Disk: before.Disk}}, promise)
	if promise.Granted {
		t.Fatal("an acceptor whose disk was wiped voted with its old identity")
	}
	for round := 0; round < 3; round++ {
		reconcilePlansSet(controllers[3])
	}
	known := controllers[3].assignments.Replica().Known()
	rejoined := false
	for _, member := range known.Acceptors {
		rejoined = rejoined || member.Disk == controllers[3].assignments.Replica().Identity().Disk
	}
	if !rejoined || len(known.Acceptors) != 5 {
		t.Fatal("the machine whose disk was wiped is not in the acceptor set of five: ", known.Acceptors)
	}
	network.SetPartitioned(controllers[2].Node.Self.Address, true)
	plan, err := controllers[3].assignments.Read()
	if err != nil || plan.Revision != 1 || !bytes.Equal(plan.Value.Rules, rules) {
		t.Fatalf("read of the plan after the losses: error %v, plan %+v, want revision 1 and the applied rules", err, plan)
	}
}
