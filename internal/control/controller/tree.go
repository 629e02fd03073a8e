package controller

import (
	"strconv"
	"sync"

	"lemonarch/internal/control/broadcast"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/control/quorum"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// response is a word on its way down the tree.
type response struct {
	begun clock.Moment
	lock  sync.Mutex
	job   *broadcast.Job
	done  chan struct{}
}

// directory gives every other process, the silent ones included, until constants.ForgetAfter
// has passed since anybody heard of it: one that is silent to us may be in touch with
// others. Who follows a generation already need not get it again.
func (controller *Controller) directory(generation int64) []messages.Entry {
	var found []messages.Entry
	for _, entry := range controller.Node.All("") {
		has := generation > 0 && entry.Generation >= generation && entry.Role != membership.RoleController
		if !has {
			found = append(found, entry)
		}
	}
	return found
}

// fan is how many of a zone get a word directly: a word of a worker is short, a
// configuration is not.
func fan(word *messages.Relay) int {
	if word.Generation > 0 {
		return 2 * constants.BodyFan
	}
	return 0
}

// spread tells all processes down the tree. It returns once all in touch have taken
// the word, or after the span; what is then under way goes on.
func (controller *Controller) spread(word *messages.Relay, span clock.Span) {
	word.From, word.Number = membership.Key(controller.Node.Own), controller.number.Add(1)
	job, sends := broadcast.Fleet(controller.Node.Own, controller.directory(word.Generation), fan(word), clock.Now())
	if word.Generation > 0 {
		controller.owe(word, job.Unconfirmed(sends), constants.BacklogPassedPause)
	}
	one := controller.deliver(word, job, sends)
	timer := clock.NewTimer(span)
	defer timer.Stop()
	select {
	case <-one.done:
	case <-timer.C:
		controller.Node.Log.Debug("word not taken by all in time", "missing", len(one.missing()))
	}
}

func (one *response) missing() []uint32 {
	one.lock.Lock()
	defer one.lock.Unlock()
	return one.job.Missing()
}

// deliver makes the calls that a job asks for, until it is done or too late.
func (controller *Controller) deliver(word *messages.Relay, job *broadcast.Job, sends []broadcast.Send) *response {
	one := &response{begun: clock.Now(), job: job, done: make(chan struct{})}
	var ended sync.Once
	var follow func(sends []broadcast.Send)
	call := func(send broadcast.Send) {
		missing, err := controller.send(word, send)
		one.lock.Lock()
		var next []broadcast.Send
		if err != nil {
			next = job.Failed(send, clock.Now())
			if entry := job.Told(send); send.Step == broadcast.StepTell && entry.Address != "" {
				controller.owe(word, []messages.Entry{entry}, constants.BacklogPause)
			}
		} else {
			next = job.Took(send, missing, clock.Now())
		}
		one.lock.Unlock()
		follow(next)
	}
	follow = func(sends []broadcast.Send) {
		for _, send := range sends {
			go call(send)
		}
		one.lock.Lock()
		done := job.Done()
		one.lock.Unlock()
		if done {
			ended.Do(func() { close(one.done) })
		}
	}
	follow(sends)
	go func() {
		for clock.Now().Since(one.begun) < constants.BulkCallTime {
			select {
			case <-one.done:
				return
			case <-clock.After(constants.RelayPatience / 4):
			}
			one.lock.Lock()
			next := job.Tick(clock.Now())
			one.lock.Unlock()
			follow(next)
		}
	}()
	return one
}

// send makes one call of a job.
func (controller *Controller) send(word *messages.Relay, send broadcast.Send) ([]uint32, error) {
	wire := controller.Node.Wire
	switch send.Step {
	case broadcast.StepRelay:
		part := *word
		part.Expect = send.Expect
		return nil, transport.Ask(wire, send.Address, messages.KindRelay, &part, &messages.Nothing{}, constants.CallTime)
	case broadcast.StepWait:
		back := &messages.RelayDone{}
		err := transport.Ask(wire, send.Address, messages.KindRelayWait, &messages.RelayWait{From: word.From, Number: word.Number}, back, constants.CallTime)
		if err == nil && !back.Known {
			err = quorum.Damaged.New("relay forgot")
		}
		return back.Missing, err
	}
	if word.Generation > 0 {
		push := &messages.ConfigPush{Generation: word.Generation, Body: word.Body, Pass: send.Pass}
		return nil, transport.Ask(wire, send.Address, messages.KindConfigPush, push, &messages.Nothing{}, constants.CallTime)
	}
	push := &messages.RosterPush{From: membership.Key(controller.Node.Own), Workers: word.Workers}
	return nil, transport.Ask(wire, send.Address, messages.KindRosterPush, push, &messages.Nothing{}, constants.CallTime)
}

func relayKey(from string, number uint64) string { return from + "#" + strconv.FormatUint(number, 10) }

// relayed takes a word for this zone and begins to tell it.
func (controller *Controller) relayed(word *messages.Relay) (transport.Writable, error) {
	controller.mergeWorkers(word.Workers)
	if word.Generation > controller.Node.Generation() {
		controller.Node.Take(word.Body)
	}
	expect := word.Expect[:0:0]
	has := map[uint32]bool{}
	for _, entry := range controller.directory(0) {
		has[membership.MarkOf(entry)] = word.Generation > 0 && entry.Generation >= word.Generation
	}
	for _, mark := range word.Expect {
		if !has[mark] {
			expect = append(expect, mark)
		}
	}
	job, sends := broadcast.Zone(controller.Node.Own, controller.directory(word.Generation), expect, fan(word), clock.Now())
	one := controller.deliver(word, job, sends)
	controller.lock.Lock()
	controller.relays[relayKey(word.From, word.Number)] = one
	controller.lock.Unlock()
	return &messages.Nothing{Taken: true}, nil
}

// relayWaited says whom of the zone a relayed word has not reached.
func (controller *Controller) relayWaited(question *messages.RelayWait) (transport.Writable, error) {
	controller.lock.Lock()
	one := controller.relays[relayKey(question.From, question.Number)]
	controller.lock.Unlock()
	if one == nil {
		return &messages.RelayDone{}, nil
	}
	timer := clock.NewTimer(constants.ZoneTime)
	defer timer.Stop()
	select {
	case <-one.done:
	case <-timer.C:
	}
	return &messages.RelayDone{Known: true, Missing: one.missing()}, nil
}
