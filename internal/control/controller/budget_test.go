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

// fleet makes controllers on machines 10.0.0.1 and so on, joined in memory; the first
// three are the seeds. Machines named blank have no disk.
func fleet(t *testing.T, count int, blank map[int]bool) (map[int]*Controller, *transport.MemoryNetwork) {
	t.Helper()

	network, controllers := transport.NewMemoryNetwork(), map[int]*Controller{}
	for number := 1; number <= count; number++ {
		found := &settings.Settings{NodeName: fmt.Sprint("m", number), Address: fmt.Sprint("10.0.0.", number), Zone: fmt.Sprint("h", number%4),
			InternalPorts: []int{7000, 7010}, Seeds: []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"}, Bootstrap: true,
			HeartbeatMs: 1200, FaultBudget: settings.FaultBudget{Machines: 2}}
		// Those that count in the quorum vote, here from memory: a real disk's syncs
		// would make the outcome hang on the load of the machine that tests.
		found.InQuorum = !blank[number]
		controller, err := New(found, hclog.NewNullLogger())
		if err != nil {
			t.Fatal(err)
		}
		controller.Node.Transport = network.Transport(controller.Node.Self.Address)
		if err = controller.Node.Transport.Serve(controller.Node.Dispatch); err != nil {
			t.Fatal(err)
		}
		controllers[number] = controller
	}
	for _, found := range controllers {
		renewContact(t, found)
		for _, other := range controllers {
			found.Node.Observe([]messages.NodeInfo{other.Node.Self})
		}
	}
	return controllers, network
}

// reconcileSet has a controller look after the set as one does in its first second, without
// the dice that come later.
func reconcileSet(controller *Controller) {
	controller.Node.StartedAt = clock.Now()
	recoverWorkers(controller)
	controller.sets.Reconcile()
}

func members(controller *Controller) map[string]bool {
	found := map[string]bool{}
	for _, member := range controller.Register.Known().Acceptors {
		found[member.Address] = true
	}
	return found
}

// Eight controllers that know three seeds make a set of five, and no larger one,
// whoever asks in whatever order.
func TestSetExpandsToTheBudget(t *testing.T) {
	controllers, network := fleet(t, 8, nil)
	for round := 0; round < 3; round++ {
		for number := 1; number <= 8; number++ {
			reconcileSet(controllers[number])
		}
	}
	value, err := controllers[8].Register.Read()
	if err != nil || len(value.Acceptors) != 5 || len(value.Previous) != 0 {
		t.Fatal(err, len(value.Acceptors), len(value.Previous))
	}
	// Two of the seeds fall silent: the register still answers, and outlasts them.
	network.SetPartitioned("10.0.0.1:7000", true)
	network.SetPartitioned("10.0.0.2:7000", true)
	if _, err = controllers[8].Register.Read(); err != nil {
		t.Fatal(err)
	}
}

// A controller without a disk runs, answers and has no vote; a seat that the seed
// list gave to one goes to a machine with a disk.
func TestControllerWithoutADisk(t *testing.T) {
	controllers, _ := fleet(t, 8, map[int]bool{2: true, 7: true})
	if controllers[7].Node.Self.Disk != "" {
		t.Fatal("tells of a disk that it has not")
	}
	for round := 0; round < 4; round++ {
		for _, number := range []int{7, 2, 4, 5, 6, 8} {
			reconcileSet(controllers[number])
		}
	}
	set := members(controllers[8])
	if len(set) != 5 || set["10.0.0.2:7000"] || set["10.0.0.7:7000"] {
		t.Fatal(set)
	}
	// The front without a vote still reads the register.
	if value, err := controllers[7].Register.Read(); err != nil || len(value.Acceptors) != 5 {
		t.Fatal(err, len(value.Acceptors))
	}
}

// generationInForce is that of the register, and 0 where a majority does not answer in time.
func generationInForce(controller *Controller) int64 {
	value, err := controller.Register.Read()
	if err != nil {
		return 0
	}
	return value.Current.Generation
}

// Nothing is acknowledged while two losses could take it away and others are there
// to join; once the set is complete, or nobody can make it so, it is.
func TestAcknowledgedOnlyInASetThatToleratesTheBudget(t *testing.T) {
	folder := t.TempDir()
	controller, server := open(t, folder, true)
	controller.Node.Settings.FaultBudget.Machines = 2
	setJustStarted(controller)
	// The other one goes on reporting: on a slow machine it would be taken for silent.
	other := []messages.NodeInfo{{Name: "other", Role: membership.RoleController, Address: "127.0.0.1:9", Disk: "d"}}
	controller.Node.Observe(other)
	go clock.Every(constants.ContactPeriod, controller.Node.Stop, func() { controller.Node.Observe(other) })
	for attempts := 0; generationInForce(controller) != 2; attempts++ {
		// In force, and held back; where contact was lost it was not put in force.
		if status, body := call(t, server, "POST", "/-/Configuration.Replace", "0", config(2)); status != 504 || attempts > 100 {
			t.Fatal(status, body)
		}
	}
	// A refusal needs no waiting.
	if status, _ := clearCall(t, server, "POST", "/-/Configuration.Replace", "1", config(3)); status != 412 {
		t.Fatal(status)
	}
	// A base that may yet come into force allows no refusal.
	if status, _ := call(t, server, "POST", "/-/Configuration.Replace", "7", config(9)); status != 504 {
		t.Fatal(status)
	}
	setLongRunning(controller)
	if status, body := clearCall(t, server, "POST", "/-/Configuration.Replace", "0", config(2)); status != 200 {
		t.Fatal(status, body)
	}
}

// A seed without a disk counts for nothing at the first start: what is acknowledged
// waits until machines with a disk have its seat.
func TestFirstAcknowledgementWaitsForDisks(t *testing.T) {
	controllers, _ := fleet(t, 4, map[int]bool{2: true})
	controller := controllers[1]
	controller.Node.Settings.FaultBudget.Machines = 1
	controllers[4].Node.Settings.FaultBudget.Machines = 1
	value, err := controller.Register.Read()
	if err != nil || controller.sets.ToleratesBudget(&value) {
		t.Fatal("bears with a seed that has no disk: ", err)
	}
	reconcileSet(controllers[4])
	if value, err = controller.Register.Read(); err != nil || !controller.sets.ToleratesBudget(&value) {
		t.Fatal("does not bear with three disks: ", err, members(controller))
	}
}

// Long after the start a smaller set has to do only where nobody else answers: four
// machines with a disk are there, and the set is of the three seeds.
func TestSmallerSetSufficesOnlyWhereNobodyElseResponds(t *testing.T) {
	controllers, network := fleet(t, 4, nil)
	controller := controllers[1]
	setLongRunning(controller)
	value, err := controller.Register.Read()
	if err != nil || controller.sets.ToleratesBudget(&value) {
		t.Fatal("acknowledges in a set of three while a fourth machine answers: ", err)
	}
	network.SetPartitioned(controllers[4].Node.Self.Address, true)
	if !controller.sets.ToleratesBudget(&value) {
		t.Fatal("waits for a machine that does not answer")
	}
}
