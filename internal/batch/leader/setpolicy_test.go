package leader

import (
	"fmt"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/tooling/simulation"
)

// The change that prevents the most likely loss of records must come first, and a kind of change that
// does not apply must not delay the others. Without a spare store there is no change.
func TestNextChangeOrder(t *testing.T) {
	process := soleStore(t, simulation.NewDisk(3))
	process.Node.StartedAt = clock.Now().Add(-constants.ReplaceAfter * 2)
	process.Node.Settings.FaultBudget.Machines = 1
	member := func(name string) messages.Member {
		return messages.Member{Name: name, Address: name, Disk: name, Zone: name}
	}
	members := []messages.Member{process.Election.Member(), member("leaving"), member("gone")}
	node := func(name, disk string, age int64) messages.NodeInfo {
		return messages.NodeInfo{Name: name, Address: name, Disk: disk, Zone: name, AgeMs: age}
	}
	retired := map[string]bool{"leaving": true}
	long := 2 * constants.ReplaceAfter.Milliseconds()
	for _, test := range []struct {
		name       string
		members    []messages.Member
		nodes      []messages.NodeInfo
		responding map[string]bool
		out, in    string
	}{
		{"lost disk is replaced first", members, []messages.NodeInfo{node("leaving", "leaving", 0), node("gone", "fresh", 0), node("spare", "s", 0)}, nil, "gone", "gone"},
		{"set that is too small before a retired member", members[:2], []messages.NodeInfo{node("leaving", "leaving", 0), node("spare", "s", 0)}, nil, "", "spare"},
		{"departed member before a retired one", members, []messages.NodeInfo{node("leaving", "leaving", 0), node("gone", "gone", long), node("spare", "s", 0)}, nil, "gone", "spare"},
		{"member that responds has not departed", members, []messages.NodeInfo{node("leaving", "leaving", 0), node("gone", "gone", long), node("spare", "s", 0)}, map[string]bool{"gone": true}, "leaving", "spare"},
		{"no spare store", members, []messages.NodeInfo{node("leaving", "leaving", 0), node("gone", "gone", long)}, nil, "", ""},
	} {
		nodes := map[string]messages.NodeInfo{}
		for _, info := range test.nodes {
			nodes[info.Name] = info
		}
		out, in := process.storeSet(test.members, nodes, retired, test.responding).nextChange()
		name := func(member *messages.Member) string {
			if member == nil {
				return ""
			}
			return member.Name
		}
		if name(out) != test.out || name(in) != test.in {
			t.Errorf("%s: got %q replaced by %q, want %q replaced by %q", test.name, name(out), name(in), test.out, test.in)
		}
	}
}

// A slow or silent store must not be selected as a joiner, and a member that still responds must not
// be replaced as departed.
func TestNextResponsiveChangeAvoidsSlowStores(t *testing.T) {
	process, network := soleStore(t, simulation.NewDisk(9)), transport.NewMemoryNetwork()
	process.Node.Transport = network.Transport("m")
	process.Node.Settings.FaultBudget.Machines = 1
	process.Node.StartedAt -= 60_000_000_000
	states := map[string]string{"s1": "slow", "s2": "usual"}
	serve := func(name string) {
		_ = network.Transport(name).Serve(func(messages.Kind, []byte) ([]byte, error) {
			return transport.Encode(&messages.StatusResponse{Rows: [][]string{{states[name], "9"}}})
		})
	}
	serve("s1")
	serve("s2")
	members := []messages.Member{process.Election.Member(), {Name: "a", Address: "a", Disk: "a"}, {Name: "gone", Address: "gone", Disk: "g"}}
	nodes := func() map[string]messages.NodeInfo {
		known := map[string]messages.NodeInfo{"gone": {Name: "gone", Disk: "g", AgeMs: 60_000}, "a": {Name: "a", Disk: "a"}}
		for number := 0; number < 3; number++ {
			name := fmt.Sprint("s", number)
			known[name] = messages.NodeInfo{Name: name, Address: name, Disk: name}
		}
		return known
	}
	out, joiner := process.nextResponsiveChange(members, nodes(), map[string]bool{})
	if out == nil || out.Name != "gone" || joiner == nil || joiner.Name != "s2" {
		t.Fatalf("got %v replaced by %v, want gone replaced by s2, the only store that responds and is not slow", out, joiner)
	}
	states["s2"] = "slow"
	if _, joiner = process.nextResponsiveChange(members, nodes(), map[string]bool{}); joiner != nil {
		t.Fatal("slow store selected as joiner: ", joiner.Name)
	}
	states["s2"] = "usual"
	serve("gone")
	if out, joiner = process.nextResponsiveChange(members, nodes(), map[string]bool{}); joiner != nil {
		t.Fatal("member that responds was replaced: ", out.Name)
	}
	// A retired member is replaced although it responds.
	if out, joiner = process.nextResponsiveChange(members, nodes(), map[string]bool{"gone": true}); joiner == nil || out.Name != "gone" {
		t.Fatalf("got %v replaced by %v, want the retired member gone replaced", out, joiner)
	}
}
