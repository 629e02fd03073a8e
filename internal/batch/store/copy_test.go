package store

import (
	"fmt"
	"testing"

	"lemonarch/internal/batch/leader"
	"lemonarch/internal/batch/replication"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// A joiner copies the durable records from another member, and the leader sends it none of them.
// A member that came back with another disk rejects fetches meant for the old disk.
func TestJoinerCopiesFromAMember(t *testing.T) {
	fleet := newStoreFleet(t, 31)
	for number := 0; number < 4; number++ {
		fleet.submitAndCheck()
	}
	leading := fleet.leaderStore()
	term := leading.currentTerm()
	joiner := fleet.nonMember()
	appended := 0
	fleet.network.OnFrame(func(frame transport.ObservedFrame) {
		if !frame.Response && frame.Kind == messages.KindAppend && frame.To == joiner.Node.Self.Address && frame.From == leading.Node.Self.Address {
			appended++
		}
	})
	copied := term.CopyTo(joiner.election.Member(), 0, leader.NewCopyDeadline())
	durable := term.CommitIndex()
	extent := joiner.Log.Extent()
	last, epochRanges := extent.Last, extent.EpochRanges
	if copied == 0 || last != copied || appended > 0 || copied > durable {
		t.Fatalf("joiner copied up to %d and has records up to %d, with %d appends by the leader; want an equal index of 1 to %d and no append", copied, last, appended, durable)
	}
	fleet.checkSameRecords(joiner, copied, leading.Node.Settings.Budget())
	if len(epochRanges) == 0 {
		t.Fatal("the joiner has no epoch ranges")
	}
	body, _ := transport.Encode(&messages.FetchRequest{First: 1, Disk: "another"})
	response, err := joiner.Node.Dispatch(messages.KindFetch, body)
	resp := &messages.FetchResponse{}
	if err != nil || transport.Decode(response, resp) != nil || resp.Granted || len(resp.Records) > 0 {
		t.Fatal("a store granted a fetch for a disk that it does not have")
	}
}

// checkSameRecords checks that a joiner has the same records with the same epochs as the members
// that have them. The leader's own disk may still be behind the commit index.
func (f *storeFleet) checkSameRecords(joiner *Server, copied int64, budget int) {
	members := f.storeSetDisks()
	for index := int64(1); index <= copied; index++ {
		got, _ := joiner.Log.Read(index)
		compared := 0
		for _, server := range f.servers() {
			if _, member := members[server.Node.Self.Name]; !member {
				continue
			}
			want, err := server.Log.Read(index)
			if err != nil {
				continue
			}
			compared++
			if got == nil || fmt.Sprint(*got) != fmt.Sprint(*want) {
				f.t.Fatalf("record %d of the joiner is %+v, that of %s is %+v; want them equal", index, got, server.Node.Self.Name, want)
			}
		}
		if compared < replication.CopiesNeeded(len(members), budget) {
			f.t.Fatalf("%d members have the durable record %d, want at least %d",
				compared, index, replication.CopiesNeeded(len(members), budget))
		}
	}
}

// nonMember returns a store that is not a member of the store set.
func (f *storeFleet) nonMember() *Server {
	members := f.storeSetDisks()
	for _, server := range f.servers() {
		if _, member := members[server.Node.Self.Name]; !member {
			return server
		}
	}
	f.t.Fatal("every store is a member of the set")
	return nil
}
