package register_test

import (
	"testing"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/messages"
)

// namesOf makes a set of stores.
func namesOf(names ...string) []messages.Member {
	var stores []messages.Member
	for _, name := range names {
		stores = append(stores, messages.Member{Name: name})
	}
	return stores
}

// A leader's changes of the store set come late, twice or out of order: the set in force is
// always that of the latest which has arrived, and each sender is told the truth.
func TestLateChangeOfTheStoreSetHasNoEffect(t *testing.T) {
	lease := messages.Leadership{Holder: "a", Epoch: 4}
	full, three, other := namesOf("a", "b", "c", "d"), namesOf("a", "b", "c"), namesOf("a", "b", "e")
	value := messages.RegisterValue{Leadership: lease, Stores: full}
	for _, test := range []struct {
		name     string
		leader   messages.Leadership
		sequence uint64
		stores   []messages.Member
		done     bool
		set      []messages.Member
	}{
		{"the first change", lease, 1, three, true, three},
		{"the same once more", lease, 1, three, true, three},
		{"a later one", lease, 2, full, true, full},
		{"the first one late", lease, 1, three, false, full},
		{"another under the number that is taken", lease, 2, other, false, full},
		{"one without a number after numbered ones", lease, 0, three, false, full},
		{"one whose predecessor never arrived", lease, 4, three, true, three},
		{"that predecessor", lease, 3, other, false, three},
		{"of an earlier epoch", messages.Leadership{Holder: "a", Epoch: 3}, 9, other, false, three},
	} {
		done := false
		if next, verdict := register.SetStores(test.leader, test.sequence, test.stores, &done)(value); verdict == register.VerdictWrite {
			value = next
		}
		if done != test.done || !register.SameMembers(value.Stores, test.set) {
			t.Errorf("%s: done %v, set %v", test.name, done, value.Stores)
		}
	}
}

// A new epoch numbers its changes anew, and changes of senders that don't number them go by
// the epoch alone.
func TestEachEpochNumbersItsChangesAnew(t *testing.T) {
	value := messages.RegisterValue{Leadership: messages.Leadership{Holder: "a", Epoch: 4}, Stores: namesOf("a", "b"), StoresSequence: 7}
	elected, done := messages.Leadership{Holder: "b"}, false
	value, _ = register.Campaign(elected, 4, nil, &done)(value)
	if !done || value.StoresSequence != 0 {
		t.Fatal(done, value.StoresSequence)
	}
	for _, stores := range [][]messages.Member{namesOf("b"), namesOf("a", "b")} {
		value, _ = register.SetStores(value.Leadership, 0, stores, &done)(value)
		if !done || !register.SameMembers(value.Stores, stores) {
			t.Fatal("an unnumbered change had no effect", value.Stores)
		}
	}
}
