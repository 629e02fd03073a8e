package explore

import (
	"testing"

	"pgregory.net/rapid"
)

// TestAtMostOneLeaseIsValid checks that at most one lease is valid at a time although messages are
// delayed, lost, duplicated or reordered and processes restart. The monotonic clocks run up to a tenth
// too slow or too fast.
func TestAtMostOneLeaseIsValid(t *testing.T) {
	acquired := 0
	rapid.Check(t, func(rt *rapid.T) {
		for range leaseHistories {
			acquired += runLeaseHistory(rt)
		}
	})
	t.Logf("leadership was acquired %d times", acquired)
}

// runLeaseHistory runs one random history and returns how often leadership was acquired in it.
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
			model.nodes[drawNode(rt)].known = model.leadership
		},
		"catch up": func(rt *rapid.T) {
			model.nodes[drawNode(rt)].view = model.leadership
		},
	})
	return model.acquired
}
