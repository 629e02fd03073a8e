package loadgossip

import (
	"fmt"
	"testing"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/control/agent"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/settings"
	"lemonarch/internal/platform/transport"
)

// newConnectedNodes returns the Gossip instances of several processes that know each other and
// communicate over an in-memory transport.
func newConnectedNodes(t *testing.T, roles ...string) []*Gossip {
	t.Helper()

	network := transport.NewMemoryNetwork()
	var nodes []*Gossip
	for position, role := range roles {
		nodeSettings := &settings.Settings{NodeName: fmt.Sprint("n", position), Zone: "h", Address: fmt.Sprint("10.0.0.", position+1), HeartbeatMs: 1200,
			InternalPorts: []int{100, 110}, Seeds: []string{"10.0.0.99:1"}}
		runtime := agent.New(nodeSettings, role, 1, "", hclog.NewNullLogger())
		runtime.Transport = network.Transport(runtime.Self.Address)
		nodes = append(nodes, New(runtime))
	}
	for _, node := range nodes {
		var others []messages.NodeInfo
		for _, other := range nodes {
			if other != node {
				others = append(others, other.Node.Self)
			}
		}
		node.Node.Observe(others)
		node.Scheduler.Merge([]messages.Worker{{ID: "w", Backend: "s", Zone: "h", Capacity: 1, CallCount: 1}}, clock.Now())
		node.refreshPeers()
	}
	return nodes
}

// The pressure notice of one gateway reaches the stores that run items, including those that the
// gateway does not notify itself, with a bounded number of messages.
func TestPressureReachesStores(t *testing.T) {
	const stores = 6
	roles := []string{membership.RoleGateway}
	for position := 0; position < stores; position++ {
		roles = append(roles, membership.RoleStore)
	}
	nodes := newConnectedNodes(t, roles...)
	type receivedNotice struct {
		name      string
		forwarded bool
	}
	received := make(chan receivedNotice, 64)
	for _, store := range nodes[1:] {
		name := store.Node.Self.Name
		_ = store.Node.Transport.Serve(func(_ messages.Kind, body []byte) ([]byte, error) {
			notice := &messages.PressureNotice{}
			_ = transport.Decode(body, notice)
			received <- receivedNotice{name, notice.Sharers == 0}
			return store.Node.Dispatch(messages.KindPressure, body)
		})
	}
	reached, total, forwarded := map[string]bool{}, 0, 0
	for round := 0; round < 40 && len(reached) < stores; round++ {
		nodes[0].notifyPressure([]messages.Pressure{{Service: "s", Waiting: 1}})
		for wait := true; wait; {
			select {
			case notice := <-received:
				reached[notice.name] = true
				total++
				if notice.forwarded {
					forwarded++
				}
			case <-clock.After(20_000_000):
				wait = false
			}
		}
		// Three stores are notified, and each may forward the notice to three others.
		if total > (round+1)*12 {
			t.Fatalf("%d notices in %d rounds, want at most 12 per round", total, round+1)
		}
	}
	if len(reached) != stores || forwarded == 0 {
		t.Fatalf("reached stores %v with %d forwarded notices, want all %d stores and at least one forwarded notice",
			reached, forwarded, stores)
	}
}

// A gossip packet reaches the neighbours as a one-way message, and its loads are used there.
func TestGossipReachesNeighbours(t *testing.T) {
	nodes := newConnectedNodes(t, membership.RoleGateway, membership.RoleGateway, membership.RoleStore)
	received := make(chan bool, 8)
	for _, node := range nodes[1:] {
		_ = node.Node.Transport.Serve(func(_ messages.Kind, body []byte) ([]byte, error) {
			resp, err := node.Node.Dispatch(messages.KindGossip, body)
			received <- true
			return resp, err
		})
	}
	nodes[0].Scheduler.WithLock(func() { nodes[0].Scheduler.Tracker.HealthOf("w").ObserveLoad("7,0,1", clock.Now()) })
	nodes[0].gossipRound()
	for range nodes[1:] {
		select {
		case <-received:
		case <-clock.After(5_000_000_000):
			t.Fatal("a neighbour received no gossip packet within 5 s")
		}
	}
	for _, node := range nodes[1:] {
		running := 0
		node.Scheduler.WithLock(func() { running = node.Scheduler.Tracker.HealthOf("w").Running(clock.Now()) })
		if running != 7 {
			t.Fatalf("%s counts %d running requests at the worker, want 7", node.Node.Self.Name, running)
		}
	}
}
