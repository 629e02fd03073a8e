package leader

import (
	"testing"

	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/tooling/simulation"
)

// A joiner's copy ends also where records come as fast as they are copied: with a
// bound on the gap alone it went on until the time for the whole change was over,
// and a second loss met a set that was not complete yet.
func TestCopyEndsWhileRecordsArrive(t *testing.T) {
	for _, rate := range []float64{50, 250, 600, 1200} {
		// Seconds for what is lacking, at a speed of records a second, and a round's own time.
		const speed, trip = 2000.0, 0.05
		lacking, before, spent := int64(4000), int64(0), 0.0
		rounds := 0
		for ; !caughtUp(lacking, before); rounds++ {
			took := float64(lacking)/speed + trip
			before, lacking = lacking, int64(took*rate)
			spent += took
		}
		if rounds > 20 || spent > 10 {
			t.Fatal(rate, rounds, spent)
		}
		if rounds < 2 || lacking > 4000 {
			t.Fatal("ended too soon: ", rate, rounds, lacking)
		}
	}
	if !caughtUp(constants.CopyGap, 0) || caughtUp(constants.CopyGap+1, 0) {
		t.Fatal("the gap alone")
	}
}

// An order from a member that is cut off half way leaves the joiner with a part
// that counts, and the leader goes on from there.
func TestCopyContinuesFromTheLeader(t *testing.T) {
	term := startServingTerm(t, soleStore(t, simulation.NewDisk(12)), 1)
	if done := term.CopyTo(messages.Member{Name: "n", Address: "nowhere", Disk: "n"}, 0, NewCopyDeadline()); done != 0 {
		t.Fatal("copied without a source: ", done)
	}
	term.lock.Lock()
	term.records.replicator.Members = append(term.records.replicator.Members, messages.Member{Name: "s", Address: "s", Disk: "s"})
	term.records.replicator.UpdateMatch("s#s", term.records.replicator.CommitIndex())
	term.lock.Unlock()
	freeCapacity := transport.NewMemoryNetwork()
	term.process.Node.Transport = freeCapacity.Transport("m")
	first := true
	_ = freeCapacity.Transport("n").Serve(func(kind messages.Kind, body []byte) ([]byte, error) {
		req := &messages.CopyRequest{}
		if kind != messages.KindCopy || transport.Decode(body, req) != nil || req.Source != "s" || req.SourceDisk != "s" {
			t.Error(kind, req)
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
		t.Fatal(done, durable)
	}
}
