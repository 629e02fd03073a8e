package controller

import (
	"fmt"
	"testing"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/settings"
	"lemonarch/internal/platform/transport"
)

// fleet creates controllers on machines 10.0.0.1 and so on, connected by an in-memory network. The first
// three are the seeds. The machines in diskless have no disk.
func fleet(t *testing.T, count int, diskless map[int]bool) (map[int]*Controller, *transport.MemoryNetwork) {
	t.Helper()

	network, controllers := transport.NewMemoryNetwork(), map[int]*Controller{}
	for number := 1; number <= count; number++ {
		processSettings := &settings.Settings{NodeName: fmt.Sprint("m", number), Address: fmt.Sprint("10.0.0.", number), Zone: fmt.Sprint("h", number%4),
			InternalPorts: []int{7000, 7010}, Seeds: []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"}, Bootstrap: true,
			HeartbeatMs: 1200, FaultBudget: settings.FaultBudget{Machines: 2}}
		// The machines with a disk vote, and their disks are in memory: with syncs of a real disk, the
		// outcome would depend on the load of the test machine.
		processSettings.InQuorum = !diskless[number]
		controller, err := New(processSettings, hclog.NewNullLogger())
		if err != nil {
			t.Fatal(err)
		}
		controller.Node.Transport = network.Transport(controller.Node.Self.Address)
		if err = controller.Node.Transport.Serve(controller.Node.Dispatch); err != nil {
			t.Fatal(err)
		}
		controllers[number] = controller
	}
	for _, controller := range controllers {
		renewContact(t, controller)
		for _, other := range controllers {
			controller.Node.Observe([]messages.NodeInfo{other.Node.Self})
		}
	}
	return controllers, network
}

// reconcileSet makes a controller reconcile the acceptor set as in the first second after its start,
// without the random choice that applies later.
func reconcileSet(controller *Controller) {
	controller.Node.StartedAt = clock.Now()
	recoverWorkers(controller)
	controller.sets.Reconcile()
}

// members returns the addresses of the acceptors that a controller knows.
func members(controller *Controller) map[string]bool {
	addresses := map[string]bool{}
	for _, member := range controller.Register.Known().Acceptors {
		addresses[member.Address] = true
	}
	return addresses
}

// Eight controllers that start with three seeds expand the acceptor set to five members, as the budget
// of two machines requires, and to no more. Each of them reconciles the set in turn.
func TestSetExpandsToTheBudget(t *testing.T) {
	controllers, network := fleet(t, 8, nil)
	for round := 0; round < 3; round++ {
		for number := 1; number <= 8; number++ {
			reconcileSet(controllers[number])
		}
	}
	value, err := controllers[8].Register.Read()
	if err != nil || len(value.Acceptors) != 5 || len(value.Previous) != 0 {
		t.Fatalf("read of the register: error %v, %d acceptors and %d previous ones, want 5 and 0", err, len(value.Acceptors), len(value.Previous))
	}
	// The register remains readable after the loss of two seeds.
	network.SetPartitioned("10.0.0.1:7000", true)
	network.SetPartitioned("10.0.0.2:7000", true)
	if _, err = controllers[8].Register.Read(); err != nil {
		t.Fatal(err)
	}
}

// A controller without a disk runs, responds and does not vote. A place in the acceptor set that the seed
// list assigned to one is taken over by a machine with a disk. Otherwise votes without a disk would
// count towards a quorum.
func TestControllerWithoutADiskDoesNotVote(t *testing.T) {
	controllers, _ := fleet(t, 8, map[int]bool{2: true, 7: true})
	if controllers[7].Node.Self.Disk != "" {
		t.Fatal("a controller without a disk announces a disk")
	}
	for round := 0; round < 4; round++ {
		for _, number := range []int{7, 2, 4, 5, 6, 8} {
			reconcileSet(controllers[number])
		}
	}
	set := members(controllers[8])
	if len(set) != 5 || set["10.0.0.2:7000"] || set["10.0.0.7:7000"] {
		t.Fatalf("got acceptors %v, want five without the diskless 10.0.0.2 and 10.0.0.7", set)
	}
	// A controller that does not vote can still read the register.
	if value, err := controllers[7].Register.Read(); err != nil || len(value.Acceptors) != 5 {
		t.Fatalf("read of the register without a vote: error %v, %d acceptors, want 5", err, len(value.Acceptors))
	}
}

