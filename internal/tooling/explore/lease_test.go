package explore

import (
	"testing"

	"pgregory.net/rapid"
)

// Whatever is late, lost, doubled or out of order, and whoever restarts, at most one
// hold stands, by steady clocks that run up to a tenth too slow or too fast.
func TestOneLeaseIsValid(t *testing.T) {
	acquired := 0
	rapid.Check(t, func(rt *rapid.T) {
		for range leaseHistories {
			acquired += runLeaseHistory(rt)
		}
	})
	t.Logf("the duty was taken %d times", acquired)
}

// playLease plays one history and tells how often the duty was taken in it.
func runLeaseHistory(rt *rapid.T) int {
	model := newLeaseModel(rt)
	rt.Repeat(map[string]func(*rapid.T){
		"":         model.check,
		"advance":  model.advance,
		"ask":      model.startRound,
		"exchange": model.exchange, "exchange 2": model.exchange, "exchange 3": model.exchange,
		"deliver": model.deliver, "deliver 2": model.deliver,
		"give up": model.giveUp, "give up 2": model.giveUp,
		"restart": model.restart,
		"read": func(rt *rapid.T) {
			model.nodes[drawNode(rt)].known = model.duty
		},
		"catch up": func(rt *rapid.T) {
			model.nodes[drawNode(rt)].view = model.duty
		},
	})
	return model.acquired
}
