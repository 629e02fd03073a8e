package leader

import (
	"net/http"
	"testing"

	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// A job must be rejected if the waiting inputs would exceed their share of memory. The first job is
// accepted whatever its size, and ending a job frees its memory.
func TestJobsExceedingTheMemoryLimitAreRejected(t *testing.T) {
	process := soleStore(t, simulation.NewDisk(43))
	term := startServingTerm(t, process, 1)
	if status := term.Serve(jobCallOf("a", 2)).Status; status != http.StatusAccepted {
		t.Fatalf("first job: status %d, want %d", status, http.StatusAccepted)
	}
	term.lock.Lock()
	inputBytes := term.jobs.InputBytes()
	process.Node.Settings.Limits.MemoryMB = 1
	share := constants.JobInputShare
	limit := int64(share * (1 << 20))
	fits, exceeds := !term.exceedsMemoryLimitLocked(int(limit-inputBytes)), term.exceedsMemoryLimitLocked(int(limit-inputBytes+1))
	term.lock.Unlock()
	if inputBytes <= 0 || !fits || !exceeds {
		t.Fatalf("%d input bytes in use, job up to the limit fits: %t, one byte more exceeds it: %t; want more than 0, true and true",
			inputBytes, fits, exceeds)
	}
	offer := &messages.JobCallRequest{Method: messages.MethodOffer, Host: "h", Path: "/b/", Job: "b", BodyBytes: int(limit)}
	if resp := term.Serve(offer); resp.Status != http.StatusTooManyRequests || resp.RetryAfterMs == 0 {
		t.Fatalf("offer of a job that does not fit: status %d, retry after %d ms; want status %d and a retry time",
			resp.Status, resp.RetryAfterMs, http.StatusTooManyRequests)
	}
	if status := term.Serve(&messages.JobCallRequest{Method: http.MethodDelete, Host: "h", Path: "/b/", Job: "a"}).Status; status != http.StatusOK {
		t.Fatalf("end of the first job: status %d, want %d", status, http.StatusOK)
	}
	term.lock.Lock()
	defer term.lock.Unlock()
	if term.jobs.InputBytes() != 0 || term.exceedsMemoryLimitLocked(int(2*limit)) {
		t.Errorf("%d input bytes still in use after the only job ended, or the next job does not fit; want 0 bytes",
			term.jobs.InputBytes())
	}
}
