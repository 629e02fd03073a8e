package forge

import (
	"sync"

	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/mishap"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/trestle"
	"lemonarch/internal/watch"
)

// gate passes calls on lots to the locker that holds the duty.
type gate struct {
	stand *trestle.Trestle
	lock  sync.Mutex
	duty  pattern.Duty
}

func newGate(stand *trestle.Trestle) *gate {
	one := &gate{stand: stand}
	stand.Answer(pattern.KindHolderTold, func(body []byte) ([]byte, error) {
		told := &pattern.HolderTold{}
		if failure := tongs.Read(body, told); failure != nil {
			return nil, failure
		}
		one.lock.Lock()
		if told.Duty.Epoch >= one.duty.Epoch {
			one.duty = told.Duty
		}
		one.lock.Unlock()
		return tongs.Write(&pattern.Nothing{Taken: true})
	})
	return one
}

func (one *gate) holder() string {
	one.lock.Lock()
	defer one.lock.Unlock()
	return one.duty.Address
}

// Pass asks the holder. The second result says whether the call may have had an
// effect although no answer came.
func (one *gate) Pass(call *pattern.LotCall, span watch.Span) (*pattern.LotAnswer, bool) {
	end := watch.Now().Plus(span)
	maybe := false
	asked := map[string]bool{}
	for watch.Now() < end {
		address := one.holder()
		if address == "" || asked[address] {
			address = one.another(asked)
		}
		if address == "" {
			// Everybody was asked: the duty is changing hands, so wait a little.
			watch.Sleep(almanac.HoldRenewal / 2)
			asked = map[string]bool{}
			continue
		}
		asked[address] = true
		answer := &pattern.LotAnswer{}
		// A holder that is gone must not use up the whole time.
		wait := min(end.Since(watch.Now()), almanac.CallTime+watch.Milliseconds(float64(call.HoldMs)))
		failure := tongs.Ask(one.stand.Wire, address, pattern.KindLotCall, call, answer, wait)
		if failure != nil {
			maybe = maybe || !mishap.Of(failure, tongs.Unreached)
			continue
		}
		if answer.Elsewhere {
			if answer.Holder != "" && !asked[answer.Holder] {
				one.lock.Lock()
				one.duty.Address = answer.Holder
				one.lock.Unlock()
			}
			continue
		}
		return answer, true
	}
	return nil, maybe
}

func (one *gate) another(asked map[string]bool) string {
	for _, entry := range one.stand.Live(bellows.RoleLocker) {
		if !asked[entry.Address] {
			return entry.Address
		}
	}
	return ""
}
