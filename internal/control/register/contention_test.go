package register_test

import (
	"testing"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// burst has every process propose at once on one base, and tells how long it took
// until all had a clear answer and how many attempts that needed.
func (f *fleet) burst(generation *int64, base int64) (clock.Span, int) {
	names := simulation.Keys(f.controllers)
	begun, before, waiting := f.world.Now, f.attempts, len(names)
	var last clock.Moment
	for _, name := range names {
		*generation++
		version := messages.Version{Generation: *generation, Base: base, Hash: name}
		var result register.Result
		f.change(name, register.Replace(version, []byte(name), &result), 1000, func(messages.Register, bool) {
			waiting--
			last = f.world.Now
		})
	}
	for waiting > 0 && f.world.Now.Since(begun) < 60*constants.RegisterTime {
		f.world.Run(f.world.Now.Plus(clock.Milliseconds(10)))
	}
	if waiting > 0 {
		f.test.Fatalf("%d of %d proposers are still without an answer", waiting, len(names))
	}
	return last.Since(begun), f.attempts - before
}

// Eight orders at once through eight processes, on disks that sync at once and on
// slow ones: none is pushed out for ever.
func TestEightAtOnceDoNotPushEachOtherOut(t *testing.T) {
	for _, slow := range []float64{0, 10, 30, 60} {
		var longest, total clock.Span
		attempts, most, bursts := 0, 0, 0
		for seed := int64(1); seed <= 20; seed++ {
			one := newFleet(t, seed, "a", "b", "c", "d", "e")
			for _, name := range []string{"f", "g", "h"} {
				one.outsider(name)
			}
			one.slow = slow
			generation := int64(0)
			for range 10 {
				span, count := one.burst(&generation, one.newest("a"))
				longest, total = max(longest, span), total+span
				attempts, most, bursts = attempts+count, max(most, count), bursts+1
			}
		}
		t.Logf("sync up to %v ms: %d bursts, mean %v, longest %v, attempts mean %.1f, most %d", slow, bursts,
			total/clock.Span(bursts), longest, float64(attempts)/float64(bursts), most)
		if longest > constants.RegisterTime {
			t.Errorf("a burst took %v, over the time of one change", longest)
		}
	}
}
