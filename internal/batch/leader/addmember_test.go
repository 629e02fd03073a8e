package leader

import (
	"testing"

	"lemonarch/internal/batch/replicalog"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/tooling/simulation"
)

// Two members that returned with empty disks are replaced in one change. The other members must stay.
func TestWithReplacements(t *testing.T) {
	members := []messages.Member{{Name: "a", Disk: "1"}, {Name: "b", Disk: "2"}, {Name: "c", Disk: "3"}, {Name: "d", Disk: "4"}, {Name: "e", Disk: "5"}}
	next := withReplacements(members, []replacement{{&members[1], messages.Member{Name: "b", Disk: "7"}}, {&members[3], messages.Member{Name: "d", Disk: "8"}}})
	disks := map[string]string{}
	for _, member := range next {
		disks[member.Name] = member.Disk
	}
	if len(next) != 5 || disks["a"] != "1" || disks["b"] != "7" || disks["c"] != "3" || disks["d"] != "8" || disks["e"] != "5" {
		t.Fatalf("set after two replacements is %v, want the members a to e with the disks 1, 7, 3, 8 and 5", next)
	}
	if added := withReplacements(members, []replacement{{nil, messages.Member{Name: "f"}}}); len(added) != 6 {
		t.Fatalf("set after an addition is %v, want 6 members", added)
	}
	if same := withReplacements(members, nil); len(same) != 5 {
		t.Fatalf("set after no replacement is %v, want the same 5 members", same)
	}
}

// Joiners that copy at the same time must use different sources. No joiner may copy from the leader
// or from a member that has not confirmed any record.
func TestConcurrentJoinersUseDifferentSources(t *testing.T) {
	term := startServingTerm(t, soleStore(t, simulation.NewDisk(12)), 1)
	term.lock.Lock()
	defer term.lock.Unlock()
	committed := term.records.replicator.CommitIndex()
	for _, name := range []string{"r", "s", "t"} {
		term.records.replicator.Members = append(term.records.replicator.Members, messages.Member{Name: name, Address: name, Disk: name})
	}
	term.records.replicator.UpdateMatch("r#r", committed)
	term.records.replicator.UpdateMatch("s#s", committed)
	first, _ := term.source(messages.Member{Name: "t", Address: "t"}, 0)
	second, _ := term.source(messages.Member{Name: "u", Address: "u"}, 1)
	if first == nil || second == nil || first.Name == second.Name {
		t.Fatalf("sources of two concurrent joiners are %v and %v, want two different members", first, second)
	}
	for i := 0; i < 4; i++ {
		if source, _ := term.source(messages.Member{Name: "r", Address: "r"}, i); source == nil || source.Name != "s" {
			t.Fatalf("source at offset %d is %v, want s", i, source)
		}
	}
}

// A joiner that responds but makes no progress may delay the other joiners only for a limited time.
// The joiners that are complete must then be added.
func TestSlowJoinerDoesNotBlockOthers(t *testing.T) {
	term := startServingTerm(t, soleStore(t, simulation.NewDisk(12)), 1)
	network := transport.NewMemoryNetwork()
	term.process.Node.Transport = network.Transport("m")
	log, err := replicalog.Open(simulation.NewDisk(13), "quick")
	if err != nil {
		t.Fatal(err)
	}
	_ = network.Transport("quick").Serve(func(kind messages.Kind, body []byte) ([]byte, error) {
		req := &messages.AppendRequest{}
		if kind != messages.KindAppend || transport.Decode(body, req) != nil {
			return transport.Encode(&messages.StatusResponse{})
		}
		resp, cause := log.Append(req)
		if cause != nil {
			return nil, cause
		}
		return transport.Encode(&resp)
	})
	_ = network.Transport("slow").Serve(func(kind messages.Kind, _ []byte) ([]byte, error) {
		if kind == messages.KindAppend {
			return nil, replicalog.ErrReplicaLog.New("disk hangs")
		}
		return transport.Encode(&messages.StatusResponse{})
	})
	start := clock.Now()
	complete := term.syncJoiners([]replacement{{nil, messages.Member{Name: "quick", Address: "quick", Disk: "quick"}}, {nil, messages.Member{Name: "slow", Address: "slow", Disk: "slow"}}})
	if len(complete) != 1 || complete[0].in.Name != "quick" || clock.Now().Sub(start) > constants.SetChangeTimeout/2 {
		t.Fatalf("complete joiners are %v after %v, want only quick within %v",
			complete, clock.Now().Sub(start), constants.SetChangeTimeout/2)
	}
}
