package loadgossip

import (
	"fmt"
	"math/rand"
	"testing"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// zone returns the processes of one zone.
func zone(name string, count int) []messages.NodeInfo {
	var nodes []messages.NodeInfo
	for position := 0; position < count; position++ {
		nodes = append(nodes, messages.NodeInfo{Name: fmt.Sprint(name, "-", position), Role: membership.RoleGateway, Zone: name, Address: fmt.Sprint(name, position)})
	}
	return nodes
}

// Each process notifies the same number of neighbours, each is notified by at least one, and a
// message reaches all processes in a few steps.
func TestNeighboursReachAll(t *testing.T) {
	for _, count := range []int{2, 5, 18, 100} {
		nodes := zone("a", count)
		recipients := map[string][]string{}
		received := map[string]int{}
		for _, own := range nodes {
			for _, neighbour := range Neighbours(own, nodes, constants.GossipFanout) {
				recipients[own.Name] = append(recipients[own.Name], neighbour.Name)
				received[neighbour.Name]++
			}
		}
		for _, own := range nodes {
			if len(recipients[own.Name]) != min(constants.GossipFanout, count-1) {
				t.Fatalf("%s of %d processes notifies %v, want %d others",
					own.Name, count, recipients[own.Name], min(constants.GossipFanout, count-1))
			}
			if received[own.Name] == 0 {
				t.Fatalf("none of %d processes notifies %s", count, own.Name)
			}
			reached := map[string]bool{own.Name: true}
			steps, frontier := 0, []string{own.Name}
			for ; len(frontier) > 0; steps++ {
				var next []string
				for _, sender := range frontier {
					for _, name := range recipients[sender] {
						if !reached[name] {
							reached[name] = true
							next = append(next, name)
						}
					}
				}
				frontier = next
			}
			if len(reached) != count || steps > 9 {
				t.Fatalf("%s reaches %d of %d processes in %d steps, want all in at most 9", own.Name, len(reached), count, steps)
			}
		}
	}
}

// A process that leaves changes the neighbours only of the processes before it in the rings.
func TestNeighboursAreStable(t *testing.T) {
	nodes := zone("a", 60)
	changed := 0
	for _, own := range nodes[1:] {
		before := Neighbours(own, nodes, constants.GossipFanout)
		after := Neighbours(own, nodes[1:], constants.GossipFanout)
		for position := range before {
			if !contains(after, before[position]) {
				changed++
			}
		}
	}
	if changed > 2*constants.GossipFanout {
		t.Fatalf("one process left and %d neighbour relations changed, want at most %d", changed, 2*constants.GossipFanout)
	}
}

// Each zone notifies each other zone about once per period, whatever its size.
func TestZonesNotifyEachOtherAtOneRate(t *testing.T) {
	random := rand.New(rand.NewSource(7))
	for _, count := range []int{4, 18, 100} {
		var otherZones []messages.NodeInfo
		for _, name := range []string{"b", "c", "d"} {
			otherZones = append(otherZones, zone(name, count)...)
		}
		peers := peerSet{sameZone: zone("a", count-1), byZone: groupByZone(otherZones)}
		const periods = 400
		recipients := map[string]int{}
		for period := 0; period < periods; period++ {
			for process := 0; process < count; process++ {
				if recipient, selected := peers.pickOtherZone(random.Float64); selected {
					recipients[recipient.Zone]++
				}
			}
		}
		for _, name := range []string{"b", "c", "d"} {
			if rate := float64(recipients[name]) / periods; rate < 0.75 || rate > 1.25 {
				t.Fatalf("%d processes notify zone %s %.2f times per period, want about once (0.75 to 1.25)", count, name, rate)
			}
		}
	}
}

// A pressure notice is sent to a bounded number of stores: first to those of the sender's zone, if
// there are any, and over time to each store of the other zones.
func TestPressureGoesToFewStores(t *testing.T) {
	var sameZone, otherZones []messages.NodeInfo
	for position := 0; position < 20; position++ {
		sameZone = append(sameZone, messages.NodeInfo{Name: fmt.Sprint("f", position), Role: membership.RoleGateway, Zone: "a"})
		otherZones = append(otherZones, messages.NodeInfo{Name: fmt.Sprint("l", position), Role: membership.RoleStore, Zone: "b"})
	}
	sameZone = append(sameZone, messages.NodeInfo{Name: "own", Role: membership.RoleStore, Zone: "a"})
	random := rand.New(rand.NewSource(1))
	reached := map[string]bool{}
	for round := 0; round < 200; round++ {
		chosen := pickStores(sameZone, otherZones, random.Float64)
		if len(chosen) != constants.PressureFanout || chosen[0].Name != "own" {
			t.Fatalf("got stores %+v, want %d, that of the sender's zone first", chosen, constants.PressureFanout)
		}
		for _, store := range chosen {
			reached[store.Name] = true
		}
	}
	if len(reached) != 21 {
		t.Fatalf("%d stores were notified in 200 rounds, want all 21", len(reached))
	}
}

// In a small fleet all processes are notified of long prefills, in a large one a bounded number,
// those of the sender's zone first.
func TestPrefillPeersAreBounded(t *testing.T) {
	small := selectPeers(zone("a", 4)[0], append(zone("a", 4), zone("b", 4)...))
	if len(small.prefillPeers) != 7 {
		t.Fatalf("got %d prefill peers, want 7", len(small.prefillPeers))
	}
	large := selectPeers(zone("a", 40)[0], append(zone("a", 40), zone("b", 40)...))
	if len(large.prefillPeers) != constants.PrefillFanout || large.prefillPeers[0].Zone != "a" {
		t.Fatalf("got prefill peers %+v, want %d, those of the sender's zone first", large.prefillPeers, constants.PrefillFanout)
	}
}
