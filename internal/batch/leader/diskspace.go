package leader

import "lemonarch/internal/platform/constants"

// Every member keeps every job and output until status-s after the job came. A job whose outputs
// would not find room on the disks must not be accepted: it could never be finished, nor could
// those before it.

// outgrowsDiskLocked tells whether the disk would be too small for what is kept, for the outputs
// of all items that are not listed yet, and for a further job. The lock is held.
func (t *Term) outgrowsDiskLocked(jobBytes, items int) bool {
	limit := float64(t.process.Node.Settings.Limits.DiskMB) * bytesPerMB * constants.DiskShare
	if limit <= 0 {
		return false
	}
	for _, job := range t.jobs.Jobs() {
		if job.Open() {
			items += job.Total() - len(job.Listings)
		}
	}
	kept := float64(t.process.Log.Bytes()) + float64(t.submissions.intake.bytes) + float64(jobBytes)
	return kept+float64(items)*(t.items.dispatcher.MeanOutputBytes+recordOverhead) > limit
}

// bytesPerMB is the unit of the settings' disk-mb.
const bytesPerMB = 1e6
