package leader

import (
	"net/http"
	"testing"

	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// A job is refused while the inputs that wait take the part of memory that they may; the first is
// taken whatever its length, and room is given back by an end.
func TestJobsThatOutgrowMemoryAreRefused(t *testing.T) {
	process := soleStore(t, simulation.NewDisk(43))
	term := startServingTerm(t, process, 1)
	if status := term.Serve(jobCallOf("a", 2)).Status; status != http.StatusAccepted {
		t.Fatal(status)
	}
	term.lock.Lock()
	held := term.jobs.InputBytes()
	process.Node.Settings.Limits.MemoryMB = 1
	share := constants.JobInputShare
	limit := int64(share * (1 << 20))
	fits, outgrows := !term.exceedsMemoryLimitLocked(int(limit-held)), term.exceedsMemoryLimitLocked(int(limit-held+1))
	term.lock.Unlock()
	if held <= 0 || !fits || !outgrows {
		t.Fatal(held, fits, outgrows)
	}
	offer := &messages.JobCallRequest{Method: messages.MethodOffer, Host: "h", Path: "/b/", Job: "b", BodyBytes: int(limit)}
	if resp := term.Serve(offer); resp.Status != http.StatusTooManyRequests || resp.RetryAfterMs == 0 {
		t.Fatal(resp.Status)
	}
	if status := term.Serve(&messages.JobCallRequest{Method: http.MethodDelete, Host: "h", Path: "/b/", Job: "a"}).Status; status != http.StatusOK {
		t.Fatal(status)
	}
	term.lock.Lock()
	defer term.lock.Unlock()
	if term.jobs.InputBytes() != 0 || term.exceedsMemoryLimitLocked(int(2*limit)) {
		t.Error("nothing is held, and yet there is no room: ", term.jobs.InputBytes())
	}
}
