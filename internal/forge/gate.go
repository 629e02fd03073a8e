package forge

import (
	"sync"
	"sync/atomic"

	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
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
	// changed closes when another takes the duty; shunned is when the known holder
	// last failed to answer.
	changed chan struct{}
	shunned watch.Moment
	// asks numbers the questions; once knows those that were relayed through us.
	asks atomic.Uint64
	once tongs.Once
	// now, pause and draw are the clock and the dice, so that tests can set them.
	now   func() watch.Moment
	pause func(watch.Span)
	draw  func() float64
}

func newGate(stand *trestle.Trestle) *gate {
	one := &gate{stand: stand, changed: make(chan struct{}), now: watch.Now, pause: watch.Sleep, draw: watch.Draw}
	stand.Answer(pattern.KindHolderTold, func(body []byte) ([]byte, error) {
		told := &pattern.HolderTold{}
		if failure := tongs.Read(body, told); failure != nil {
			return nil, failure
		}
		one.learn(told)
		return tongs.Write(&pattern.Nothing{Taken: true})
	})
	stand.Answer(pattern.KindLotCall, one.relayed)
	return one
}

// learn takes word of who holds the duty.
func (one *gate) learn(told *pattern.HolderTold) {
	one.lock.Lock()
	defer one.lock.Unlock()
	if told.Duty.Epoch > one.duty.Epoch && !told.Over {
		close(one.changed)
		one.changed = make(chan struct{})
	}
	if told.Duty.Epoch >= one.duty.Epoch {
		one.duty, one.shunned = told.Duty, 0
	}
}

// holder gives who is believed to hold the duty, unless it has just failed to
// answer, and what closes when that changes.
func (one *gate) holder() (string, chan struct{}) {
	one.lock.Lock()
	defer one.lock.Unlock()
	if one.shunned > 0 && one.now().Since(one.shunned) < almanac.HoldTime {
		return "", one.changed
	}
	return one.duty.Address, one.changed
}

// ask puts a call to one locker. It does not wait on for one whose duty another
// has taken since.
func (one *gate) ask(address string, call *pattern.LotCall, wait watch.Span, changed chan struct{}) (*pattern.LotAnswer, error) {
	type outcome struct {
		answer  *pattern.LotAnswer
		failure error
	}
	back := make(chan outcome, 1)
	go func() {
		answer := &pattern.LotAnswer{}
		failure := tongs.Ask(one.stand.Wire, address, pattern.KindLotCall, call, answer, wait)
		back <- outcome{answer, failure}
	}()
	select {
	case got := <-back:
		return got.answer, got.failure
	case <-changed:
		if current, _ := one.holder(); current == address {
			got := <-back
			return got.answer, got.failure
		}
		// It may still answer, and it may have taken the call: nothing is promised.
		return nil, tongs.Unanswered.New(address + " lost its duty")
	}
}

// Pass asks the holder. The second result says whether the call may have had an
// effect although no answer came.
func (one *gate) Pass(call *pattern.LotCall, span watch.Span) (*pattern.LotAnswer, bool) {
	end := one.now().Plus(span)
	given, failures, relays := promise{}, 0, map[string]bool{}
	asked := map[string]bool{}
	for one.now() < end {
		// A node that is cut off from the lockers may still reach a forge that is not.
		if failures >= almanac.RelayAfter && !call.Relayed && len(relays) < almanac.RelayAfter {
			answer, failure := one.relay(call, end, relays)
			given.heard(failure)
			if answer != nil {
				return given.tell(call, answer), true
			}
		}
		address, changed := one.holder()
		if address == "" || asked[address] {
			address = one.another(bellows.RoleLocker, asked)
		}
		if address == "" {
			// Everybody was asked: the duty is changing hands, so wait a little.
			one.pause(almanac.HoldRenewal / 2)
			asked = map[string]bool{}
			continue
		}
		asked[address] = true
		// A holder that is gone must not use up the whole time.
		left := end.Since(one.now())
		wait := min(left, almanac.CallTime+watch.Milliseconds(float64(call.HoldMs)))
		answer, failure := one.ask(address, one.question(call, left), wait, changed)
		given.heard(failure)
		if failure != nil {
			failures++
			one.lock.Lock()
			if one.duty.Address == address {
				one.shunned = one.now()
			}
			one.lock.Unlock()
			continue
		}
		if answer.Elsewhere {
			if answer.Holder != "" && !asked[answer.Holder] {
				one.lock.Lock()
				one.duty.Address, one.shunned = answer.Holder, 0
				one.lock.Unlock()
			}
			continue
		}
		return given.tell(call, answer), true
	}
	return nil, given.unclear
}

// relay has another forge pass the call on. No answer and no failure mean that the
// other could not either, and that nothing was taken.
func (one *gate) relay(call *pattern.LotCall, end watch.Moment, tried map[string]bool) (*pattern.LotAnswer, error) {
	address := one.another(bellows.RoleForge, tried)
	if address == "" {
		return nil, nil
	}
	tried[address] = true
	left := end.Since(one.now())
	relayed := one.question(call, left)
	relayed.Relayed = true
	wait := min(left, almanac.CallTime+watch.Milliseconds(float64(call.HoldMs)))
	back := &pattern.LotAnswer{}
	if failure := tongs.Ask(one.stand.Wire, address, pattern.KindLotCall, relayed, back, wait); failure != nil {
		return nil, failure
	}
	if back.Elsewhere {
		return nil, nil
	}
	return back, nil
}

// relayed answers a call that another forge could not pass on itself.
func (one *gate) relayed(body []byte) ([]byte, error) {
	call := &pattern.LotCall{}
	if failure := tongs.Read(body, call); failure != nil {
		return nil, failure
	}
	if !one.once.First(call.Ask, one.now()) {
		// The first copy is answered, or will be; a second might end otherwise.
		return tongs.Write(unknownOutcome())
	}
	// Whatever the sender says: a call is passed on by two forges at most.
	call.Relayed = true
	// It must say what it knows before the sender stops waiting, and go on no longer
	// than the call may live.
	span := almanac.CallTime*3/4 + watch.Milliseconds(float64(call.HoldMs))
	if call.LiveMs > 0 {
		span = min(span, watch.Milliseconds(float64(call.LiveMs)))
	}
	answer, maybe := one.Pass(call, span)
	switch {
	case answer != nil:
	case maybe:
		answer = unknownOutcome()
	default:
		answer = &pattern.LotAnswer{Elsewhere: true}
	}
	return tongs.Write(answer)
}

func (one *gate) another(role string, asked map[string]bool) string {
	entries := one.stand.Live(role)
	// Not always the same one: it may be cut off as well.
	offset := int(one.draw() * float64(len(entries)))
	for place := range entries {
		entry := entries[(place+offset)%len(entries)]
		if !asked[entry.Address] {
			return entry.Address
		}
	}
	return ""
}
