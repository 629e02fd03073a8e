package register_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/messages"
)

// Orders that retire stores come through several controllers, each with its own view of
// who is alive, among changes of the store set by the holder: as long as the views name
// only machines that are alive, enough of them that are not retired remain, whatever
// the order of the changes, and a retired machine is never brought into the set.
func TestRetirementsLeaveEnoughStores(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		names := []string{"a", "b", "c", "d", "e", "f"}
		least := rapid.IntRange(1, 5).Draw(rt, "least")
		lease := messages.Leadership{Holder: "a", Epoch: 1}
		value := messages.RegisterValue{Leadership: lease}
		take := func(change register.Change) {
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
				take(register.SetStores(lease, uint64(order+1), stores, &done))
				for _, store := range value.Stores {
					old := slices.ContainsFunc(before.Stores, func(member messages.Member) bool { return member.Name == store.Name })
					if !old && slices.Contains(before.Retired, store.Name) {
						rt.Fatalf("%s was brought in while it is retired", store.Name)
					}
				}
				continue
			}
			var result register.Result
			serving := rapid.SliceOfDistinct(rapid.SampledFrom(names), rapid.ID[string]).Draw(rt, "serving")
			name := rapid.SampledFrom(names).Draw(rt, "name")
			before := value
			take(register.RetireStore(name, serving, least, &result))
			remain := 0
			for _, other := range names {
				if !slices.Contains(value.Retired, other) {
					remain++
				}
			}
			if len(value.Retired) > 0 && remain < least {
				rt.Fatalf("%d remain of at least %d: %d after %v", remain, least, result, before.Retired)
			}
			if slices.Contains(before.Retired, name) != (result == register.ResultAlreadyApplied) {
				rt.Fatalf("%s: %d, retired before: %v", name, result, before.Retired)
			}
		}
	})
}
