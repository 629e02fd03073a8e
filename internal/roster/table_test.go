package roster

import (
	"fmt"
	"math/rand"
	"testing"

	"lemonarch/internal/almanac"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

func TestPlainBeatsChangeNothing(test *testing.T) {
	roster := New(beat)
	if !roster.Beat(worker(1, pattern.PhaseSteady), 0) {
		test.Fatal("a new worker is a change")
	}
	was := roster.Digest(1)
	for count := int64(2); count < 50; count++ {
		if roster.Beat(worker(count, pattern.PhaseSteady), watch.Moment(count*beat)) {
			test.Fatal("a plain beat is told")
		}
	}
	if roster.Digest(1) != was || len(roster.Since(was.Clock, 0)) != 0 {
		test.Fatal("a plain beat moved the table")
	}
	if !roster.Beat(worker(50, pattern.PhaseDraining), 50*beat) || roster.Digest(1) == was {
		test.Fatal("a drain is no change")
	}
	if roster.Beat(worker(49, pattern.PhaseSteady), 50*beat) || roster.Beat(worker(51, pattern.PhaseSteady), 51*beat) {
		test.Fatal("a drain was taken back")
	}
	if got := roster.BeatenSince(50 * beat); len(got) != 1 || got[0] != MarkOf("w") {
		test.Fatal(got)
	}
}

// Whatever the order in which entries come, and however often, tables end alike.
func TestTablesJoin(test *testing.T) {
	for seed := int64(0); seed < 200; seed++ {
		random := rand.New(rand.NewSource(seed))
		var entries []pattern.Worker
		for place := 0; place < 12; place++ {
			one := worker(random.Int63n(5)+1, pattern.Phase(random.Intn(3)))
			one.ID = fmt.Sprint("w", random.Intn(3))
			one.Capacity = int(one.Count)
			if one.Phase == pattern.PhaseGone && random.Intn(2) == 0 {
				one.Backend, one.Address, one.Capacity = "", "", 0
			}
			entries = append(entries, one)
		}
		left, right := New(beat), New(beat)
		for _, one := range entries {
			left.Merge(one, 0)
		}
		random.Shuffle(len(entries), func(one, other int) { entries[one], entries[other] = entries[other], entries[one] })
		for _, one := range append(entries, entries...) {
			right.Merge(one, 0)
		}
		if left.Digest(0).Sum != right.Digest(0).Sum {
			test.Fatalf("seed %d: %v %v", seed, left.All(0), right.All(0))
		}
	}
}

// A forge that hears foremen but no beats takes nobody for silent whom they don't name.
func TestSilenceIsToldByForemen(test *testing.T) {
	roster := New(beat)
	other := worker(1, pattern.PhaseSteady)
	other.ID = "x"
	roster.Merge(worker(1, pattern.PhaseSteady), 0)
	roster.Merge(other, 0)
	now := watch.Moment(0)
	silent := []pattern.Overdue{}
	for round := int64(1); round <= 60; round++ {
		now = watch.Moment(round * beat)
		silent = silent[:0]
		if round > almanac.BeatsMissed {
			silent = append(silent, pattern.Overdue{Mark: MarkOf("x"), AgeMs: (now / 1_000_000).Since(0).Nanoseconds()})
		}
		roster.Judged(silent, now)
		if roster.Standing("w", now, true) != StandingGood {
			test.Fatalf("round %d: a worker that beats is doubted", round)
		}
		want := StandingGood
		switch {
		case round > almanac.BeatsGone:
			want = StandingOut
		case round > almanac.BeatsMissed:
			want = StandingSuspect
		}
		if got := roster.Standing("x", now, true); got != want {
			test.Fatalf("round %d: %v", round, got)
		}
	}
	// It comes back: the next list does not name it.
	roster.Judged(nil, now)
	if roster.Standing("x", now, true) != StandingGood {
		test.Fatal("still silent")
	}
	// Deaf for long: nothing is forgotten but what was known to be silent.
	roster.Forget(now.Plus(3 * almanac.ForgetAfter))
	if len(roster.All(now)) != 2 {
		test.Fatal("own deafness made workers go")
	}
}

func TestForgottenEntriesDoNotComeBack(test *testing.T) {
	roster := New(beat)
	gone := worker(3, pattern.PhaseGone)
	roster.Merge(gone, 0)
	sum := New(beat).Digest(0).Sum
	roster.Forget(watch.Moment(0).Plus(almanac.ForgetAfter + 1))
	if roster.Digest(0).Sum != sum {
		test.Fatal("the sum keeps what was forgotten")
	}
	gone.AgeMs = almanac.ForgetAfter.Milliseconds() + 1
	if roster.Merge(gone, 0) {
		test.Fatal("taken back from one that has not forgotten yet")
	}
}
