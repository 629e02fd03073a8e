package loadgossip

import (
	"fmt"
	"math/rand"
	"testing"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// zone makes the processes of one zone.
func zone(name string, count int) []messages.NodeInfo {
	var entries []messages.NodeInfo
	for position := 0; position < count; position++ {
		entries = append(entries, messages.NodeInfo{Name: fmt.Sprint(name, "-", position), Role: membership.RoleGateway, Zone: name, Address: fmt.Sprint(name, position)})
	}
	return entries
}

// Everybody tells as many as tell him, nobody is left out, and a word gets round in
// a few steps.
func TestNeighboursReachAll(t *testing.T) {
	for _, count := range []int{2, 5, 18, 100} {
		entries := zone("a", count)
		recipients := map[string][]string{}
		received := map[string]int{}
		for _, own := range entries {
			for _, entry := range Neighbours(own, entries, constants.GossipFanout) {
				recipients[own.Name] = append(recipients[own.Name], entry.Name)
				received[entry.Name]++
			}
		}
		for _, own := range entries {
			if len(recipients[own.Name]) != min(constants.GossipFanout, count-1) {
				t.Fatalf("%s of %d tells %v", own.Name, count, recipients[own.Name])
			}
			if received[own.Name] == 0 {
				t.Fatalf("nobody of %d tells %s", count, own.Name)
			}
			reached := map[string]bool{own.Name: true}
			steps, edge := 0, []string{own.Name}
			for ; len(edge) > 0; steps++ {
				var next []string
				for _, entry := range edge {
					for _, name := range recipients[entry] {
						if !reached[name] {
							reached[name] = true
							next = append(next, name)
						}
					}
				}
				edge = next
			}
			if len(reached) != count || steps > 9 {
				t.Fatalf("%s reaches %d of %d in %d steps", own.Name, len(reached), count, steps)
			}
		}
	}
}

// Who goes moves his own neighbours only.
func TestNeighboursAreStable(t *testing.T) {
	entries := zone("a", 60)
	moved := 0
	for _, own := range entries[1:] {
		before := Neighbours(own, entries, constants.GossipFanout)
		after := Neighbours(own, entries[1:], constants.GossipFanout)
		for position := range before {
			if !contains(after, before[position]) {
				moved++
			}
		}
	}
	if moved > 2*constants.GossipFanout {
		t.Fatalf("one left and %d ties moved", moved)
	}
}

// Each zone tells each other about once a period, whatever its size.
func TestZonesNotifyEachOtherAtOneRate(t *testing.T) {
	random := rand.New(rand.NewSource(7))
	for _, count := range []int{4, 18, 100} {
		var far []messages.NodeInfo
		for _, name := range []string{"b", "c", "d"} {
			far = append(far, zone(name, count)...)
		}
		member := peerSet{sameZone: zone("a", count-1), byZone: groupByZone(far)}
		const periods = 400
		recipients := map[string]int{}
		for period := 0; period < periods; period++ {
			for process := 0; process < count; process++ {
				if entry, selected := member.pickOtherZone(random.Float64); selected {
					recipients[entry.Zone]++
				}
			}
		}
		for _, name := range []string{"b", "c", "d"} {
			if rate := float64(recipients[name]) / periods; rate < 0.75 || rate > 1.25 {
				t.Fatalf("%d processes tell %s %.2f times a period", count, name, rate)
			}
		}
	}
}

// A word of pressure goes to the stores near by, as far as there are some, to a
// bounded number in all, and to each of the others in its turn.
func TestPressureGoesToFewStores(t *testing.T) {
	var near, far []messages.NodeInfo
	for position := 0; position < 20; position++ {
		near = append(near, messages.NodeInfo{Name: fmt.Sprint("f", position), Role: membership.RoleGateway, Zone: "a"})
		far = append(far, messages.NodeInfo{Name: fmt.Sprint("l", position), Role: membership.RoleStore, Zone: "b"})
	}
	near = append(near, messages.NodeInfo{Name: "own", Role: membership.RoleStore, Zone: "a"})
	random := rand.New(rand.NewSource(1))
	reached := map[string]bool{}
	for round := 0; round < 200; round++ {
		chosen := pickStores(near, far, random.Float64)
		if len(chosen) != constants.PressureFanout || chosen[0].Name != "own" {
			t.Fatalf("%+v", chosen)
		}
		for _, entry := range chosen {
			reached[entry.Name] = true
		}
	}
	if len(reached) != 21 {
		t.Fatalf("only %d stores were ever told", len(reached))
	}
}

// In a small fleet all are notified of long prefills, in a large one those near by.
func TestPrefillPeersAreBounded(t *testing.T) {
	small := selectPeers(zone("a", 4)[0], append(zone("a", 4), zone("b", 4)...))
	if len(small.prefillPeers) != 7 {
		t.Fatalf("%d of 7 told", len(small.prefillPeers))
	}
	large := selectPeers(zone("a", 40)[0], append(zone("a", 40), zone("b", 40)...))
	if len(large.prefillPeers) != constants.ReadingFanout || large.prefillPeers[0].Zone != "a" {
		t.Fatalf("%d told", len(large.prefillPeers))
	}
}
