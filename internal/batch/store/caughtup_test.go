package store

import (
	"testing"

	"lemonarch/internal/platform/constants"
)

// A newcomer's copy ends also where records come as fast as they are copied: with a
// bound on the gap alone it went on until the time for the whole change was over,
// and a second loss met a set that was not whole yet.
func TestCopyEndsThoughRecordsKeepComing(t *testing.T) {
	for _, rate := range []float64{50, 250, 600, 1200} {
		// Seconds for what is lacking, at a speed of records a second, and a round's own time.
		const speed, trip = 2000.0, 0.05
		lacking, before, spent := int64(4000), int64(0), 0.0
		rounds := 0
		for ; !caughtUp(lacking, before); rounds++ {
			took := float64(lacking)/speed + trip
			before, lacking = lacking, int64(took*rate)
			spent += took
		}
		if rounds > 20 || spent > 10 {
			t.Fatal(rate, rounds, spent)
		}
		if rounds < 2 || lacking > 4000 {
			t.Fatal("ended too soon: ", rate, rounds, lacking)
		}
	}
	if !caughtUp(constants.CopyGap, 0) || caughtUp(constants.CopyGap+1, 0) {
		t.Fatal("the gap alone")
	}
}
