package leader

import (
	"runtime/debug"

	"lemonarch/internal/platform/constants"
)

// A leader allocates many times as much as other stores, with the same share of a processor. Its
// garbage collector therefore runs less often. This costs memory in one process of the fleet,
// within the machine's memory limit.

// relaxCollector lets the heap grow more between two garbage collections while this process leads.
func relaxCollector() { debug.SetGCPercent(constants.LeaderGCPercent) }

// restoreCollector restores the usual garbage collection target.
func restoreCollector() { debug.SetGCPercent(constants.GCPercent) }
