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

// transfer is an update on its way down the tree.
type transfer struct {
	begun clock.Moment
	lock  sync.Mutex
	job   *broadcast.Job
	done  chan struct{}
}

// directory gives every other process, the silent ones included, until constants.ForgetAfter
// has passed since anybody heard of it: one that is silent to us may be in touch with
// others. Who follows a generation already need not get it again.
func (c *Controller) directory(generation int64) []messages.Entry {
	var found []messages.Entry
	for _, entry := range c.Node.All("") {
		has := generation > 0 && entry.Generation >= generation && entry.Role != membership.RoleController
		if !has {
			found = append(found, entry)
		}
	}
	return found
}

// fan is how many of a zone get an update directly: an update of a worker is short, a
// configuration is not.
func fan(update *messages.Relay) int {
	if update.Generation > 0 {
		return 2 * constants.BodyFan
	}
	return 0
}

// spread tells all processes down the tree. It returns once all in touch have taken
// the update, or after the span; what is then under way goes on.
func (c *Controller) spread(update *messages.Relay, span clock.Span) {
	update.From, update.Number = membership.Key(c.Node.Own), c.number.Add(1)
	job, sends := broadcast.Fleet(c.Node.Own, c.directory(update.Generation), fan(update), clock.Now())
	if update.Generation > 0 {
		c.addToBacklog(update, job.Unconfirmed(sends), constants.BacklogPassedPause)
	}
	one := c.deliver(update, job, sends)
	timer := clock.NewTimer(span)
	defer timer.Stop()
	select {
	case <-one.done:
	case <-timer.C:
		c.Node.Log.Debug("update not taken by all in time", "missing", len(one.missing()))
	}
}

func (t *transfer) missing() []uint32 {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.job.Missing()
}

// deliver makes the calls that a job asks for, until it is done or too late.
func (c *Controller) deliver(update *messages.Relay, job *broadcast.Job, sends []broadcast.Send) *transfer {
	one := &transfer{begun: clock.Now(), job: job, done: make(chan struct{})}
	var ended sync.Once
	var follow func(sends []broadcast.Send)
	call := func(send broadcast.Send) {
		missing, err := c.send(update, send)
		one.lock.Lock()
		var next []broadcast.Send
		if err != nil {
			next = job.Failed(send, clock.Now())
			if entry := job.Told(send); send.Step == broadcast.StepTell && entry.Address != "" {
				c.addToBacklog(update, []messages.Entry{entry}, constants.BacklogPause)
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
func (c *Controller) send(update *messages.Relay, send broadcast.Send) ([]uint32, error) {
	wire := c.Node.Wire
	switch send.Step {
	case broadcast.StepRelay:
		part := *update
		part.Expect = send.Expect
		return nil, transport.Ask(wire, send.Address, messages.KindRelay, &part, &messages.Nothing{}, constants.CallTime)
	case broadcast.StepWait:
		back := &messages.RelayDone{}
		err := transport.Ask(wire, send.Address, messages.KindRelayWait, &messages.RelayWait{From: update.From, Number: update.Number}, back, constants.CallTime)
		if err == nil && !back.Known {
			err = quorum.Damaged.New("relay forgot")
		}
		return back.Missing, err
	}
	if update.Generation > 0 {
		push := &messages.ConfigPush{Generation: update.Generation, Body: update.Body, Pass: send.Pass}
		return nil, transport.Ask(wire, send.Address, messages.KindConfigPush, push, &messages.Nothing{}, constants.CallTime)
	}
	push := &messages.RosterPush{From: membership.Key(c.Node.Own), Workers: update.Workers}
	return nil, transport.Ask(wire, send.Address, messages.KindRosterPush, push, &messages.Nothing{}, constants.CallTime)
}

func relayKey(from string, number uint64) string { return from + "#" + strconv.FormatUint(number, 10) }

// relayed takes an update for this zone and begins to tell it.
func (c *Controller) relayed(update *messages.Relay) (transport.Writable, error) {
	c.mergeWorkers(update.Workers)
	if update.Generation > c.Node.Generation() {
		c.Node.Take(update.Body)
	}
	expect := update.Expect[:0:0]
	has := map[uint32]bool{}
	for _, entry := range c.directory(0) {
		has[membership.MarkOf(entry)] = update.Generation > 0 && entry.Generation >= update.Generation
	}
	for _, mark := range update.Expect {
		if !has[mark] {
			expect = append(expect, mark)
		}
	}
	job, sends := broadcast.Zone(c.Node.Own, c.directory(update.Generation), expect, fan(update), clock.Now())
	one := c.deliver(update, job, sends)
	c.lock.Lock()
	c.relays[relayKey(update.From, update.Number)] = one
	c.lock.Unlock()
	return &messages.Nothing{Taken: true}, nil
}

// relayWaited says whom of the zone a relayed update has not reached.
func (c *Controller) relayWaited(question *messages.RelayWait) (transport.Writable, error) {
	c.lock.Lock()
	one := c.relays[relayKey(question.From, question.Number)]
	c.lock.Unlock()
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
