package admission

import (
	"fmt"
	"testing"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/traffic/prefixindex"
)

// mergeManyWorkers registers 60 workers in four zones.
func mergeManyWorkers(scheduler *Scheduler, capacity int) {
	var list []messages.Worker
	for i := 0; i < 60; i++ {
		list = append(list, messages.Worker{ID: fmt.Sprintf("i-%04d", i), Backend: "s", Address: "a",
			Zone: fmt.Sprint("h", i%4), Capacity: capacity, CallCount: 1})
	}
	scheduler.Merge(list, 1)
}

func newNode(name, zone string) *Scheduler {
	scheduler := New(messages.NodeInfo{Name: name, Role: membership.RoleGateway, Zone: zone}, 1_200_000_000)
	config, err := routeconfig.Parse([]byte(`{"generation":2,"backends":[{"name":"s","engine":{"capacity":4,"cache-tokens":200000}}]}`))
	if err != nil {
		panic(err)
	}
	scheduler.SetConfig(config)
	mergeManyWorkers(scheduler, 4)
	return scheduler
}

// A request without a warm prefix goes to a small subset of workers in the node's own zone, and to
// others only once these are full.
func TestShortPromptsStayInTheSubset(t *testing.T) {
	scheduler := newNode("n", "h1")
	placements := map[string]int{}
	for count := 0; count < 4*constants.SubsetSize; count++ {
		decision, _ := scheduler.Admit(newRequest(0), nil, atSecond(2)+clock.Instant(count))
		if decision.Verdict != VerdictGranted || decision.Grant.Worker.Zone != "h1" {
			t.Fatalf("request %d: want a grant in zone h1, got %+v", count, decision)
		}
		placements[decision.Grant.Worker.ID]++
	}
	if len(placements) != constants.SubsetSize {
		t.Fatalf("placed on %d workers, want %d", len(placements), constants.SubsetSize)
	}
	decision, _ := scheduler.Admit(newRequest(0), nil, atSecond(2)+100)
	if decision.Verdict != VerdictGranted || placements[decision.Grant.Worker.ID] > 0 {
		t.Fatalf("want a grant outside the full subset, got %+v", decision)
	}
}

// All workers are in the subsets of about the same number of nodes.
func TestSubsetsCoverWorkersEvenly(t *testing.T) {
	nodesFor := map[string]int{}
	const nodes = 72
	for i := 0; i < nodes; i++ {
		scheduler := newNode(fmt.Sprint("edge-", i), fmt.Sprint("h", i%4))
		for _, worker := range scheduler.subset("s", scheduler.Registry.ByService("s"), atSecond(2)) {
			nodesFor[worker.ID]++
		}
	}
	mean := float64(nodes*constants.SubsetSize) / 60
	for i := 0; i < 60; i++ {
		if count := float64(nodesFor[fmt.Sprintf("i-%04d", i)]); count < 0.4*mean || count > 1.7*mean {
			t.Fatalf("worker %d is in the subsets of %.0f nodes, want between 0.4 and 1.7 times the mean of %.1f", i, count, mean)
		}
	}
}

// A long prefix has the same home workers for every node, whether or not they are in the node's
// subset. A worker that fails leaves the subset.
func TestLongPrefixIsPlacedAtItsHome(t *testing.T) {
	longRequest := func() *Request {
		return &Request{Service: "s", Affine: true, Setpoint: 200_000_000, QueueUntil: atSecond(9), Prompt: prefixindex.Prompt{Tokens: 20_000,
			Parts: []prefixindex.Part{{Name: 77, Tokens: 18_000}, {Name: 78, Tokens: 2_000}}}}
	}
	home := ""
	for i := 0; i < 12; i++ {
		decision, _ := newNode(fmt.Sprint("edge-", i), fmt.Sprint("h", i%4)).Admit(longRequest(), nil, atSecond(2))
		if home == "" {
			home = decision.Grant.Worker.ID
		}
		if decision.Grant.Worker.ID != home {
			t.Fatalf("node %d places the prefix on %s, others on %s", i, decision.Grant.Worker.ID, home)
		}
	}
	// If a peer reports that another worker holds the prefix, the request goes there rather than to
	// the home worker.
	scheduler := newNode("edge-0", "h0")
	other := "i-0033"
	sample := messages.AppendPrefix(nil, messages.Residency{Path: []byte{0, 0, 0, 0, 0, 0, 0, 77}, Tokens: 18_000, Worker: other, Probability: 1})
	scheduler.HandleGossip(&messages.Gossip{From: "forge/x", Prefixes: sample}, atSecond(2))
	if decision, _ := scheduler.Admit(longRequest(), nil, atSecond(2)+1); decision.Grant.Worker.ID != other {
		t.Fatalf("placed on %s, want %s, which holds the prefix", decision.Grant.Worker.ID, other)
	}
	failed := scheduler.subset("s", scheduler.Registry.ByService("s"), atSecond(2))[0].ID
	scheduler.WithLock(func() { scheduler.Tracker.HealthOf(failed).RecordFailure(constants.EjectFor, atSecond(4)) })
	for _, worker := range scheduler.subset("s", scheduler.Registry.ByService("s"), atSecond(4)) {
		if worker.ID == failed {
			t.Fatal("a failing worker is still in the subset")
		}
	}
}

