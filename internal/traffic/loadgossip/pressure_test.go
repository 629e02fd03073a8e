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

// standing makes placing parts of several processes that know each other, over the
// transport in memory.
func newConnectedNodes(t *testing.T, roles ...string) []*Gossip {
	t.Helper()

	network := transport.NewMemoryNetwork()
	var joined []*Gossip
	for position, role := range roles {
		nodeSettings := &settings.Settings{NodeName: fmt.Sprint("n", position), Zone: "h", Address: fmt.Sprint("10.0.0.", position+1), HeartbeatMs: 1200,
			InternalPorts: []int{100, 110}, Seeds: []string{"10.0.0.99:1"}}
		runtime := agent.New(nodeSettings, role, 1, "", hclog.NewNullLogger())
		runtime.Transport = network.Transport(runtime.Self.Address)
		joined = append(joined, New(runtime))
	}
	for _, entry := range joined {
		var others []messages.NodeInfo
		for _, other := range joined {
			if other != entry {
				others = append(others, other.Node.Self)
			}
		}
		entry.Node.Observe(others)
		entry.Scheduler.Merge([]messages.Worker{{ID: "w", Backend: "s", Zone: "h", Capacity: 1, CallCount: 1}}, clock.Now())
		entry.refreshPeers()
	}
	return joined
}

// Pressure of one gateway reaches stores that run items, those that it does not tell
// itself as well, with a bounded number of words.
func TestPressureReachesStores(t *testing.T) {
	const stores = 6
	roles := []string{membership.RoleGateway}
	for position := 0; position < stores; position++ {
		roles = append(roles, membership.RoleStore)
	}
	joined := newConnectedNodes(t, roles...)
	type word struct {
		name   string
		second bool
	}
	received := make(chan word, 64)
	for _, entry := range joined[1:] {
		name := entry.Node.Self.Name
		_ = entry.Node.Transport.Serve(func(_ messages.Kind, body []byte) ([]byte, error) {
			notice := &messages.PressureNotice{}
			_ = transport.Decode(body, notice)
			received <- word{name, notice.Sharers == 0}
			return entry.Node.Dispatch(messages.KindPressure, body)
		})
	}
	reached, entries, second := map[string]bool{}, 0, 0
	for round := 0; round < 40 && len(reached) < stores; round++ {
		joined[0].notifyPressure([]messages.Pressure{{Service: "s", Waiting: 1}})
		for wait := true; wait; {
			select {
			case entry := <-received:
				reached[entry.name] = true
				entries++
				if entry.second {
					second++
				}
			case <-clock.After(20_000_000):
				wait = false
			}
		}
		// Three are told, and each may pass it to three.
		if entries > (round+1)*12 {
			t.Fatalf("%d words in %d rounds", entries, round+1)
		}
	}
	if len(reached) != stores || second == 0 {
		t.Fatalf("reached %v, %d words were passed on", reached, second)
	}
}

// A gossip packet reaches the neighbours one way and counts there.
func TestGossipReachesNeighbours(t *testing.T) {
	joined := newConnectedNodes(t, membership.RoleGateway, membership.RoleGateway, membership.RoleStore)
	received := make(chan bool, 8)
	for _, entry := range joined[1:] {
		_ = entry.Node.Transport.Serve(func(_ messages.Kind, body []byte) ([]byte, error) {
			resp, err := entry.Node.Dispatch(messages.KindGossip, body)
			received <- true
			return resp, err
		})
	}
	joined[0].Scheduler.Locked(func() { joined[0].Scheduler.Tracker.Of("w").ObserveLoad("7,0,1", clock.Now()) })
	joined[0].gossipRound()
	for range joined[1:] {
		select {
		case <-received:
		case <-clock.After(5_000_000_000):
			t.Fatal("a neighbour heard nothing")
		}
	}
	for _, entry := range joined[1:] {
		running := 0
		entry.Scheduler.Locked(func() { running = entry.Scheduler.Tracker.Of("w").Running(clock.Now()) })
		if running != 7 {
			t.Fatalf("%s takes the worker for one with %d", entry.Node.Self.Name, running)
		}
	}
}
