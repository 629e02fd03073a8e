package membership

import (
	"fmt"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

func entry(name string, life int64) messages.Entry {
	return messages.Entry{Name: name, Life: life, Role: RoleGateway, Address: name + ":1"}
}

// Many views that each know one seed learn of all others by shuffling.
func TestViewsMeet(t *testing.T) {
	const count = 25
	views := map[string]*View{}
	var names []string
	for place := 0; place < count; place++ {
		one := entry(fmt.Sprint("n", place), 1)
		views[one.Address] = NewView(one, int64(place))
		names = append(names, one.Address)
	}
	now := clock.Moment(0)
	for _, name := range names[1:] {
		views[names[0]].Heard(views[name].Offer(now), now)
	}
	for round := 0; round < 8; round++ {
		now = now.Plus(constants.ShufflePeriod)
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
			t.Fatalf("%s knows %d of %d", name, got, count-1)
		}
	}
}

func TestNewLifeReplacesOldAndOldNeverComesBack(t *testing.T) {
	view := NewView(entry("own", 1), 1)
	view.Heard([]messages.Entry{entry("a", 1)}, 10)
	view.Heard([]messages.Entry{entry("a", 2)}, 20)
	view.Heard([]messages.Entry{entry("a", 1)}, 30)
	if got := view.All("", 30); len(got) != 1 || got[0].Life != 2 {
		t.Fatal(got)
	}
}

func TestSilenceIsOnlyAHint(t *testing.T) {
	view := NewView(entry("own", 1), 1)
	view.Heard([]messages.Entry{entry("a", 1)}, 0)
	later := clock.Moment(0).Plus(constants.SilentAfter)
	if len(view.Live("", later)) != 0 || len(view.All("", later)) != 1 {
		t.Fatal("a silent process is not live but still known")
	}
	view.Touched("forge/a", later)
	if len(view.Live("", later)) != 1 {
		t.Fatal("a direct message makes it live again")
	}
}

func TestViewIsBounded(t *testing.T) {
	const count = 300
	view := NewView(entry("own", 1), 1)
	view.Answered(&messages.Shuffle{}, &messages.Shuffle{Counts: []messages.Headcount{{Role: RoleGateway, Count: count}}}, 0)
	for place := 0; place < count; place++ {
		view.Heard([]messages.Entry{entry(fmt.Sprint("n", place), 1)}, clock.Moment(place))
	}
	if got := len(view.All("", 0)); got != Bound(count) || got > 40 {
		t.Fatalf("%d entries", got)
	}
	// Who matters is never dropped by the bound: controllers, and stores at a store.
	for _, role := range []string{RoleController, RoleStore} {
		keeper := NewView(messages.Entry{Name: "own", Role: role, Address: "own:1"}, 1)
		for place := 0; place < count; place++ {
			one := entry(fmt.Sprint("n", place), 1)
			one.Role = RoleStore
			keeper.Heard([]messages.Entry{one}, clock.Moment(place))
			one.Role = RoleController
			keeper.Heard([]messages.Entry{one}, clock.Moment(place))
		}
		if len(keeper.All(RoleStore, 0)) != count || len(keeper.All(RoleController, 0)) != count {
			t.Fatalf("a %s lost some", role)
		}
	}
}
