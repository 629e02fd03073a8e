package store

import (
	"fmt"
	"testing"

	"lemonarch/internal/batch/leader"
	"lemonarch/internal/batch/replication"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// A joiner gets what is durable from a member, and no frame of it from the
// leader; a member that came back with another disk is no source.
func TestJoinerCopiesFromAMember(t *testing.T) {
	fleet := newStoreFleet(t, 31)
	for number := 0; number < 4; number++ {
		fleet.submitAndCheck()
	}
	leaseholder := fleet.leaderStore()
	current := leaseholder.currentTerm()
	joiner := fleet.nonMember()
	appended := 0
	fleet.network.OnFrame(func(frame transport.ObservedFrame) {
		if !frame.Response && frame.Kind == messages.KindAppend && frame.To == joiner.Node.Self.Address && frame.From == leaseholder.Node.Self.Address {
			appended++
		}
	})
	done := current.CopyTo(joiner.election.Member(), 0, leader.NewCopyDeadline())
	durable := current.CommitIndex()
	extent := joiner.Log.Extent()
	last, epochRanges := extent.Last, extent.EpochRanges
	if done == 0 || last != done || appended > 0 || done > durable {
		t.Fatal(done, last, appended, durable)
	}
	fleet.checkSameRecords(joiner, done, leaseholder.Node.Settings.Budget())
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

// checkSameRecords checks that a joiner has the same records, under the same epochs, as the
// members that have them; the leader's own disk may still be behind what is durable.
func (r *storeFleet) checkSameRecords(joiner *Server, done int64, budget int) {
	inside := r.storeSetDisks()
	for index := int64(1); index <= done; index++ {
		left, _ := joiner.Log.Read(index)
		compared := 0
		for _, server := range r.servers() {
			if _, member := inside[server.Node.Self.Name]; !member {
				continue
			}
			right, err := server.Log.Read(index)
			if err != nil {
				continue
			}
			compared++
			if left == nil || fmt.Sprint(*left) != fmt.Sprint(*right) {
				r.t.Fatal(index, server.Node.Self.Name)
			}
		}
		if compared < replication.CopiesNeeded(len(inside), budget) {
			r.t.Fatal("durable with ", compared, " copies: ", index)
		}
	}
}

// outside gives a store that is no member of the store set.
func (r *storeFleet) nonMember() *Server {
	inside := r.storeSetDisks()
	for _, server := range r.servers() {
		if _, in := inside[server.Node.Self.Name]; !in {
			return server
		}
	}
	r.t.Fatal("all are members")
	return nil
}
