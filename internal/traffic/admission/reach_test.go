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
func manyWorkers(one *Scheduler, capacity int) {
	var list []messages.Worker
	for place := 0; place < 60; place++ {
		list = append(list, messages.Worker{ID: fmt.Sprintf("i-%04d", place), Backend: "s", Address: "a",
			Zone: fmt.Sprint("h", place%4), Capacity: capacity, CallCount: 1})
	}
	one.Merge(list, 1)
}

func node(name, zone string) *Scheduler {
	one := New(messages.NodeInfo{Name: name, Role: membership.RoleGateway, Zone: zone}, 1_200_000_000)
	config, err := routeconfig.Parse([]byte(`{"generation":2,"backends":[{"name":"s","engine":{"capacity":4,"cache-tokens":200000}}]}`))
	if err != nil {
		panic(err)
	}
	one.SetConfig(config)
	manyWorkers(one, 4)
	return one
}

// What has no warm prefix goes to a few workers of the own zone, and to others only
// once these are full.
func TestShortPromptsStayInTheSubset(t *testing.T) {
	one := node("n", "h1")
	used := map[string]int{}
	for count := 0; count < 4*constants.ReachSubset; count++ {
		answer, _ := one.Admit(ask(0), nil, second(2)+clock.Instant(count))
		if answer.Verdict != VerdictGranted || answer.Grant.Worker.Zone != "h1" {
			t.Fatalf("number %d: %+v", count, answer)
		}
		used[answer.Grant.Worker.ID]++
	}
	if len(used) != constants.ReachSubset {
		t.Fatalf("%d workers were used", len(used))
	}
	answer, _ := one.Admit(ask(0), nil, second(2)+100)
	if answer.Verdict != VerdictGranted || used[answer.Grant.Worker.ID] > 0 {
		t.Fatalf("waits behind its own few while others are free: %+v", answer)
	}
}

// All workers are drawn by about as many nodes.
func TestSubsetsSpread(t *testing.T) {
	drawn := map[string]int{}
	const nodes = 72
	for place := 0; place < nodes; place++ {
		one := node(fmt.Sprint("edge-", place), fmt.Sprint("h", place%4))
		for _, worker := range one.subset("s", one.Registry.ByService("s"), second(2)) {
			drawn[worker.ID]++
		}
	}
	mean := float64(nodes*constants.ReachSubset) / 60
	for place := 0; place < 60; place++ {
		if count := float64(drawn[fmt.Sprintf("i-%04d", place)]); count < 0.4*mean || count > 1.7*mean {
			t.Fatalf("worker %d is drawn by %.0f nodes, the mean is %.1f", place, count, mean)
		}
	}
}

// A long prefix is at home at the same workers for every node, in reach or not; a
// worker that fails leaves the subset.
func TestLongPrefixGoesHome(t *testing.T) {
	long := func() *Ask {
		return &Ask{Service: "s", Affine: true, Setpoint: 200_000_000, Patience: second(9), Prompt: prefixindex.Prompt{Tokens: 20_000,
			Parts: []prefixindex.Part{{Name: 77, Tokens: 18_000}, {Name: 78, Tokens: 2_000}}}}
	}
	home := ""
	for place := 0; place < 12; place++ {
		answer, _ := node(fmt.Sprint("edge-", place), fmt.Sprint("h", place%4)).Admit(long(), nil, second(2))
		if home == "" {
			home = answer.Grant.Worker.ID
		}
		if answer.Grant.Worker.ID != home {
			t.Fatalf("node %d places at %s, others at %s", place, answer.Grant.Worker.ID, home)
		}
	}
	// Where a peer's word says that it is held, it goes there rather than home.
	one := node("edge-0", "h0")
	other := "i-0033"
	word := messages.AppendPrefix(nil, messages.Residency{Path: []byte{0, 0, 0, 0, 0, 0, 0, 77}, Tokens: 18_000, Worker: other, Probability: 1})
	one.Heard(&messages.Gossip{From: "forge/x", Prefixes: word}, second(2))
	if answer, _ := one.Admit(long(), nil, second(2)+1); answer.Grant.Worker.ID != other {
		t.Fatal("placed at ", answer.Grant.Worker.ID)
	}
	failed := one.subset("s", one.Registry.ByService("s"), second(2))[0].ID
	one.Locked(func() { one.Tracker.Of(failed).RecordFailure(constants.EjectFor, second(4)) })
	for _, worker := range one.subset("s", one.Registry.ByService("s"), second(4)) {
		if worker.ID == failed {
			t.Fatal("a failing worker stays in the subset")
		}
	}
}

// Those who draw a worker are the nodes in whose subset it is.
func TestDrawnByAgreesWithSubsets(t *testing.T) {
	var nodes []messages.NodeInfo
	benches := map[string]*Scheduler{}
	for place := 0; place < 20; place++ {
		name := fmt.Sprint("edge-", place)
		nodes = append(nodes, messages.NodeInfo{Name: name, Role: membership.RoleGateway, Zone: "h1"})
		benches[name] = node(name, "h1")
	}
	one := benches["edge-0"]
	drawn, part := one.DrawnBy("i-0001", nodes)
	if !part || len(drawn) == 0 || len(drawn) == len(nodes) {
		t.Fatal(len(drawn), part)
	}
	holding := map[string]bool{}
	for _, entry := range drawn {
		holding[entry.Name] = true
	}
	for name, scheduler := range benches {
		has := false
		for _, worker := range scheduler.subset("s", scheduler.Registry.ByService("s"), second(2)) {
			has = has || worker.ID == "i-0001"
		}
		if has != holding[name] {
			t.Fatalf("%s weighs it: %v, told: %v", name, has, holding[name])
		}
	}
	if small, part := scheduler(t, 4, "w").DrawnBy("w", nodes); part || len(small) > 0 {
		t.Fatal("a small service has no parts")
	}
}

// One full worker of two says little of the other, which must not stand idle.
func TestNobodyIsFullOnAGuessFromFew(t *testing.T) {
	one := scheduler(t, 4, "v", "w")
	one.Heard(&messages.Gossip{From: "forge/x", Loads: load("v", 6, 0)}, second(2))
	if answer, _ := one.Admit(ask(0), nil, second(2)); answer.Verdict != VerdictGranted || answer.Grant.Worker.ID != "w" {
		t.Fatal("refused while a worker stands idle")
	}
}

// A worker of which nothing is known seems neither empty nor full.
func TestUnknownLoadIsTakenAtTheMean(t *testing.T) {
	one := scheduler(t, 4, "v", "w", "x")
	for _, worker := range []string{"v", "w"} {
		one.Heard(&messages.Gossip{From: "forge/x", Loads: load(worker, 6, 0)}, second(2))
	}
	if answer, _ := one.Admit(ask(0), nil, second(2)); answer.Verdict == VerdictGranted {
		t.Fatal("a worker without evidence was taken for an empty one")
	}
	if answer, _ := one.Admit(ask(0), nil, second(2).Add(constants.GossipStale)); answer.Verdict != VerdictGranted {
		t.Fatal("what is taken from stale words still counts")
	}
}
