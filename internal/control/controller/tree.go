package controller

import (
	"strconv"
	"sync"

	"lemonarch/internal/control/broadcast"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/control/registerserver"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// delivery is an update on its way down the tree.
type delivery struct {
	startedAt clock.Instant
	lock      sync.Mutex
	tree      *broadcast.Tree
	done      chan struct{}
}

// directory gives every other process, the silent ones included, until constants.ForgetAfter
// has passed since anybody heard of it: one that is silent to us may be in touch with
// others. Who follows a generation already need not get it again.
func (c *Controller) directory(generation int64) []messages.NodeInfo {
	var found []messages.NodeInfo
	for _, entry := range c.Node.All("") {
		has := generation > 0 && entry.Generation >= generation && entry.Role != membership.RoleController
		if !has {
			found = append(found, entry)
		}
	}
	return found
}

// fanout is how many of a zone get an update directly: an update of a worker is short, a
// configuration is not.
func fanout(update *messages.RelayRequest) int {
	if update.Generation > 0 {
		return 2 * constants.BodyFanout
	}
	return 0
}

// broadcast tells all processes down the tree. It returns once all in touch have taken
// the update, or after the span; what is then under way goes on.
func (c *Controller) broadcast(update *messages.RelayRequest, timeout clock.Duration) {
	update.From, update.Sequence = membership.Key(c.Node.Self), c.sequence.Add(1)
	job, sends := broadcast.NewTree(c.Node.Self, c.directory(update.Generation), fanout(update), clock.Now())
	if update.Generation > 0 {
		c.addToBacklog(update, job.Unconfirmed(sends), constants.BacklogForwardedDelay)
	}
	transfer := c.deliver(update, job, sends)
	timer := clock.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-transfer.done:
	case <-timer.C:
		c.Node.Log.Debug("update not taken by all in time", "missing", len(transfer.missing()))
	}
}

func (t *delivery) missing() []uint32 {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.tree.Missing()
}

// deliver makes the calls that a job asks for, until it is done or too late.
func (c *Controller) deliver(update *messages.RelayRequest, job *broadcast.Tree, sends []broadcast.Send) *delivery {
	t := &delivery{startedAt: clock.Now(), tree: job, done: make(chan struct{})}
	var ended sync.Once
	var follow func(sends []broadcast.Send)
	call := func(send broadcast.Send) {
		missing, err := c.send(update, send)
		t.lock.Lock()
		var next []broadcast.Send
		if err != nil {
			next = job.HandleFailure(send, clock.Now())
			if entry := job.Receiver(send); send.Step == broadcast.StepDeliver && entry.Address != "" {
				c.addToBacklog(update, []messages.NodeInfo{entry}, constants.BacklogBackoff)
			}
		} else {
			next = job.HandleResponse(send, missing, clock.Now())
		}
		t.lock.Unlock()
		follow(next)
	}
	follow = func(sends []broadcast.Send) {
		for _, send := range sends {
			go call(send)
		}
		t.lock.Lock()
		done := job.Done()
		t.lock.Unlock()
		if done {
			ended.Do(func() { close(t.done) })
		}
	}
	follow(sends)
	go func() {
		for clock.Now().Sub(t.startedAt) < constants.BulkCallTimeout {
			select {
			case <-t.done:
				return
			case <-clock.After(constants.RelayTimeout / 4):
			}
			t.lock.Lock()
			next := job.Tick(clock.Now())
			t.lock.Unlock()
			follow(next)
		}
	}()
	return t
}

// send makes one call of a job.
func (c *Controller) send(update *messages.RelayRequest, send broadcast.Send) ([]uint32, error) {
	wire := c.Node.Transport
	switch send.Step {
	case broadcast.StepRelay:
		part := *update
		part.Expect = send.Expect
		return nil, transport.Call(wire, send.Address, messages.KindRelay, &part, &messages.Ack{}, constants.CallTimeout)
	case broadcast.StepWait:
		resp := &messages.RelayWaitResponse{}
		err := transport.Call(wire, send.Address, messages.KindRelayWait, &messages.RelayWaitRequest{From: update.From, Sequence: update.Sequence}, resp, constants.CallTimeout)
		if err == nil && !resp.Known {
			err = registerserver.ErrDisk.New("relay forgot")
		}
		return resp.Missing, err
	}
	if update.Generation > 0 {
		push := &messages.ConfigPush{Generation: update.Generation, Body: update.Body, ForwardTo: send.Pass}
		return nil, transport.Call(wire, send.Address, messages.KindConfigPush, push, &messages.Ack{}, constants.CallTimeout)
	}
	push := &messages.WorkersUpdate{From: membership.Key(c.Node.Self), Workers: update.Workers}
	return nil, transport.Call(wire, send.Address, messages.KindWorkersUpdate, push, &messages.Ack{}, constants.CallTimeout)
}

func relayKey(from string, number uint64) string { return from + "#" + strconv.FormatUint(number, 10) }

// handleRelay takes an update for this zone and begins to tell it.
func (c *Controller) handleRelay(update *messages.RelayRequest) (transport.Marshaler, error) {
	c.mergeWorkers(update.Workers)
	if update.Generation > c.Node.Generation() {
		c.Node.ApplyConfig(update.Body)
	}
	expect := update.Expect[:0:0]
	has := map[uint32]bool{}
	for _, entry := range c.directory(0) {
		has[membership.Hash(entry)] = update.Generation > 0 && entry.Generation >= update.Generation
	}
	for _, hash := range update.Expect {
		if !has[hash] {
			expect = append(expect, hash)
		}
	}
	job, sends := broadcast.NewZoneTree(c.Node.Self, c.directory(update.Generation), expect, fanout(update), clock.Now())
	transfer := c.deliver(update, job, sends)
	c.lock.Lock()
	c.deliveries[relayKey(update.From, update.Sequence)] = transfer
	c.lock.Unlock()
	return &messages.Ack{Accepted: true}, nil
}

// handleRelayWait says whom of the zone a relayed update has not reached.
func (c *Controller) handleRelayWait(req *messages.RelayWaitRequest) (transport.Marshaler, error) {
	c.lock.Lock()
	transfer := c.deliveries[relayKey(req.From, req.Sequence)]
	c.lock.Unlock()
	if transfer == nil {
		return &messages.RelayWaitResponse{}, nil
	}
	timer := clock.NewTimer(constants.ZoneBroadcastTimeout)
	defer timer.Stop()
	select {
	case <-transfer.done:
	case <-timer.C:
	}
	return &messages.RelayWaitResponse{Known: true, Missing: transfer.missing()}, nil
}
