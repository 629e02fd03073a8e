package bellows

import (
	"fmt"
	"testing"

	"lemonarch/internal/almanac"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

func entry(name string, life int64) pattern.Entry {
	return pattern.Entry{Name: name, Life: life, Role: RoleForge, Address: name + ":1"}
}

// Many views that each know one seed learn of all others by shuffling.
func TestViewsMeet(test *testing.T) {
	const count = 25
	views := map[string]*View{}
	var names []string
	for place := 0; place < count; place++ {
		one := entry(fmt.Sprint("n", place), 1)
		views[one.Address] = NewView(one, int64(place))
		names = append(names, one.Address)
	}
	now := watch.Moment(0)
	for _, name := range names[1:] {
		views[names[0]].Heard(views[name].Offer(now), now)
	}
	for round := 0; round < 8; round++ {
		now = now.Plus(almanac.ShufflePeriod)
		for _, name := range names {
			partner := views[name].Partner(now)
			if partner == "" {
				partner = names[0]
			}
			offer := views[partner].Offer(now)
			views[partner].Heard(views[name].Offer(now), now)
			views[name].Heard(offer, now)
		}
	}
	for _, name := range names {
		if got := len(views[name].All("", now)); got != count-1 {
			test.Fatalf("%s knows %d of %d", name, got, count-1)
		}
	}
}

func TestNewLifeReplacesOldAndOldNeverComesBack(test *testing.T) {
	view := NewView(entry("own", 1), 1)
	view.Heard([]pattern.Entry{entry("a", 1)}, 10)
	view.Heard([]pattern.Entry{entry("a", 2)}, 20)
	view.Heard([]pattern.Entry{entry("a", 1)}, 30)
	if got := view.All("", 30); len(got) != 1 || got[0].Life != 2 {
		test.Fatal(got)
	}
}

func TestSilenceIsOnlyAHint(test *testing.T) {
	view := NewView(entry("own", 1), 1)
	view.Heard([]pattern.Entry{entry("a", 1)}, 0)
	later := watch.Moment(0).Plus(almanac.SilentAfter)
	if len(view.Live("", later)) != 0 || len(view.All("", later)) != 1 {
		test.Fatal("a silent process is not live but still known")
	}
	view.Touched("forge/a", later)
	if len(view.Live("", later)) != 1 {
		test.Fatal("direct word makes it live again")
	}
}

func TestViewIsBounded(test *testing.T) {
	const count = 300
	view := NewView(entry("own", 1), 1)
	view.Answered(&pattern.Shuffle{}, &pattern.Shuffle{Heads: []pattern.Headcount{{Role: RoleForge, Count: count}}}, 0)
	for place := 0; place < count; place++ {
		view.Heard([]pattern.Entry{entry(fmt.Sprint("n", place), 1)}, watch.Moment(place))
	}
	if got := len(view.All("", 0)); got != Bound(count) || got > 40 {
		test.Fatalf("%d entries", got)
	}
	// Who matters is never dropped by the bound: foremen, and lockers at a locker.
	for _, role := range []string{RoleForeman, RoleLocker} {
		keeper := NewView(pattern.Entry{Name: "own", Role: role, Address: "own:1"}, 1)
		for place := 0; place < count; place++ {
			one := entry(fmt.Sprint("n", place), 1)
			one.Role = RoleLocker
			keeper.Heard([]pattern.Entry{one}, watch.Moment(place))
			one.Role = RoleForeman
			keeper.Heard([]pattern.Entry{one}, watch.Moment(place))
		}
		if len(keeper.All(RoleLocker, 0)) != count || len(keeper.All(RoleForeman, 0)) != count {
			test.Fatalf("a %s lost some", role)
		}
	}
}