// generationInForce returns the generation in the register, and 0 if no majority responds in time.
func generationInForce(controller *Controller) int64 {
	value, err := controller.Register.Read()
	if err != nil {
		return 0
	}
	return value.Current.Generation
}

// A change is not acknowledged while two machine losses could lose it and other controllers could
// join the acceptor set. It is acknowledged once the set is complete, or can't be completed.
func TestAcknowledgedOnlyInASetThatToleratesTheBudget(t *testing.T) {
	folder := t.TempDir()
	controller, server := open(t, folder, true)
	controller.Node.Settings.FaultBudget.Machines = 2
	setJustStarted(controller)
	// The other controller is observed repeatedly: on a slow machine it would otherwise count as silent.
	other := []messages.NodeInfo{{Name: "other", Role: membership.RoleController, Address: "127.0.0.1:9", Disk: "d"}}
	controller.Node.Observe(other)
	go clock.Every(constants.ContactPeriod, controller.Node.Stop, func() { controller.Node.Observe(other) })
	for attempts := 0; generationInForce(controller) != 2; attempts++ {
		// Either the change is in force and its acknowledgement is held back, or contact with the majority
		// was lost and it is not in force. The response is 504 in both cases.
		if status, body := call(t, server, "POST", "/-/Configuration.Replace", "0", config(2)); status != 504 || attempts > 100 {
			t.Fatalf("replacing in an incomplete set: got status %d (%s) at attempt %d, want 504 and the change in force within 100 attempts", status, body, attempts)
		}
	}
	// A rejection doesn't wait for the set.
	if status, _ := clearCall(t, server, "POST", "/-/Configuration.Replace", "1", config(3)); status != 412 {
		t.Fatalf("replacing another version: got status %d, want 412", status)
	}
	// A base that may yet come into force can't be rejected.
	if status, _ := call(t, server, "POST", "/-/Configuration.Replace", "7", config(9)); status != 504 {
		t.Fatalf("replacing with a base ahead: got status %d, want 504", status)
	}
	setLongRunning(controller)
	if status, body := clearCall(t, server, "POST", "/-/Configuration.Replace", "0", config(2)); status != 200 {
		t.Fatalf("replacing long after the start: got status %d (%s), want 200", status, body)
	}
}

// At the first start, a seed without a disk doesn't count towards the fault budget: acknowledgements wait
// until a machine with a disk has taken over its place in the acceptor set.
func TestFirstAcknowledgementWaitsForDisks(t *testing.T) {
	controllers, _ := fleet(t, 4, map[int]bool{2: true})
	controller := controllers[1]
	controller.Node.Settings.FaultBudget.Machines = 1
	controllers[4].Node.Settings.FaultBudget.Machines = 1
	value, err := controller.Register.Read()
	if err != nil || controller.sets.ToleratesBudget(&value) {
		t.Fatalf("read of the register: error %v; acceptors %v, want them not to tolerate the budget, as one has no disk",
			err, members(controller))
	}
	reconcileSet(controllers[4])
	if value, err = controller.Register.Read(); err != nil || !controller.sets.ToleratesBudget(&value) {
		t.Fatalf("read of the register: error %v; acceptors %v, want them to tolerate the budget with three disks",
			err, members(controller))
	}
}

// Long after the start, a set smaller than the budget requires suffices only if no other machine
// responds. Here four machines have a disk, and the acceptor set consists of the three seeds.
func TestSmallerSetSufficesOnlyIfNoOtherMachineResponds(t *testing.T) {
	controllers, network := fleet(t, 4, nil)
	controller := controllers[1]
	setLongRunning(controller)
	value, err := controller.Register.Read()
	if err != nil || controller.sets.ToleratesBudget(&value) {
		t.Fatalf("read of the register: error %v; acceptors %v, want them not to suffice while a fourth machine responds",
			err, members(controller))
	}
	network.SetPartitioned(controllers[4].Node.Self.Address, true)
	if !controller.sets.ToleratesBudget(&value) {
		t.Fatal("the set waits for a machine that does not respond")
	}
}
