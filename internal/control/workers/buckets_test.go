package workers

import (
	"fmt"
	"testing"

	"lemonarch/internal/platform/messages"
)

// tableOf returns a table of count steady workers.
func tableOf(count int) *Registry {
	table := New(heartbeatPeriod)
	for i := 0; i < count; i++ {
		table.Merge(messages.Worker{ID: fmt.Sprint("i-", i), Backend: "s", Address: "a:1", Capacity: 4, CallCount: 1}, 0)
	}
	return table
}

// A pull makes two tables equal for any difference, and transfers few entries if few differ. Otherwise the cost
// of a pull would depend on the size of the table.
func TestPullByBucketsBringsWhatDiffers(t *testing.T) {
	for _, size := range []int{1, 5, 170, 3000} {
		remote, local := tableOf(size), tableOf(size)
		remote.Merge(messages.Worker{ID: "i-0", Backend: "s", Address: "a:1", Capacity: 4, CallCount: 7, Phase: messages.PhaseDraining}, 1)
		remote.Merge(messages.Worker{ID: "new", Backend: "s", Address: "b:1", Capacity: 4, CallCount: 1}, 1)
		local.Merge(messages.Worker{ID: "own", Backend: "s", Address: "c:1", Capacity: 4, CallCount: 1}, 1)
		differing := remote.Differing(0, local.BucketSums(), 2)
		for _, worker := range differing {
			local.Merge(worker, 2)
		}
		remote.Merge(messages.Worker{ID: "own", Backend: "s", Address: "c:1", Capacity: 4, CallCount: 1}, 2)
		if remote.Digest(0).Sum != local.Digest(0).Sum {
			t.Errorf("%d workers: tables differ after the pull", size)
		}
		if most := 6*workersPerBucket*max(1, size/(bucketCount*workersPerBucket)) + 8; len(differing) > most {
			t.Errorf("%d workers: transferred %d entries, want at most %d", size, len(differing), most)
		}
		if unneeded := remote.Differing(0, local.BucketSums(), 2); len(unneeded) != 0 {
			t.Errorf("%d workers: transferred %d entries between equal tables, want none", size, len(unneeded))
		}
	}
}

// If the bucket sums in a request are missing, truncated or of an invalid length, all entries are returned.
func TestInvalidBucketSumsReturnAllWorkers(t *testing.T) {
	table := tableOf(40)
	sums := table.BucketSums()
	for _, invalid := range [][]byte{nil, {}, sums[:3], sums[:len(sums)-1], make([]byte, 12), make([]byte, 4*1024)} {
		if got := table.Differing(0, invalid, 1); len(got) != 40 {
			t.Errorf("sums of %d bytes: got %d entries, want all 40", len(invalid), len(got))
		}
	}
	if got := table.Differing(0, New(heartbeatPeriod).BucketSums(), 1); len(got) != 40 {
		t.Errorf("sums of an empty table: got %d entries, want all 40", len(got))
	}
}
