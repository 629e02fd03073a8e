package bellows

import (
	"fmt"
	"testing"

	"lemonarch/internal/almanac"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

func foremanEntry(name, hall string) pattern.Entry {
	return pattern.Entry{Name: name, Life: 1, Role: RoleForeman, Hall: hall, Address: name + ":1"}
}

func order(view *View, now watch.Moment) (names string) {
	for _, entry := range view.Foremen(now) {
		names += entry.Name
	}
	return names
}

// A process reports to its own hall's foremen before others, and to those last that
// have just failed to answer, leave, or are known to be silent.
func TestWhoIsReportedTo(test *testing.T) {
	own := entry("own", 1)
	own.Hall = "a"
	view := NewView(own, 1)
	for _, one := range []pattern.Entry{foremanEntry("p", "a"), foremanEntry("q", "a"), foremanEntry("r", "b")} {
		view.Heard([]pattern.Entry{one}, 0)
	}
	first := order(view, 0)
	if first[2] != 'r' {
		test.Fatal(first)
	}
	address := string(first[0]) + ":1"
	view.Failed(address, 0)
	if got := order(view, 1); got != first[1:]+first[:1] {
		test.Fatal(got)
	}
	later := watch.Moment(0).Plus(almanac.SilentAfter)
	view.Touched("foreman/r", later)
	if got := order(view, later); got[0] != 'r' {
		test.Fatal("silent ones come first: ", got)
	}
	view.Touched("foreman/"+string(first[0]), later)
	if got := order(view, later); got[0] != first[0] {
		test.Fatal("it answers again: ", got)
	}
}

// A foreman's answer fills an empty view to its bound, keeps it fresh, and tells of one
// that fell silent by its age alone.
func TestExchangeKeepsAView(test *testing.T) {
	foreman := NewView(foremanEntry("f", "a"), 1)
	for place := 0; place < 120; place++ {
		one := entry(fmt.Sprint("n", place), 1)
		one.Hall = []string{"a", "b", "c", "d"}[place%4]
		foreman.Heard([]pattern.Entry{one}, 0)
	}
	own := entry("n0", 1)
	own.Hall = "a"
	view, now := NewView(own, 1), watch.Moment(0)
	talk := func() {
		question := view.Question()
		view.Answered(question, foreman.Answer(question, now), now)
	}
	for round := 0; round < 4; round++ {
		talk()
	}
	halls := map[string]int{}
	for _, entry := range view.Live(RoleForge, now) {
		halls[entry.Hall]++
	}
	if got := len(view.All(RoleForge, now)); got != Bound(120) || view.Population(RoleForge, now) != 120 || halls["a"] < Bound(120)-3*(almanac.FarLinks+1) {
		test.Fatal(got, view.Population(RoleForge, now), halls)
	}
	for hall, count := range halls {
		if count < almanac.FarLinks {
			test.Fatal(hall, count)
		}
	}
	// All but one go on speaking to the foreman.
	silent := view.All(RoleForge, now)[0].Name
	for round := 0; round < 6; round++ {
		now = now.Plus(almanac.ShufflePeriod)
		for place := 0; place < 120; place++ {
			if name := fmt.Sprint("n", place); name != silent {
				foreman.Touched("forge/"+name, now)
			}
		}
		talk()
	}
	for _, entry := range view.All(RoleForge, now) {
		if live := entry.AgeMs < almanac.SilentAfter.Milliseconds(); live == (entry.Name == silent) {
			test.Fatalf("%s: heard %d ms ago", entry.Name, entry.AgeMs)
		}
	}
	// Without a foreman it goes on with those that it had.
	before := len(view.Live(RoleForge, now))
	now = now.Plus(10 * almanac.ShufflePeriod)
	if got := len(view.Live(RoleForge, now)); got != before {
		test.Fatal("its own deafness made others silent: ", got, before)
	}
}
