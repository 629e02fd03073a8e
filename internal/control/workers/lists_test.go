package workers

import (
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// The kept lists follow each change of the table.
func TestCachedListsFollowTheTable(t *testing.T) {
	table := New(1_200_000_000)
	expect := func(what string, named, entries int) {
		t.Helper()
		if got := len(table.ByService("s")); got != named {
			t.Errorf("%s: %d of the service, want %d", what, got, named)
		}
		if got := len(table.Sorted()); got != entries {
			t.Errorf("%s: %d in all, want %d", what, got, entries)
		}
	}
	expect("empty", 0, 0)
	table.Merge(messages.Worker{ID: "v", Backend: "s", CallCount: 1}, 1)
	expect("one", 1, 1)
	table.Merge(messages.Worker{ID: "w", Backend: "s", CallCount: 1}, 1)
	expect("two", 2, 2)
	table.Merge(messages.Worker{ID: "w", Backend: "s", CallCount: 2, Phase: messages.PhaseDraining}, 2)
	expect("one drains", 1, 2)
	table.Merge(messages.Worker{ID: "v", Backend: "t", CallCount: 2}, 2)
	expect("one serves another", 0, 2)
	if entries := table.Sorted(); entries[0].ID != "v" || entries[0].Backend != "t" || entries[1].ID != "w" {
		t.Error(entries)
	}
	table.Forget(clock.Instant(2).Add(2 * constants.ForgetAfter))
	expect("forgotten", 0, 0)
}
