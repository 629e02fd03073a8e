package workers

import (
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// The cached lists are invalidated by each change of the table.
func TestCachedListsFollowTheTable(t *testing.T) {
	table := New(1_200_000_000)
	expect := func(step string, inService, total int) {
		t.Helper()
		if got := len(table.ByService("s")); got != inService {
			t.Errorf("%s: got %d workers of the service, want %d", step, got, inService)
		}
		if got := len(table.Sorted()); got != total {
			t.Errorf("%s: got %d workers in total, want %d", step, got, total)
		}
	}
	expect("empty", 0, 0)
	table.Merge(messages.Worker{ID: "v", Backend: "s", CallCount: 1}, 1)
	expect("one worker", 1, 1)
	table.Merge(messages.Worker{ID: "w", Backend: "s", CallCount: 1}, 1)
	expect("two workers", 2, 2)
	table.Merge(messages.Worker{ID: "w", Backend: "s", CallCount: 2, Phase: messages.PhaseDraining}, 2)
	expect("one worker draining", 1, 2)
	table.Merge(messages.Worker{ID: "v", Backend: "t", CallCount: 2}, 2)
	expect("other worker moved to another service", 0, 2)
	if entries := table.Sorted(); entries[0].ID != "v" || entries[0].Backend != "t" || entries[1].ID != "w" {
		t.Errorf("got workers %v, want v of service t, then w", entries)
	}
	table.Forget(clock.Instant(2).Add(2 * constants.ForgetAfter))
	expect("forgotten", 0, 0)
}
