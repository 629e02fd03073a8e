package leader

import (
	"testing"

	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/tooling/simulation"
)

// Copying to a joiner must end even if records arrive as fast as they are copied. With a limit on the
// gap alone, copying continued until the timeout of the whole change, and a second loss could occur
// while the set was still incomplete.
func TestCopyEndsWhileRecordsArrive(t *testing.T) {
	for _, rate := range []float64{50, 250, 600, 1200} {
		// copyRate is in records per second, roundTime the fixed time of a round in seconds.
		const copyRate, roundTime = 2000.0, 0.05
		lacking, before, spent := int64(4000), int64(0), 0.0
		rounds := 0
		for ; !caughtUp(lacking, before); rounds++ {
			took := float64(lacking)/copyRate + roundTime
			before, lacking = lacking, int64(took*rate)
			spent += took
		}
		if rounds > 20 || spent > 10 {
			t.Fatalf("copying at %v new records per second took %d rounds and %.1f s, want at most 20 rounds and 10 s",
				rate, rounds, spent)
		}
		if rounds < 2 || lacking > 4000 {
			t.Fatalf("copying at %v new records per second ended after %d rounds with %d records lacking, want at least 2 rounds and at most 4000 records",
				rate, rounds, lacking)
		}
	}
	if !caughtUp(constants.CopyGap, 0) || caughtUp(constants.CopyGap+1, 0) {
		t.Fatal("want caught up at a gap of CopyGap, and not above it")
	}
}

// The leader sends the records after those that were copied, so CopyTo must return the index up to which
// the joiner has them, and 0 without a source. The joiner grants one copy request; the only durable
// record is copied by then.
func TestCopyToReturnsLastCopiedIndex(t *testing.T) {
	term := startServingTerm(t, soleStore(t, simulation.NewDisk(12)), 1)
	if done := term.CopyTo(messages.Member{Name: "n", Address: "nowhere", Disk: "n"}, 0, NewCopyDeadline()); done != 0 {
		t.Fatalf("copied up to index %d without a source, want 0", done)
	}
	term.lock.Lock()
	term.records.replicator.Members = append(term.records.replicator.Members, messages.Member{Name: "s", Address: "s", Disk: "s"})
	term.records.replicator.UpdateMatch("s#s", term.records.replicator.CommitIndex())
	term.lock.Unlock()
	network := transport.NewMemoryNetwork()
	term.process.Node.Transport = network.Transport("m")
	first := true
	_ = network.Transport("n").Serve(func(kind messages.Kind, body []byte) ([]byte, error) {
		req := &messages.CopyRequest{}
		if kind != messages.KindCopy || transport.Decode(body, req) != nil || req.Source != "s" || req.SourceDisk != "s" {
			t.Errorf("request of kind %v is %+v, want a copy from source s with disk s", kind, req)
		}
		if !first {
			return transport.Encode(&messages.AppendResponse{})
		}
		first = false
		return transport.Encode(&messages.AppendResponse{Granted: true, Last: req.First})
	})
	term.lock.Lock()
	durable := term.records.replicator.CommitIndex()
	term.lock.Unlock()
	if done := term.CopyTo(messages.Member{Name: "n", Address: "n", Disk: "n"}, 0, NewCopyDeadline()); done != min(1, durable) {
		t.Fatalf("copied up to index %d of %d durable records, want %d", done, durable, min(1, durable))
	}
}
