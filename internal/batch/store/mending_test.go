package store

import (
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// What is nearest to loss is mended first, and what can't be mended holds nothing up.
func TestOrderOfMending(t *testing.T) {
	server := soleLocker(t, simulation.NewDisk(3))
	server.startedAt = clock.Now().Add(-clock.Duration(constants.ReplaceAfter) * 2)
	server.Node.Settings.FaultBudget.Machines = 1
	member := func(name string) messages.Member {
		return messages.Member{Name: name, Address: name, Disk: name, Zone: name}
	}
	members := []messages.Member{server.member(), member("leaving"), member("gone")}
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
		out, in := server.nextChange(found.members, entries, retired, found.answering)
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
