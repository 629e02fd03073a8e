package leader

import (
	"net/http"
	"testing"

	"lemonarch/internal/batch/replicalog"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// A job must be rejected if the disk has no space for its outputs and the outstanding outputs of
// accepted jobs. Otherwise the accepted jobs could not be finished.
func TestJobsExceedingTheDiskLimitAreRejected(t *testing.T) {
	process := soleStore(t, simulation.NewDisk(41))
	term := startServingTerm(t, process, 1)
	process.Node.Settings.Limits.DiskMB = 1
	term.lock.Lock()
	term.items.dispatcher.MeanOutputBytes = 1e6 * constants.DiskShare / 4
	fits, exceeds := !term.exceedsDiskLimitLocked(1000, 3), term.exceedsDiskLimitLocked(1000, 4)
	term.lock.Unlock()
	if !fits || !exceeds {
		t.Fatalf("3 items fit: %t, 4 items exceed the limit: %t; want true for both", fits, exceeds)
	}
	if status := term.Serve(jobCallOf("a", 2)).Status; status != http.StatusAccepted {
		t.Fatalf("first job: status %d, want %d", status, http.StatusAccepted)
	}
	// The two outputs of the first job are still outstanding.
	resp := term.Serve(jobCallOf("b", 2))
	if resp.Status != http.StatusTooManyRequests || resp.RetryAfterMs == 0 {
		t.Fatalf("second job: status %d, retry after %d ms; want status %d and a retry time",
			resp.Status, resp.RetryAfterMs, http.StatusTooManyRequests)
	}
	offer := &messages.JobCallRequest{Method: messages.MethodOffer, Host: "h", Path: "/b/", Job: "c", BodyBytes: 900_000}
	if status := term.Serve(offer).Status; status != http.StatusTooManyRequests {
		t.Fatalf("offer of a job that does not fit: status %d, want %d", status, http.StatusTooManyRequests)
	}
	if status := term.Serve(jobCallOf("a", 2)).Status; status != http.StatusAccepted {
		t.Fatalf("known job submitted again: status %d, want %d", status, http.StatusAccepted)
	}
	process.Node.Settings.Limits.DiskMB = 0
	if status := term.Serve(jobCallOf("b", 2)).Status; status != http.StatusAccepted {
		t.Fatalf("job without a disk limit: status %d, want %d", status, http.StatusAccepted)
	}
}

// Bytes does not wait for the log's lock. It must include appended records, and be the same after
// reopening the log.
func TestLogSize(t *testing.T) {
	disk := simulation.NewDisk(42)
	log, err := replicalog.Open(disk, "d")
	if err != nil {
		t.Fatal(err)
	}
	before := log.Bytes()
	record := messages.Record{Index: 1, Epoch: 1, Kind: messages.RecordNoop, Body: make([]byte, 5000)}
	if _, err = log.Append(&messages.AppendRequest{Epoch: 1, Disk: "d", Records: []messages.Record{record}}); err != nil {
		t.Fatal(err)
	}
	if grown := log.Bytes(); grown < before+5000 {
		t.Fatalf("log size is %d bytes after a record of 5000 bytes was appended to %d, want at least their sum", grown, before)
	}
	reopened, err := replicalog.Open(disk, "d")
	if err != nil || reopened.Bytes() != log.Bytes() {
		t.Fatalf("reopened log: error %v, size %d bytes; want no error and %d bytes", err, reopened.Bytes(), log.Bytes())
	}
}
