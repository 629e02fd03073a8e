package store

import (
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/tooling/simulation"
)

// Two that came back empty take their places at once; nobody else's place changes.
func TestSwappedSet(t *testing.T) {
	members := []messages.Member{{Name: "a", Disk: "1"}, {Name: "b", Disk: "2"}, {Name: "c", Disk: "3"}, {Name: "d", Disk: "4"}, {Name: "e", Disk: "5"}}
	next := swapped(members, []swap{{&members[1], messages.Member{Name: "b", Disk: "7"}}, {&members[3], messages.Member{Name: "d", Disk: "8"}}})
	disks := map[string]string{}
	for _, member := range next {
		disks[member.Name] = member.Disk
	}
	if len(next) != 5 || disks["a"] != "1" || disks["b"] != "7" || disks["c"] != "3" || disks["d"] != "8" || disks["e"] != "5" {
		t.Fatal(next)
	}
	if added := swapped(members, []swap{{nil, messages.Member{Name: "f"}}}); len(added) != 6 {
		t.Fatal(added)
	}
	if same := swapped(members, nil); len(same) != 5 {
		t.Fatal(same)
	}
}

// Two newcomers of one time copy from two members, and nobody from the holder or
// from a member that is far behind.
func TestNewcomersShareNoSource(t *testing.T) {
	one := rule(t, soleLocker(t, simulation.NewDisk(12)), 1)
	one.lock.Lock()
	defer one.lock.Unlock()
	done := one.press.Done()
	for _, name := range []string{"r", "s", "t"} {
		one.press.Members = append(one.press.Members, messages.Member{Name: name, Address: name, Disk: name})
	}
	one.press.Matched("r#r", done)
	one.press.Matched("s#s", done)
	first, _ := one.source(messages.Member{Name: "t", Address: "t"}, 0)
	second, _ := one.source(messages.Member{Name: "u", Address: "u"}, 1)
	if first == nil || second == nil || first.Name == second.Name {
		t.Fatal(first, second)
	}
	for place := 0; place < 4; place++ {
		if found, _ := one.source(messages.Member{Name: "r", Address: "r"}, place); found == nil || found.Name != "s" {
			t.Fatal(place, found)
		}
	}
}

// A newcomer that answers but does not get on keeps another one out of the set only for
// a while: the set is made whole by as much as can be.
func TestSlowNewcomerHoldsNobodyUp(t *testing.T) {
	one := rule(t, soleLocker(t, simulation.NewDisk(12)), 1)
	room := transport.NewRoom()
	one.server.Node.Wire = room.Transport("m")
	store, err := OpenStore(simulation.NewDisk(13), "quick")
	if err != nil {
		t.Fatal(err)
	}
	_ = room.Transport("quick").Serve(func(kind messages.Kind, body []byte) ([]byte, error) {
		question := &messages.Append{}
		if kind != messages.KindAppend || transport.Read(body, question) != nil {
			return transport.Write(&messages.Status{})
		}
		answer, problem := store.Append(question)
		if problem != nil {
			return nil, problem
		}
		return transport.Write(&answer)
	})
	_ = room.Transport("slow").Serve(func(kind messages.Kind, _ []byte) ([]byte, error) {
		if kind == messages.KindAppend {
			return nil, StoreDamaged.New("disk hangs")
		}
		return transport.Write(&messages.Status{})
	})
	begun := clock.Now()
	whole := one.ready([]swap{{nil, messages.Member{Name: "quick", Address: "quick", Disk: "quick"}}, {nil, messages.Member{Name: "slow", Address: "slow", Disk: "slow"}}})
	if len(whole) != 1 || whole[0].in.Name != "quick" || clock.Now().Since(begun) > constants.SetChange/2 {
		t.Fatal(whole, clock.Now().Since(begun))
	}
}
