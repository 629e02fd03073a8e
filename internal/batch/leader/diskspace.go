package leader

import "lemonarch/internal/platform/constants"

// Every member keeps every job and output for the retention period (setting status-s) after the job
// was submitted. A job whose outputs would not fit on the disks must not be accepted: neither it nor
// the jobs accepted before it could be finished.

// exceedsDiskLimitLocked reports whether the disk is too small for the stored records, the outputs
// of all items that are not yet listed, and another job of the given size and number of items. It
// returns false if there is no limit. The lock is held.
func (t *Term) exceedsDiskLimitLocked(jobBytes, items int) bool {
	limit := float64(t.process.Node.Settings.Limits.DiskMB) * bytesPerMB * constants.DiskShare
	if limit <= 0 {
		return false
	}
	for _, job := range t.jobs.Jobs() {
		if job.Open() {
			items += job.Total() - len(job.Listings)
		}
	}
	storedBytes := float64(t.process.Log.Bytes()) + float64(t.submissions.intake.bytes) + float64(jobBytes)
	return storedBytes+float64(items)*(t.items.dispatcher.MeanOutputBytes+recordOverhead) > limit
}

// bytesPerMB is the unit of the setting disk-mb, in bytes.
const bytesPerMB = 1e6
