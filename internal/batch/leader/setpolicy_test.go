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

// What is nearest to loss is repaired first, and what can't be repaired delays nothing.
func TestNextChangeRepairsNearestToLossFirst(t *testing.T) {
	process := soleStore(t, simulation.NewDisk(3))
	process.Node.StartedAt = clock.Now().Add(-constants.ReplaceAfter * 2)
	process.Node.Settings.FaultBudget.Machines = 1
	member := func(name string) messages.Member {
		return messages.Member{Name: name, Address: name, Disk: name, Zone: name}
	}
	members := []messages.Member{process.Election.Member(), member("leaving"), member("gone")}
	entry := func(name, disk string, age int64) messages.NodeInfo {
		return messages.NodeInfo{Name: name, Address: name, Disk: disk, Zone: name, AgeMs: age}
	}
	retired := map[string]bool{"leaving": true}
	long := 2 * constants.ReplaceAfter.Milliseconds()
	for _, found := range []struct {
		what      string
		members   []messages.Member
		entries   []messages.NodeInfo
		answering map[string]bool
		out, in   string
	}{
		{"empty disk first", members, []messages.NodeInfo{entry("leaving", "leaving", 0), entry("gone", "fresh", 0), entry("spare", "s", 0)}, nil, "gone", "gone"},
		{"too few before one that leaves", members[:2], []messages.NodeInfo{entry("leaving", "leaving", 0), entry("spare", "s", 0)}, nil, "", "spare"},
		{"gone before one that leaves", members, []messages.NodeInfo{entry("leaving", "leaving", 0), entry("gone", "gone", long), entry("spare", "s", 0)}, nil, "gone", "spare"},
		{"one that answers is not gone", members, []messages.NodeInfo{entry("leaving", "leaving", 0), entry("gone", "gone", long), entry("spare", "s", 0)}, map[string]bool{"gone": true}, "leaving", "spare"},
		{"nobody stands by", members, []messages.NodeInfo{entry("leaving", "leaving", 0), entry("gone", "gone", long)}, nil, "", ""},
	} {
		entries := map[string]messages.NodeInfo{}
		for _, each := range found.entries {
			entries[each.Name] = each
		}
		out, in := process.storeSet(found.members, entries, retired, found.answering).nextChange()
		name := func(member *messages.Member) string {
			if member == nil {
				return ""
			}
			return member.Name
		}
		if name(out) != found.out || name(in) != found.in {
			t.Errorf("%s: %q replaced by %q", found.what, name(out), name(in))
		}
	}
}

// Repair takes no slow or silent store for a joiner, and no member for gone that
// still answers.
func TestNextResponsiveChangeAvoidsSlowStores(t *testing.T) {
	process, network := soleStore(t, simulation.NewDisk(9)), transport.NewMemoryNetwork()
	process.Node.Transport = network.Transport("m")
	process.Node.Settings.FaultBudget.Machines = 1
	process.Node.StartedAt -= 60_000_000_000
	words := map[string]string{"s1": "slow", "s2": "usual"}
	serve := func(name string) {
		_ = network.Transport(name).Serve(func(messages.Kind, []byte) ([]byte, error) {
			return transport.Encode(&messages.StatusResponse{Rows: [][]string{{words[name], "9"}}})
		})
	}
	serve("s1")
	serve("s2")
	members := []messages.Member{process.Election.Member(), {Name: "a", Address: "a", Disk: "a"}, {Name: "gone", Address: "gone", Disk: "g"}}
	entries := func() map[string]messages.NodeInfo {
		known := map[string]messages.NodeInfo{"gone": {Name: "gone", Disk: "g", AgeMs: 60_000}, "a": {Name: "a", Disk: "a"}}
		for number := 0; number < 3; number++ {
			name := fmt.Sprint("s", number)
			known[name] = messages.NodeInfo{Name: name, Address: name, Disk: name}
		}
		return known
	}
	out, joiner := process.nextResponsiveChange(members, entries(), map[string]bool{})
	if out == nil || out.Name != "gone" || joiner == nil || joiner.Name != "s2" {
		t.Fatal(out, joiner)
	}
	words["s2"] = "slow"
	if _, joiner = process.nextResponsiveChange(members, entries(), map[string]bool{}); joiner != nil {
		t.Fatal("took a slow store: ", joiner.Name)
	}
	words["s2"] = "usual"
	serve("gone")
	if out, joiner = process.nextResponsiveChange(members, entries(), map[string]bool{}); joiner != nil {
		t.Fatal("replaced a member that answers: ", out.Name)
	}
	// One that is to be emptied goes although it answers.
	if out, joiner = process.nextResponsiveChange(members, entries(), map[string]bool{"gone": true}); joiner == nil || out.Name != "gone" {
		t.Fatal(out, joiner)
	}
}
