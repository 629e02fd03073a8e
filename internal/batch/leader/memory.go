package leader

import "lemonarch/internal/platform/constants"

// The leader keeps the inputs of all items that may still be run in memory. Disks are larger than
// memory, so what fits on them need not fit here.

// outgrowsMemoryLocked tells whether a further job of so many bytes would find no room in memory. A
// single job is taken whatever its length. The lock is held.
func (t *Term) exceedsMemoryLimitLocked(jobBytes int) bool {
	limit := t.process.Node.Settings.Limits.MemoryShare(constants.JobInputShare)
	held := t.jobs.InputBytes() + int64(t.submissions.intake.bytes)
	return limit > 0 && held > 0 && held+int64(jobBytes) > limit
}
