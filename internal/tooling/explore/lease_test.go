package explore

import (
	"testing"

	"pgregory.net/rapid"
)

// Whatever is late, lost, doubled or out of order, and whoever restarts, at most one
// hold stands, by steady clocks that run up to a tenth too slow or too fast.
func TestOneLeaseIsValid(t *testing.T) {
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
	entry := newLeaseWorld(rt)
	rt.Repeat(map[string]func(*rapid.T){
		"":         entry.check,
		"advance":  entry.advance,
		"ask":      entry.ask,
		"exchange": entry.exchange, "exchange 2": entry.exchange, "exchange 3": entry.exchange,
		"deliver": entry.deliver, "deliver 2": entry.deliver,
		"give up": entry.giveUp, "give up 2": entry.giveUp,
		"restart": entry.restart,
		"read": func(rt *rapid.T) {
			entry.nodes[drawNode(rt)].read = entry.duty
		},
		"catch up": func(rt *rapid.T) {
			entry.nodes[drawNode(rt)].view = entry.duty
		},
	})
	return entry.takeover
}
