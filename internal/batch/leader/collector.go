package leader

import (
	"runtime/debug"

	"lemonarch/internal/platform/constants"
)

// A leader allocates many times what other stores do, on the same share of a processor. Its
// collector runs less often for it: one process of the fleet pays with memory, below the limit
// that the machine sets.

// relaxCollector lets the heap grow further between two collections while this process leads.
func relaxCollector() { debug.SetGCPercent(constants.LeaderCollectPercent) }

// restoreCollector ends that.
func restoreCollector() { debug.SetGCPercent(constants.CollectPercent) }
