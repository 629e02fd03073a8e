package leader

import (
	"net/http"
	"testing"

	"lemonarch/internal/batch/replicalog"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// A job is refused while the disk could not hold the outputs that are still to come, and what was
// accepted before can be finished on it.
func TestJobsThatOutgrowTheDiskAreRefused(t *testing.T) {
	process := soleStore(t, simulation.NewDisk(41))
	term := startServingTerm(t, process, 1)
	process.Node.Settings.Limits.DiskMB = 1
	term.lock.Lock()
	term.items.dispatcher.MeanOutputBytes = 1e6 * constants.DiskShare / 4
	fits, outgrows := !term.exceedsDiskLimitLocked(1000, 3), term.exceedsDiskLimitLocked(1000, 4)
	term.lock.Unlock()
	if !fits || !outgrows {
		t.Fatal(fits, outgrows)
	}
	if status := term.Serve(jobCallOf("a", 2)).Status; status != http.StatusAccepted {
		t.Fatal(status)
	}
	// The two outputs of the first job are still to come.
	resp := term.Serve(jobCallOf("b", 2))
	if resp.Status != http.StatusTooManyRequests || resp.RetryAfterMs == 0 {
		t.Fatal(resp.Status, resp.RetryAfterMs)
	}
	offer := &messages.JobCallRequest{Method: messages.MethodOffer, Host: "h", Path: "/b/", Job: "c", BodyBytes: 900_000}
	if status := term.Serve(offer).Status; status != http.StatusTooManyRequests {
		t.Fatal(status)
	}
	if status := term.Serve(jobCallOf("a", 2)).Status; status != http.StatusAccepted {
		t.Fatal("a known job is refused when it comes again: ", status)
	}
	process.Node.Settings.Limits.DiskMB = 0
	if status := term.Serve(jobCallOf("b", 2)).Status; status != http.StatusAccepted {
		t.Fatal("no limit is stated, and yet: ", status)
	}
}

// The length of the file is known without waiting for its lock, also after it was opened anew.
func TestLengthOfTheLog(t *testing.T) {
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
		t.Fatal(before, grown)
	}
	again, err := replicalog.Open(disk, "d")
	if err != nil || again.Bytes() != log.Bytes() {
		t.Fatal(err, again.Bytes(), log.Bytes())
	}
}
