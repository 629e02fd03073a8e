package register_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/messages"
)

// Requests to retire stores arrive at several controllers, each with its own view of which machines
// are alive, interleaved with changes of the store set by the leader. As long as the views contain
// only live machines, enough machines that are not retired remain, in any order of the changes, and
// a retired machine is never added to the set.
func TestRetirementsLeaveEnoughStores(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		names := []string{"a", "b", "c", "d", "e", "f"}
		minimum := rapid.IntRange(1, 5).Draw(rt, "least")
		leader := messages.Leadership{Holder: "a", Epoch: 1}
		value := messages.RegisterValue{Leadership: leader}
		apply := func(change register.Change) {
			if next, verdict := change(value); verdict == register.VerdictWrite {
				value = next
			}
		}
		for order := range rapid.IntRange(1, 30).Draw(rt, "orders") {
			if rapid.Bool().Draw(rt, "set") {
				var stores []messages.Member
				for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, 6, rapid.ID[string]).Draw(rt, "stores") {
					stores = append(stores, messages.Member{Name: name})
				}
				before, done := value, false
				apply(register.SetStores(leader, uint64(order+1), stores, &done))
				for _, store := range value.Stores {
					old := slices.ContainsFunc(before.Stores, func(member messages.Member) bool { return member.Name == store.Name })
					if !old && slices.Contains(before.Retired, store.Name) {
						rt.Fatalf("%s was added although it is retired", store.Name)
					}
				}
				continue
			}
			var result register.Result
			serving := rapid.SliceOfDistinct(rapid.SampledFrom(names), rapid.ID[string]).Draw(rt, "serving")
			name := rapid.SampledFrom(names).Draw(rt, "name")
			before := value
			apply(register.RetireStore(name, serving, minimum, &result))
			remaining := 0
			for _, other := range names {
				if !slices.Contains(value.Retired, other) {
					remaining++
				}
			}
			if len(value.Retired) > 0 && remaining < minimum {
				rt.Fatalf("%d machines remain, want at least %d: result %d of retiring %s, retired before: %v", remaining, minimum, result, name, before.Retired)
			}
			if slices.Contains(before.Retired, name) != (result == register.ResultAlreadyApplied) {
				rt.Fatalf("retiring %s: result %d, want ResultAlreadyApplied only for a machine retired before: %v", name, result, before.Retired)
			}
		}
	})
}
