package dispatch

import (
	"testing"

	"lemonarch/internal/platform/clock"
)

// A step of the wall clock, here or where a job was submitted, must not expire the job early.
func TestSteppedClocksExpireNothing(t *testing.T) {
	job := &Job{SubmittedMs: 1_000_000, KnownSince: ms(5000)}
	timeout := clock.Duration(60_000_000_000)
	if job.OlderThan(timeout, 9_000_000, ms(6000)) || job.OlderThan(timeout, 900_000, ms(90_000)) || job.OlderThan(timeout, 1_060_000, ms(90_000)) {
		t.Fatal("job is older by one clock only")
	}
	if !job.OlderThan(timeout, 1_060_001, ms(65_001)) {
		t.Fatal("job is not older by both clocks")
	}
}
