package explore

import (
	"testing"

	"pgregory.net/rapid"
)

// Whatever is late, lost, doubled or out of order, and whoever restarts, at most one
// hold stands, by steady clocks that run up to a tenth too slow or too fast.
func TestOneHoldStands(test *testing.T) {
	taken := 0
	rapid.Check(test, func(random *rapid.T) {
		for range leaseHistories {
			taken += playLease(random)
		}
	})
	test.Logf("the duty was taken %d times", taken)
}

// playLease plays one history and tells how often the duty was taken in it.
func playLease(random *rapid.T) int {
	one := newLeaseWorld(random)
	random.Repeat(map[string]func(*rapid.T){
		"":         one.check,
		"advance":  one.advance,
		"ask":      one.ask,
		"exchange": one.exchange, "exchange 2": one.exchange, "exchange 3": one.exchange,
		"deliver": one.deliver, "deliver 2": one.deliver,
		"give up": one.giveUp, "give up 2": one.giveUp,
		"restart": one.restart,
		"read": func(random *rapid.T) {
			one.nodes[drawNode(random)].read = one.duty
		},
		"catch up": func(random *rapid.T) {
			one.nodes[drawNode(random)].view = one.duty
		},
	})
	return one.takeover
}
