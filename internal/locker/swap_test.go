package locker

import (
	"testing"

	"lemonarch/internal/pattern"
)

// Two that came back empty take their places at once; nobody else's place changes.
func TestSwappedSet(test *testing.T) {
	members := []pattern.Member{{Name: "a", Disk: "1"}, {Name: "b", Disk: "2"}, {Name: "c", Disk: "3"}, {Name: "d", Disk: "4"}, {Name: "e", Disk: "5"}}
	next := swapped(members, []swap{{&members[1], pattern.Member{Name: "b", Disk: "7"}}, {&members[3], pattern.Member{Name: "d", Disk: "8"}}})
	disks := map[string]string{}
	for _, member := range next {
		disks[member.Name] = member.Disk
	}
	if len(next) != 5 || disks["a"] != "1" || disks["b"] != "7" || disks["c"] != "3" || disks["d"] != "8" || disks["e"] != "5" {
		test.Fatal(next)
	}
	if added := swapped(members, []swap{{nil, pattern.Member{Name: "f"}}}); len(added) != 6 {
		test.Fatal(added)
	}
	if same := swapped(members, nil); len(same) != 5 {
		test.Fatal(same)
	}
}
