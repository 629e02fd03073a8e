package health

import (
	"math/rand"
	"testing"

	"lemonarch/internal/platform/clock"
)

// Silence is judged by what a service has taught, within bounds.
func TestLatencyIsObserved(t *testing.T) {
	random := rand.New(rand.NewSource(3))
	pace := &Latency{}
	least, most := clock.Milliseconds(40), clock.Milliseconds(900)
	if pace.Timeout(least, most) != most {
		t.Fatal("judged before anything was seen")
	}
	over := 0
	for count := 0; count < 1000; count++ {
		took := 30 + 20*random.Float64()
		if count > 20 && clock.Milliseconds(took) > pace.Timeout(least, most) {
			over++
		}
		pace.Observe(took)
	}
	if beyond := pace.Timeout(least, most); over > 5 || beyond > clock.Milliseconds(100) {
		t.Fatal(over, beyond)
	}
	if pace.Timeout(clock.Milliseconds(300), most) != clock.Milliseconds(300) {
		t.Fatal("the least does not hold")
	}
}

// A service that grows slow as a whole is not left by everybody: the budget runs dry,
// and the silences teach what has become usual.
func TestRetriesAfterSilenceAreBounded(t *testing.T) {
	pace := &Latency{}
	for count := 0; count < 100; count++ {
		pace.Observe(20)
	}
	least, most := clock.Milliseconds(10), clock.Milliseconds(900)
	before, left := pace.Timeout(least, most), 0
	for count := 0; count < 200; count++ {
		if limit := pace.Timeout(least, most); limit < clock.Milliseconds(400) && pace.TakeRetry(limit) {
			left++
			continue
		}
		pace.Observe(400)
	}
	if left > 60 || pace.Timeout(least, most) < 2*before {
		t.Fatal(left, before, pace.Timeout(least, most))
	}
}
