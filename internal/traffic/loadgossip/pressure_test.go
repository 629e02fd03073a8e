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
func standing(t *testing.T, roles ...string) []*Gossip {
	t.Helper()

	room := transport.NewMemoryNetwork()
	var joined []*Gossip
	for place, role := range roles {
		nodeSettings := &settings.Settings{NodeName: fmt.Sprint("n", place), Zone: "h", Address: fmt.Sprint("10.0.0.", place+1), HeartbeatMs: 1200,
			InternalPorts: []int{100, 110}, Seeds: []string{"10.0.0.99:1"}}
		runtime := agent.New(nodeSettings, role, 1, "", hclog.NewNullLogger())
		runtime.Transport = room.Transport(runtime.Self.Address)
		joined = append(joined, New(runtime))
	}
	for _, one := range joined {
		var others []messages.NodeInfo
		for _, other := range joined {
			if other != one {
				others = append(others, other.Node.Self)
			}
		}
		one.Node.Observe(others)
		one.Scheduler.Merge([]messages.Worker{{ID: "w", Backend: "s", Zone: "h", Capacity: 1, CallCount: 1}}, clock.Now())
		one.lookAround()
	}
	return joined
}

// Pressure of one gateway reaches stores that run items, those that it does not tell
// itself as well, with a bounded number of words.
func TestPressureReachesStores(t *testing.T) {
	const stores = 6
	roles := []string{membership.RoleGateway}
	for place := 0; place < stores; place++ {
		roles = append(roles, membership.RoleStore)
	}
	joined := standing(t, roles...)
	type word struct {
		name   string
		second bool
	}
	heard := make(chan word, 64)
	for _, one := range joined[1:] {
		name := one.Node.Self.Name
		_ = one.Node.Transport.Serve(func(_ messages.Kind, body []byte) ([]byte, error) {
			told := &messages.PressureNotice{}
			_ = transport.Decode(body, told)
			heard <- word{name, told.Sharers == 0}
			return one.Node.Dispatch(messages.KindPressure, body)
		})
	}
	reached, words, second := map[string]bool{}, 0, 0
	for round := 0; round < 40 && len(reached) < stores; round++ {
		joined[0].press([]messages.Pressure{{Service: "s", Waiting: 1}})
		for wait := true; wait; {
			select {
			case one := <-heard:
				reached[one.name] = true
				words++
				if one.second {
					second++
				}
			case <-clock.After(20_000_000):
				wait = false
			}
		}
		// Three are told, and each may pass it to three.
		if words > (round+1)*12 {
			t.Fatalf("%d words in %d rounds", words, round+1)
		}
	}
	if len(reached) != stores || second == 0 {
		t.Fatalf("reached %v, %d words were passed on", reached, second)
	}
}

// A gossip packet reaches the neighbours one way and counts there.
func TestGossipReachesNeighbours(t *testing.T) {
	joined := standing(t, membership.RoleGateway, membership.RoleGateway, membership.RoleStore)
	heard := make(chan bool, 8)
	for _, one := range joined[1:] {
		_ = one.Node.Transport.Serve(func(_ messages.Kind, body []byte) ([]byte, error) {
			answer, err := one.Node.Dispatch(messages.KindGossip, body)
			heard <- true
			return answer, err
		})
	}
	joined[0].Scheduler.Locked(func() { joined[0].Scheduler.Tracker.Of("w").Load("7,0,1", clock.Now()) })
	joined[0].gossip()
	for range joined[1:] {
		select {
		case <-heard:
		case <-clock.After(5_000_000_000):
			t.Fatal("a neighbour heard nothing")
		}
	}
	for _, one := range joined[1:] {
		running := 0
		one.Scheduler.Locked(func() { running = one.Scheduler.Tracker.Of("w").Running(clock.Now()) })
		if running != 7 {
			t.Fatalf("%s takes the worker for one with %d", one.Node.Self.Name, running)
		}
	}
}
