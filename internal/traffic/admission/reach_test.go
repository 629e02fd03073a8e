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

// manyWorkers registers sixty workers in four zones.
func mergeManyWorkers(entry *Scheduler, capacity int) {
	var list []messages.Worker
	for i := 0; i < 60; i++ {
		list = append(list, messages.Worker{ID: fmt.Sprintf("i-%04d", i), Backend: "s", Address: "a",
			Zone: fmt.Sprint("h", i%4), Capacity: capacity, CallCount: 1})
	}
	entry.Merge(list, 1)
}

func newNode(name, zone string) *Scheduler {
	entry := New(messages.NodeInfo{Name: name, Role: membership.RoleGateway, Zone: zone}, 1_200_000_000)
	config, err := routeconfig.Parse([]byte(`{"generation":2,"backends":[{"name":"s","engine":{"capacity":4,"cache-tokens":200000}}]}`))
	if err != nil {
		panic(err)
	}
	entry.SetConfig(config)
	mergeManyWorkers(entry, 4)
	return entry
}

// What has no warm prefix goes to a few workers of the own zone, and to others only
// once these are full.
func TestShortPromptsStayInTheSubset(t *testing.T) {
	entry := newNode("n", "h1")
	used := map[string]int{}
	for count := 0; count < 4*constants.ReachSubset; count++ {
		decision, _ := entry.Admit(newRequest(0), nil, atSecond(2)+clock.Instant(count))
		if decision.Verdict != VerdictGranted || decision.Grant.Worker.Zone != "h1" {
			t.Fatalf("number %d: %+v", count, decision)
		}
		used[decision.Grant.Worker.ID]++
	}
	if len(used) != constants.ReachSubset {
		t.Fatalf("%d workers were used", len(used))
	}
	decision, _ := entry.Admit(newRequest(0), nil, atSecond(2)+100)
	if decision.Verdict != VerdictGranted || used[decision.Grant.Worker.ID] > 0 {
		t.Fatalf("waits behind its own few while others are free: %+v", decision)
	}
}

// All workers are drawn by about as many nodes.
func TestSubsetsSpread(t *testing.T) {
	nodesFor := map[string]int{}
	const nodes = 72
	for i := 0; i < nodes; i++ {
		entry := newNode(fmt.Sprint("edge-", i), fmt.Sprint("h", i%4))
		for _, worker := range entry.subset("s", entry.Registry.ByService("s"), atSecond(2)) {
			nodesFor[worker.ID]++
		}
	}
	mean := float64(nodes*constants.ReachSubset) / 60
	for i := 0; i < 60; i++ {
		if count := float64(nodesFor[fmt.Sprintf("i-%04d", i)]); count < 0.4*mean || count > 1.7*mean {
			t.Fatalf("worker %d is drawn by %.0f nodes, the mean is %.1f", i, count, mean)
		}
	}
}

// A long prefix is at home at the same workers for every node, in reach or not; a
// worker that fails leaves the subset.
func TestLongPrefixIsPlacedAtItsHome(t *testing.T) {
	long := func() *Request {
		return &Request{Service: "s", Affine: true, Setpoint: 200_000_000, QueueUntil: atSecond(9), Prompt: prefixindex.Prompt{Tokens: 20_000,
			Parts: []prefixindex.Part{{Name: 77, Tokens: 18_000}, {Name: 78, Tokens: 2_000}}}}
	}
	home := ""
	for i := 0; i < 12; i++ {
		decision, _ := newNode(fmt.Sprint("edge-", i), fmt.Sprint("h", i%4)).Admit(long(), nil, atSecond(2))
		if home == "" {
			home = decision.Grant.Worker.ID
		}
		if decision.Grant.Worker.ID != home {
			t.Fatalf("node %d places at %s, others at %s", i, decision.Grant.Worker.ID, home)
		}
	}
	// Where a peer's word says that it is held, it goes there rather than home.
	entry := newNode("edge-0", "h0")
	other := "i-0033"
	sample := messages.AppendPrefix(nil, messages.Residency{Path: []byte{0, 0, 0, 0, 0, 0, 0, 77}, Tokens: 18_000, Worker: other, Probability: 1})
	entry.HandleGossip(&messages.Gossip{From: "forge/x", Prefixes: sample}, atSecond(2))
	if decision, _ := entry.Admit(long(), nil, atSecond(2)+1); decision.Grant.Worker.ID != other {
		t.Fatal("placed at ", decision.Grant.Worker.ID)
	}
	failed := entry.subset("s", entry.Registry.ByService("s"), atSecond(2))[0].ID
	entry.Locked(func() { entry.Tracker.Of(failed).RecordFailure(constants.EjectFor, atSecond(4)) })
	for _, worker := range entry.subset("s", entry.Registry.ByService("s"), atSecond(4)) {
		if worker.ID == failed {
			t.Fatal("a failing worker stays in the subset")
		}
	}
}

// Those who draw a worker are the nodes in whose subset it is.
func TestNodesForAgreesWithSubsets(t *testing.T) {
	var nodes []messages.NodeInfo
	benches := map[string]*Scheduler{}
	for i := 0; i < 20; i++ {
		name := fmt.Sprint("edge-", i)
		nodes = append(nodes, messages.NodeInfo{Name: name, Role: membership.RoleGateway, Zone: "h1"})
		benches[name] = newNode(name, "h1")
	}
	current := benches["edge-0"]
	nodesFor, part := current.NodesFor("i-0001", nodes)
	if !part || len(nodesFor) == 0 || len(nodesFor) == len(nodes) {
		t.Fatal(len(nodesFor), part)
	}
	holding := map[string]bool{}
	for _, entry := range nodesFor {
		holding[entry.Name] = true
	}
	for name, scheduler := range benches {
		has := false
		for _, worker := range scheduler.subset("s", scheduler.Registry.ByService("s"), atSecond(2)) {
			has = has || worker.ID == "i-0001"
		}
		if has != holding[name] {
			t.Fatalf("%s weighs it: %v, told: %v", name, has, holding[name])
		}
	}
	if small, part := newScheduler(t, 4, "w").NodesFor("w", nodes); part || len(small) > 0 {
		t.Fatal("a small service has no parts")
	}
}

// One full worker of two says little of the other, which must not stand idle.
func TestUnknownWorkerIsNotFullWhenFewAreKnown(t *testing.T) {
	entry := newScheduler(t, 4, "v", "w")
	entry.HandleGossip(&messages.Gossip{From: "forge/x", Loads: encodedLoad("v", 6, 0)}, atSecond(2))
	if decision, _ := entry.Admit(newRequest(0), nil, atSecond(2)); decision.Verdict != VerdictGranted || decision.Grant.Worker.ID != "w" {
		t.Fatal("refused while a worker stands idle")
	}
}

// A worker of which nothing is known seems neither empty nor full.
func TestUnknownLoadIsAssumedToBeMean(t *testing.T) {
	entry := newScheduler(t, 4, "v", "w", "x")
	for _, worker := range []string{"v", "w"} {
		entry.HandleGossip(&messages.Gossip{From: "forge/x", Loads: encodedLoad(worker, 6, 0)}, atSecond(2))
	}
	if decision, _ := entry.Admit(newRequest(0), nil, atSecond(2)); decision.Verdict == VerdictGranted {
		t.Fatal("a worker without evidence was taken for an empty one")
	}
	if decision, _ := entry.Admit(newRequest(0), nil, atSecond(2).Add(constants.GossipStale)); decision.Verdict != VerdictGranted {
		t.Fatal("what is taken from stale words still counts")
	}
}
