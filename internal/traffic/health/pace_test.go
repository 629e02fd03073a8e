package health

import (
	"math/rand"
	"testing"

	"lemonarch/internal/platform/clock"
)

// Silence is judged by what a service has taught, within bounds.
func TestPaceLearns(t *testing.T) {
	random := rand.New(rand.NewSource(3))
	pace := &Pace{}
	least, most := clock.Milliseconds(40), clock.Milliseconds(900)
	if pace.Beyond(least, most) != most {
		t.Fatal("judged before anything was seen")
	}
	over := 0
	for count := 0; count < 1000; count++ {
		took := 30 + 20*random.Float64()
		if count > 20 && clock.Milliseconds(took) > pace.Beyond(least, most) {
			over++
		}
		pace.Learn(took)
	}
	if beyond := pace.Beyond(least, most); over > 5 || beyond > clock.Milliseconds(100) {
		t.Fatal(over, beyond)
	}
	if pace.Beyond(clock.Milliseconds(300), most) != clock.Milliseconds(300) {
		t.Fatal("the least does not hold")
	}
}

// A service that grows slow as a whole is not left by everybody: the budget runs dry,
// and the silences teach what has become usual.
func TestLeavesAreBounded(t *testing.T) {
	pace := &Pace{}
	for count := 0; count < 100; count++ {
		pace.Learn(20)
	}
	least, most := clock.Milliseconds(10), clock.Milliseconds(900)
	before, left := pace.Beyond(least, most), 0
	for count := 0; count < 200; count++ {
		if limit := pace.Beyond(least, most); limit < clock.Milliseconds(400) && pace.Spend(limit) {
			left++
			continue
		}
		pace.Learn(400)
	}
	if left > 60 || pace.Beyond(least, most) < 2*before {
		t.Fatal(left, before, pace.Beyond(least, most))
	}
}