// NodesFor returns exactly the nodes whose subset contains the worker.
func TestNodesForAgreesWithSubsets(t *testing.T) {
	var nodes []messages.NodeInfo
	schedulers := map[string]*Scheduler{}
	for i := 0; i < 20; i++ {
		name := fmt.Sprint("edge-", i)
		nodes = append(nodes, messages.NodeInfo{Name: name, Role: membership.RoleGateway, Zone: "h1"})
		schedulers[name] = newNode(name, "h1")
	}
	current := schedulers["edge-0"]
	nodesFor, part := current.NodesFor("i-0001", nodes)
	if !part || len(nodesFor) == 0 || len(nodesFor) == len(nodes) {
		t.Fatalf("NodesFor returned %d of %d nodes and %v, want a part of them and true", len(nodesFor), len(nodes), part)
	}
	isListed := map[string]bool{}
	for _, node := range nodesFor {
		isListed[node.Name] = true
	}
	for name, scheduler := range schedulers {
		inSubset := false
		for _, worker := range scheduler.subset("s", scheduler.Registry.ByService("s"), atSecond(2)) {
			inSubset = inSubset || worker.ID == "i-0001"
		}
		if inSubset != isListed[name] {
			t.Fatalf("%s: worker in subset %v, node listed by NodesFor %v", name, inSubset, isListed[name])
		}
	}
	if small, part := newScheduler(t, 4, "w").NodesFor("w", nodes); part || len(small) > 0 {
		t.Fatalf("NodesFor returned %v and %v, want no nodes and false for a service of one worker", small, part)
	}
}

// A full worker out of two says little about the other, which must not be left idle.
func TestUnknownWorkerIsNotFullWhenFewAreKnown(t *testing.T) {
	scheduler := newScheduler(t, 4, "v", "w")
	scheduler.HandleGossip(&messages.Gossip{From: "forge/x", Loads: encodedLoad("v", 6, 0)}, atSecond(2))
	if decision, _ := scheduler.Admit(newRequest(0), nil, atSecond(2)); decision.Verdict != VerdictGranted || decision.Grant.Worker.ID != "w" {
		t.Fatal("request not placed on the idle worker")
	}
}

// A worker of unknown load is assumed to have the mean load of the workers whose load is known. Here
// these are full, so no request may be placed until their samples expire.
func TestUnknownLoadIsAssumedToBeMean(t *testing.T) {
	scheduler := newScheduler(t, 4, "v", "w", "x")
	for _, worker := range []string{"v", "w"} {
		scheduler.HandleGossip(&messages.Gossip{From: "forge/x", Loads: encodedLoad(worker, 6, 0)}, atSecond(2))
	}
	if decision, _ := scheduler.Admit(newRequest(0), nil, atSecond(2)); decision.Verdict == VerdictGranted {
		t.Fatal("a worker of unknown load was assumed to be empty")
	}
	if decision, _ := scheduler.Admit(newRequest(0), nil, atSecond(2).Add(constants.GossipStale)); decision.Verdict != VerdictGranted {
		t.Fatal("expired samples still determine the mean load")
	}
}
