package register_test

import (
	"testing"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/messages"
)

// storesNamed returns a store set with the given names.
func storesNamed(names ...string) []messages.Member {
	var stores []messages.Member
	for _, name := range names {
		stores = append(stores, messages.Member{Name: name})
	}
	return stores
}

// Changes of the store set arrive late, twice or out of order: the set in force is always that of
// the highest-numbered change that has arrived, and done is correct for each sender.
func TestLateChangeOfTheStoreSetHasNoEffect(t *testing.T) {
	leader := messages.Leadership{Holder: "a", Epoch: 4}
	full, three, other := storesNamed("a", "b", "c", "d"), storesNamed("a", "b", "c"), storesNamed("a", "b", "e")
	value := messages.RegisterValue{Leadership: leader, Stores: full}
	for _, test := range []struct {
		name     string
		leader   messages.Leadership
		sequence uint64
		stores   []messages.Member
		done     bool
		set      []messages.Member
	}{
		{"the first change", leader, 1, three, true, three},
		{"the same once more", leader, 1, three, true, three},
		{"a later one", leader, 2, full, true, full},
		{"the first one late", leader, 1, three, false, full},
		{"another under the number that is taken", leader, 2, other, false, full},
		{"one without a number after numbered ones", leader, 0, three, false, full},
		{"one whose predecessor never arrived", leader, 4, three, true, three},
		{"that predecessor", leader, 3, other, false, three},
		{"of an earlier epoch", messages.Leadership{Holder: "a", Epoch: 3}, 9, other, false, three},
	} {
		done := false
		if next, verdict := register.SetStores(test.leader, test.sequence, test.stores, &done)(value); verdict == register.VerdictWrite {
			value = next
		}
		if done != test.done || !register.SameMembers(value.Stores, test.set) {
			t.Errorf("%s: done %v, want %v; set %v, want %v", test.name, done, test.done, value.Stores, test.set)
		}
	}
}

// Numbering restarts in a new epoch, and changes without a number are only checked by their epoch.
func TestEachEpochNumbersItsChangesAnew(t *testing.T) {
	value := messages.RegisterValue{Leadership: messages.Leadership{Holder: "a", Epoch: 4}, Stores: storesNamed("a", "b"), StoresSequence: 7}
	elected, done := messages.Leadership{Holder: "b"}, false
	value, _ = register.Campaign(elected, 4, nil, &done)(value)
	if !done || value.StoresSequence != 0 {
		t.Fatalf("campaign: done %v, want true; sequence %d, want 0", done, value.StoresSequence)
	}
	for _, stores := range [][]messages.Member{storesNamed("b"), storesNamed("a", "b")} {
		value, _ = register.SetStores(value.Leadership, 0, stores, &done)(value)
		if !done || !register.SameMembers(value.Stores, stores) {
			t.Fatalf("a change without a number: done %v, want true; set %v, want %v", done, value.Stores, stores)
		}
	}
}
