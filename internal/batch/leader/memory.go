package leader

import "lemonarch/internal/platform/constants"

// The leader keeps in memory the inputs of all items that may still be run. Disks are larger than
// memory, so jobs that fit on the disks may not fit in memory.

// exceedsMemoryLimitLocked reports whether another job of the given size would exceed the memory
// limit. It returns false if there is no limit, or no other job in memory: a single job is accepted
// whatever its size. The lock is held.
func (t *Term) exceedsMemoryLimitLocked(jobBytes int) bool {
	limit := t.process.Node.Settings.Limits.MemoryShare(constants.JobInputShare)
	usedBytes := t.jobs.InputBytes() + int64(t.submissions.intake.bytes)
	return limit > 0 && usedBytes > 0 && usedBytes+int64(jobBytes) > limit
}
