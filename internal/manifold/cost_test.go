package manifold_test

import (
	"fmt"
	"math"
	"testing"

	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/model"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

// cost is what one process of a role sends in a second of calm.
type cost struct {
	messages, bytes, far float64
}

// idle runs a calm fleet whose workers beat, and gives the cost by role.
func idle(seed int64, forges, lockers, workers int) map[string]cost {
	one := newFleet(seed, 4, 2, lockers, forges)
	count := int64(0)
	var beatAll func()
	beatAll = func() {
		one.After(beat, beatAll)
		count++
		for place := 0; place < workers; place++ {
			taker, id, number := one.foremen()[one.Random.Intn(8)], fmt.Sprintf("i-%08x", place*7919), count
			one.After(watch.Span(one.Random.Int63n(beat)), func() {
				if taker.roster.Beat(steady(id, number, pattern.PhaseSteady), one.Now) {
					worker, _ := taker.roster.Get(id)
					taker.spread(&pattern.Relay{Workers: []pattern.Worker{worker}}, almanac.TreeTime, func() {})
				}
			})
		}
	}
	beatAll()
	one.Run(watch.Moment(0).Plus(8 * almanac.ShufflePeriod))
	const seconds = 10
	for _, here := range one.nodes {
		here.messages, here.bytes, here.far = 0, 0, 0
	}
	one.Run(one.Now.Plus(seconds * almanac.ShufflePeriod))
	sums, heads := map[string]cost{}, map[string]float64{}
	for _, here := range one.nodes {
		sum := sums[here.own.Role]
		sum.messages += float64(here.messages) / seconds
		sum.bytes += float64(here.bytes) / seconds
		sum.far += float64(here.far) / seconds
		sums[here.own.Role] = sum
		heads[here.own.Role]++
	}
	for role, sum := range sums {
		sums[role] = cost{sum.messages / heads[role], sum.bytes / heads[role], sum.far / heads[role]}
	}
	return sums
}

// The word on membership and workers costs a forge or a locker no more than a
// logarithm when the fleet grows from 24 to 392 processes with workers in proportion. A
// foreman's grows with the processes and workers that report to it, by a few bytes each.
func TestCostANodeIsFlat(test *testing.T) {
	sizes := []struct{ forges, lockers, workers int }{{3, 1, 18}, {19, 4, 75}, {80, 16, 300}}
	costs := []map[string]cost{}
	for _, size := range sizes {
		found := idle(1, size.forges, size.lockers, size.workers)
		costs = append(costs, found)
		for _, role := range model.Keys(found) {
			one := found[role]
			test.Logf("processes %d, workers %d: a %s sends %.1f messages, %.0f bytes, %.0f of them to other halls, each second",
				4*(2+size.forges+size.lockers), size.workers, role, one.messages, one.bytes, one.far)
		}
	}
	small, large := costs[0], costs[2]
	logarithm := math.Log2(392) / math.Log2(24)
	for _, role := range []string{bellows.RoleForge, bellows.RoleLocker} {
		if large[role].messages > 1.1*small[role].messages || large[role].far > 1.1*small[role].far+1 {
			test.Errorf("a %s: %+v grew to %+v", role, small[role], large[role])
		}
	}
	// Whose ages are asked is the bounded view: lockers know all lockers besides.
	if large[bellows.RoleForge].bytes > 1.5*logarithm*small[bellows.RoleForge].bytes {
		test.Errorf("a forge: %+v grew to %+v", small[bellows.RoleForge], large[bellows.RoleForge])
	}
	foreman := large[bellows.RoleForeman]
	if reports := 392.0 / 8; foreman.messages > 40+1.5*reports || foreman.far > 8*4*(300+392) {
		test.Errorf("a foreman: %+v", foreman)
	}
}
