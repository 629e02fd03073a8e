package workers

import (
	"fmt"
	"testing"

	"lemonarch/internal/platform/messages"
)

// tableOf makes a table of so many steady workers.
func tableOf(count int) *Registry {
	table := New(beat)
	for i := 0; i < count; i++ {
		table.Merge(messages.Worker{ID: fmt.Sprint("i-", i), Backend: "s", Address: "a:1", Capacity: 4, CallCount: 1}, 0)
	}
	return table
}

// A pull brings two tables together whatever differs, and moves little where little differs.
func TestPullByBucketsBringsWhatDiffers(t *testing.T) {
	for _, size := range []int{1, 5, 170, 3000} {
		theirs, own := tableOf(size), tableOf(size)
		theirs.Merge(messages.Worker{ID: "i-0", Backend: "s", Address: "a:1", Capacity: 4, CallCount: 7, Phase: messages.PhaseDraining}, 1)
		theirs.Merge(messages.Worker{ID: "new", Backend: "s", Address: "b:1", Capacity: 4, CallCount: 1}, 1)
		own.Merge(messages.Worker{ID: "own", Backend: "s", Address: "c:1", Capacity: 4, CallCount: 1}, 1)
		differing := theirs.Differing(0, own.BucketSums(), 2)
		for _, worker := range differing {
			own.Merge(worker, 2)
		}
		theirs.Merge(messages.Worker{ID: "own", Backend: "s", Address: "c:1", Capacity: 4, CallCount: 1}, 2)
		if theirs.Digest(0).Sum != own.Digest(0).Sum {
			t.Errorf("%d workers: tables differ after the pull", size)
		}
		if most := 6*workersPerBucket*max(1, size/(bucketCount*workersPerBucket)) + 8; len(differing) > most {
			t.Errorf("%d workers: %d entries moved, want at most %d", size, len(differing), most)
		}
		if alike := theirs.Differing(0, own.BucketSums(), 2); len(alike) != 0 {
			t.Errorf("%d workers: %d entries moved between tables that are alike", size, len(alike))
		}
	}
}

// Sums that are missing, torn or of another shape leave nothing out.
func TestUnreadableSumsLeaveNothingOut(t *testing.T) {
	table := tableOf(40)
	sums := table.BucketSums()
	for _, each := range [][]byte{nil, {}, sums[:3], sums[:len(sums)-1], make([]byte, 12), make([]byte, 4*1024)} {
		if got := table.Differing(0, each, 1); len(got) != 40 {
			t.Errorf("%d bytes: %d entries", len(each), len(got))
		}
	}
	if got := table.Differing(0, New(beat).BucketSums(), 1); len(got) != 40 {
		t.Error("an empty table got", len(got))
	}
}
