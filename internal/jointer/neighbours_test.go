package jointer

import (
	"fmt"
	"math/rand"
	"testing"

	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/pattern"
)

// hall makes the processes of one hall.
func hall(name string, count int) []pattern.Entry {
	var entries []pattern.Entry
	for place := 0; place < count; place++ {
		entries = append(entries, pattern.Entry{Name: fmt.Sprint(name, "-", place), Role: bellows.RoleForge, Hall: name, Address: fmt.Sprint(name, place)})
	}
	return entries
}

// Everybody tells as many as tell him, nobody is left out, and a word gets round in
// a few steps.
func TestNeighboursReachAll(test *testing.T) {
	for _, count := range []int{2, 5, 18, 100} {
		entries := hall("a", count)
		told := map[string][]string{}
		heard := map[string]int{}
		for _, own := range entries {
			for _, one := range Neighbours(own, entries, almanac.GossipFanout) {
				told[own.Name] = append(told[own.Name], one.Name)
				heard[one.Name]++
			}
		}
		for _, own := range entries {
			if len(told[own.Name]) != min(almanac.GossipFanout, count-1) {
				test.Fatalf("%s of %d tells %v", own.Name, count, told[own.Name])
			}
			if heard[own.Name] == 0 {
				test.Fatalf("nobody of %d tells %s", count, own.Name)
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
				test.Fatalf("%s reaches %d of %d in %d steps", own.Name, len(reached), count, steps)
			}
		}
	}
}

// Who goes moves his own neighbours only.
func TestNeighboursAreStable(test *testing.T) {
	entries := hall("a", 60)
	moved := 0
	for _, own := range entries[1:] {
		before := Neighbours(own, entries, almanac.GossipFanout)
		after := Neighbours(own, entries[1:], almanac.GossipFanout)
		for place := range before {
			if !holds(after, before[place]) {
				moved++
			}
		}
	}
	if moved > 2*almanac.GossipFanout {
		test.Fatalf("one left and %d ties moved", moved)
	}
}

// Each hall tells each other about once a period, whatever its size.
func TestHallsTellEachOtherAtOneRate(test *testing.T) {
	random := rand.New(rand.NewSource(7))
	for _, count := range []int{4, 18, 100} {
		var far []pattern.Entry
		for _, name := range []string{"b", "c", "d"} {
			far = append(far, hall(name, count)...)
		}
		one := circle{near: hall("a", count-1), halls: byHall(far)}
		const periods = 400
		told := map[string]int{}
		for period := 0; period < periods; period++ {
			for process := 0; process < count; process++ {
				if entry, drawn := one.across(random.Float64); drawn {
					told[entry.Hall]++
				}
			}
		}
		for _, name := range []string{"b", "c", "d"} {
			if rate := float64(told[name]) / periods; rate < 0.75 || rate > 1.25 {
				test.Fatalf("%d processes tell %s %.2f times a period", count, name, rate)
			}
		}
	}
}

// A word of pressure goes to the lockers near by, as far as there are some, to a
// bounded number in all, and to each of the others in its turn.
func TestPressureGoesToFewLockers(test *testing.T) {
	var near, far []pattern.Entry
	for place := 0; place < 20; place++ {
		near = append(near, pattern.Entry{Name: fmt.Sprint("f", place), Role: bellows.RoleForge, Hall: "a"})
		far = append(far, pattern.Entry{Name: fmt.Sprint("l", place), Role: bellows.RoleLocker, Hall: "b"})
	}
	near = append(near, pattern.Entry{Name: "own", Role: bellows.RoleLocker, Hall: "a"})
	random := rand.New(rand.NewSource(1))
	seen := map[string]bool{}
	for round := 0; round < 200; round++ {
		chosen := someLockers(near, far, random.Float64)
		if len(chosen) != almanac.PressureFanout || chosen[0].Name != "own" {
			test.Fatalf("%+v", chosen)
		}
		for _, one := range chosen {
			seen[one.Name] = true
		}
	}
	if len(seen) != 21 {
		test.Fatalf("only %d lockers were ever told", len(seen))
	}
}

// A small fleet is told of long readings whole, a large one near by.
func TestReadingsAreBounded(test *testing.T) {
	small := around(hall("a", 4)[0], append(hall("a", 4), hall("b", 4)...))
	if len(small.readings) != 7 {
		test.Fatalf("%d of 7 told", len(small.readings))
	}
	large := around(hall("a", 40)[0], append(hall("a", 40), hall("b", 40)...))
	if len(large.readings) != almanac.ReadingFanout || large.readings[0].Hall != "a" {
		test.Fatalf("%d told", len(large.readings))
	}
}
