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
	for place := 0; place < count; place++ {
		entries = append(entries, messages.NodeInfo{Name: fmt.Sprint(name, "-", place), Role: membership.RoleGateway, Zone: name, Address: fmt.Sprint(name, place)})
	}
	return entries
}

// Everybody tells as many as tell him, nobody is left out, and a word gets round in
// a few steps.
func TestNeighboursReachAll(t *testing.T) {
	for _, count := range []int{2, 5, 18, 100} {
		entries := zone("a", count)
		told := map[string][]string{}
		heard := map[string]int{}
		for _, own := range entries {
			for _, one := range Neighbours(own, entries, constants.GossipFanout) {
				told[own.Name] = append(told[own.Name], one.Name)
				heard[one.Name]++
			}
		}
		for _, own := range entries {
			if len(told[own.Name]) != min(constants.GossipFanout, count-1) {
				t.Fatalf("%s of %d tells %v", own.Name, count, told[own.Name])
			}
			if heard[own.Name] == 0 {
				t.Fatalf("nobody of %d tells %s", count, own.Name)
			}
			reached := map[string]bool{own.Name: true}
			steps, edge := 0, []string{own.Name}
			for ; len(edge) > 0; steps++ {
				var next []string
				for _, one := range edge {
					for _, name := range told[one] {
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
		for place := range before {
			if !holds(after, before[place]) {
				moved++
			}
		}
	}
	if moved > 2*constants.GossipFanout {
		t.Fatalf("one left and %d ties moved", moved)
	}
}

// Each zone tells each other about once a period, whatever its size.
func TestZonesTellEachOtherAtOneRate(t *testing.T) {
	random := rand.New(rand.NewSource(7))
	for _, count := range []int{4, 18, 100} {
		var far []messages.NodeInfo
		for _, name := range []string{"b", "c", "d"} {
			far = append(far, zone(name, count)...)
		}
		one := circle{near: zone("a", count-1), zones: byZone(far)}
		const periods = 400
		told := map[string]int{}
		for period := 0; period < periods; period++ {
			for process := 0; process < count; process++ {
				if entry, drawn := one.across(random.Float64); drawn {
					told[entry.Zone]++
				}
			}
		}
		for _, name := range []string{"b", "c", "d"} {
			if rate := float64(told[name]) / periods; rate < 0.75 || rate > 1.25 {
				t.Fatalf("%d processes tell %s %.2f times a period", count, name, rate)
			}
		}
	}
}

// A word of pressure goes to the stores near by, as far as there are some, to a
// bounded number in all, and to each of the others in its turn.
func TestPressureGoesToFewStores(t *testing.T) {
	var near, far []messages.NodeInfo
	for place := 0; place < 20; place++ {
		near = append(near, messages.NodeInfo{Name: fmt.Sprint("f", place), Role: membership.RoleGateway, Zone: "a"})
		far = append(far, messages.NodeInfo{Name: fmt.Sprint("l", place), Role: membership.RoleStore, Zone: "b"})
	}
	near = append(near, messages.NodeInfo{Name: "own", Role: membership.RoleStore, Zone: "a"})
	random := rand.New(rand.NewSource(1))
	seen := map[string]bool{}
	for round := 0; round < 200; round++ {
		chosen := someStores(near, far, random.Float64)
		if len(chosen) != constants.PressureFanout || chosen[0].Name != "own" {
			t.Fatalf("%+v", chosen)
		}
		for _, one := range chosen {
			seen[one.Name] = true
		}
	}
	if len(seen) != 21 {
		t.Fatalf("only %d stores were ever told", len(seen))
	}
}

// A small fleet is told of long readings whole, a large one near by.
func TestReadingsAreBounded(t *testing.T) {
	small := around(zone("a", 4)[0], append(zone("a", 4), zone("b", 4)...))
	if len(small.readings) != 7 {
		t.Fatalf("%d of 7 told", len(small.readings))
	}
	large := around(zone("a", 40)[0], append(zone("a", 40), zone("b", 40)...))
	if len(large.readings) != constants.ReadingFanout || large.readings[0].Zone != "a" {
		t.Fatalf("%d told", len(large.readings))
	}
}
