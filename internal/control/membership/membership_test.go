package membership

import (
	"fmt"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

func entry(name string, incarnation int64) messages.NodeInfo {
	return messages.NodeInfo{Name: name, Incarnation: incarnation, Role: RoleGateway, Address: name + ":1"}
}

// TestViewsConvergeByShuffling checks that 25 views that initially share only one seed learn of all
// other processes by shuffling.
func TestViewsConvergeByShuffling(t *testing.T) {
	const count = 25
	views := map[string]*View{}
	var names []string
	for i := 0; i < count; i++ {
		info := entry(fmt.Sprint("n", i), 1)
		views[info.Address] = NewView(info, int64(i))
		names = append(names, info.Address)
	}
	now := clock.Instant(0)
	for _, name := range names[1:] {
		views[names[0]].Observe(views[name].Offer(now), now)
	}
	for round := 0; round < 8; round++ {
		now = now.Add(constants.ShufflePeriod)
		for _, name := range names {
			partner := views[name].Partner(now)
			if partner == "" {
				partner = names[0]
			}
			offer := views[partner].Offer(now)
			views[partner].Observe(views[name].Offer(now), now)
			views[name].Observe(offer, now)
		}
	}
	for _, name := range names {
		if got := len(views[name].All("", now)); got != count-1 {
			t.Fatalf("%s knows %d processes, want %d", name, got, count-1)
		}
	}
}

func TestNewIncarnationReplacesOldPermanently(t *testing.T) {
	view := NewView(entry("own", 1), 1)
	view.Observe([]messages.NodeInfo{entry("a", 1)}, 10)
	view.Observe([]messages.NodeInfo{entry("a", 2)}, 20)
	view.Observe([]messages.NodeInfo{entry("a", 1)}, 30)
	if got := view.All("", 30); len(got) != 1 || got[0].Incarnation != 2 {
		t.Fatalf("got entries %v, want only incarnation 2 of a", got)
	}
}

func TestSilentPeerIsKeptButNotLive(t *testing.T) {
	view := NewView(entry("own", 1), 1)
	view.Observe([]messages.NodeInfo{entry("a", 1)}, 0)
	later := clock.Instant(0).Add(constants.SuspectAfter)
	if len(view.Live("", later)) != 0 || len(view.All("", later)) != 1 {
		t.Fatal("a silent process must not be live but must still be known")
	}
	view.NoteContact("forge/a", later)
	if len(view.Live("", later)) != 1 {
		t.Fatal("a process must be live again after a direct message")
	}
}

func TestViewIsBounded(t *testing.T) {
	const count = 300
	view := NewView(entry("own", 1), 1)
	view.HandleReportResponse(&messages.Shuffle{}, &messages.Shuffle{Counts: []messages.RoleCount{{Role: RoleGateway, Count: count}}}, 0)
	for i := 0; i < count; i++ {
		view.Observe([]messages.NodeInfo{entry(fmt.Sprint("n", i), 1)}, clock.Instant(i))
	}
	if got := len(view.All("", 0)); got != ViewSize(count) || got > 40 {
		t.Fatalf("got %d entries, want the bound of the view, %d, which must be at most 40", got, ViewSize(count))
	}
	// The bound never removes controllers, nor stores from the view of a store or controller.
	for _, role := range []string{RoleController, RoleStore} {
		member := NewView(messages.NodeInfo{Name: "own", Role: role, Address: "own:1"}, 1)
		for i := 0; i < count; i++ {
			info := entry(fmt.Sprint("n", i), 1)
			info.Role = RoleStore
			member.Observe([]messages.NodeInfo{info}, clock.Instant(i))
			info.Role = RoleController
			member.Observe([]messages.NodeInfo{info}, clock.Instant(i))
		}
		if len(member.All(RoleStore, 0)) != count || len(member.All(RoleController, 0)) != count {
			t.Fatalf("the view of a %s is incomplete", role)
		}
	}
}
