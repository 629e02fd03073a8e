package explore

import (
	"testing"

	"pgregory.net/rapid"
)

// Whatever is late, lost, doubled or out of order, and whoever restarts, at most one
// hold stands, by steady clocks that run up to a tenth too slow or too fast.
func TestOneHoldStands(t *testing.T) {
	taken := 0
	rapid.Check(t, func(rt *rapid.T) {
		for range leaseHistories {
			taken += playLease(rt)
		}
	})
	t.Logf("the duty was taken %d times", taken)
}

// playLease plays one history and tells how often the duty was taken in it.
func playLease(rt *rapid.T) int {
	one := newLeaseWorld(rt)
	rt.Repeat(map[string]func(*rapid.T){
		"":         one.check,
		"advance":  one.advance,
		"ask":      one.ask,
		"exchange": one.exchange, "exchange 2": one.exchange, "exchange 3": one.exchange,
		"deliver": one.deliver, "deliver 2": one.deliver,
		"give up": one.giveUp, "give up 2": one.giveUp,
		"restart": one.restart,
		"read": func(rt *rapid.T) {
			one.nodes[drawNode(rt)].read = one.duty
		},
		"catch up": func(rt *rapid.T) {
			one.nodes[drawNode(rt)].view = one.duty
		},
	})
	return one.takeover
}
