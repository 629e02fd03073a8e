package leader

import (
	"slices"
	"strconv"

	"lemonarch/internal/batch/dispatch"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

func formatInteger[Integer int | int64 | uint64](value Integer) string {
	return strconv.FormatInt(int64(value), 10)
}

// Leadership returns the leadership of this term.
func (t *Term) Leadership() messages.Leadership { return t.leadership }

// Members returns the store set that this term uses to count copies.
func (t *Term) Members() []messages.Member {
	t.lock.Lock()
	defer t.lock.Unlock()
	return slices.Clone(t.records.replicator.Members)
}

// Serving reports whether the term serves calls: its takeover is complete and it has not ended.
func (t *Term) Serving() bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.serving
}

// JobsReport returns a job report without rows.
func JobsReport() *messages.StatusResponse {
	return &messages.StatusResponse{Columns: []string{"lot", "path", "age-s", "items", "listed", "acquired", "waiting-tokens", "deliveries", "lapses", "releases", "failures", "renewals", "state"}}
}

// ReportJobs returns a report with one row per job.
func (t *Term) ReportJobs() *messages.StatusResponse {
	status := JobsReport()
	nowMs := clock.WallNanos() / 1_000_000
	t.lock.Lock()
	defer t.lock.Unlock()
	for _, job := range t.jobs.Jobs() {
		state, tokens := "open", int64(0)
		if job.Ended {
			state = "ended"
		} else if !job.Open() {
			state = "done"
		}
		acquired, deliveries, lapses, releases, failures, renewals := 0, 0, 0, 0, 0, 0
		for _, item := range job.Items {
			if job.Open() && item.Unfinished() {
				tokens += item.Tokens
			}
			if item.State == dispatch.ItemAcquired {
				acquired++
			}
			deliveries += item.Runs
			lapses += item.LockExpiries
			releases += item.Releases
			failures += len(item.FailedBy)
			renewals += item.Renewals
		}
		status.Rows = append(status.Rows, []string{job.ID, job.Path, formatInteger((nowMs - job.SubmittedMs) / 1000), formatInteger(job.Total()),
			formatInteger(len(job.Listings)), formatInteger(acquired), formatInteger(tokens), formatInteger(deliveries), formatInteger(lapses), formatInteger(releases), formatInteger(failures), formatInteger(renewals), state})
	}
	return status
}

// ReportStores returns one row per member of the store set: name, disk, the index up to which it has
// synced, the number of records that it lacks, and its state, which is always "in the set".
func (t *Term) ReportStores() [][]string {
	var rows [][]string
	t.lock.Lock()
	defer t.lock.Unlock()
	for _, member := range t.records.replicator.Members {
		match := t.records.replicator.MatchIndex(register.Identity(member))
		rows = append(rows, []string{member.Name, member.Disk, formatInteger(match), formatInteger(t.records.replicator.Last() - match), "in the set"})
	}
	return rows
}
