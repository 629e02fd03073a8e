package store

import (
	"fmt"
	"testing"

	"lemonarch/internal/batch/replication"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/tooling/simulation"
)

// A newcomer gets what is durable from a member, and no frame of it from the
// holder; a member that came back with another disk is no source.
func TestNewcomerCopiesFromAMember(t *testing.T) {
	fleet := newRimFleet(t, 31)
	for number := 0; number < 4; number++ {
		fleet.work()
	}
	holder := fleet.holder()
	current := holder.current()
	joiner := fleet.outside()
	appended := 0
	fleet.room.OnFrame(func(frame transport.ObservedFrame) {
		if !frame.Response && frame.Kind == messages.KindAppend && frame.To == joiner.Node.Self.Address && frame.From == holder.Node.Self.Address {
			appended++
		}
	})
	done := current.copyTo(joiner.member(), 0, newCopyDeadline())
	current.lock.Lock()
	durable := current.replicator.CommitIndex()
	current.lock.Unlock()
	extent := joiner.Log.Extent()
	last, epochRanges := extent.Last, extent.EpochRanges
	if done == 0 || last != done || appended > 0 || done > durable {
		t.Fatal(done, last, appended, durable)
	}
	// The same records, under the same epochs, as those of the members that have them;
	// the holder's own disk may be one that is still behind what is durable.
	inside := fleet.records()
	for index := int64(1); index <= done; index++ {
		left, _ := joiner.Log.Read(index)
		compared := 0
		for _, server := range fleet.all() {
			if _, member := inside[server.Node.Self.Name]; !member {
				continue
			}
			right, err := server.Log.Read(index)
			if err != nil {
				continue
			}
			compared++
			if left == nil || fmt.Sprint(*left) != fmt.Sprint(*right) {
				t.Fatal(index, server.Node.Self.Name)
			}
		}
		if compared < replication.CopiesNeeded(len(inside), holder.budget()) {
			t.Fatal("durable with ", compared, " copies: ", index)
		}
	}
	if len(epochRanges) == 0 {
		t.Fatal("no epochs")
	}
	body, _ := transport.Encode(&messages.FetchRequest{First: 1, Disk: "another"})
	response, err := joiner.Node.Dispatch(messages.KindFetch, body)
	resp := &messages.FetchResponse{}
	if err != nil || transport.Decode(response, resp) != nil || resp.Granted || len(resp.Records) > 0 {
		t.Fatal("a store answered for a disk that it has not")
	}
}

// outside gives a store that is no member of the store set.
func (r *rimFleet) outside() *Server {
	inside := r.records()
	for _, server := range r.all() {
		if _, in := inside[server.Node.Self.Name]; !in {
			return server
		}
	}
	r.test.Fatal("all are members")
	return nil
}

// An order from a member that is cut off half way leaves the newcomer with a part
// that counts, and the holder goes on from there.
func TestCopyGoesOnFromTheHolder(t *testing.T) {
	term := rule(t, soleLocker(t, simulation.NewDisk(12)), 1)
	if done := term.copyTo(messages.Member{Name: "n", Address: "nowhere", Disk: "n"}, 0, newCopyDeadline()); done != 0 {
		t.Fatal("copied without a source: ", done)
	}
	term.lock.Lock()
	term.replicator.Members = append(term.replicator.Members, messages.Member{Name: "s", Address: "s", Disk: "s"})
	term.replicator.UpdateMatch("s#s", term.replicator.CommitIndex())
	term.lock.Unlock()
	freeCapacity := transport.NewMemoryNetwork()
	term.server.Node.Transport = freeCapacity.Transport("m")
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
	durable := term.replicator.CommitIndex()
	term.lock.Unlock()
	if done := term.copyTo(messages.Member{Name: "n", Address: "n", Disk: "n"}, 0, newCopyDeadline()); done != min(1, durable) {
		t.Fatal(done, durable)
	}
}
