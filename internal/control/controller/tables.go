package controller

import (
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// peer is what this controller remembers of another one: how far its tables were read,
// and when it was last told who has beaten here.
type peer struct {
	workerList, processes messages.Digest
	told                  clock.Moment
}

// registerTables registers what concerns the tables of workers and processes.
func (c *Controller) registerTables() {
	runtime := c.Node
	runtime.Answer(messages.KindRosterPush, answer(func(question *messages.RosterPush) (transport.Writable, error) {
		c.mergeWorkers(question.Workers)
		runtime.Touched(question.From)
		return &messages.Nothing{Taken: true}, nil
	}))
	runtime.Answer(messages.KindRosterPull, answer(func(question *messages.RosterPull) (transport.Writable, error) {
		if c.learning() {
			// What the file says may be older than a drain that was acknowledged.
			return nil, Detached.New("workers not known yet")
		}
		c.lock.Lock()
		defer c.lock.Unlock()
		return &messages.RosterPush{From: membership.Key(runtime.Own), Workers: c.registry.Since(question.Since, clock.Now()),
			Table: c.registry.Digest(runtime.Own.Life)}, nil
	}))
	runtime.Answer(messages.KindDirectoryPull, answer(func(question *messages.DirectoryPull) (transport.Writable, error) {
		back := &messages.Shuffle{}
		runtime.Viewed(func(view *membership.View) {
			back.Entries, back.Table = view.Since(question.Since, clock.Now()), view.Digest()
		})
		return back, nil
	}))
	runtime.Answer(messages.KindControllerBeat, answer(func(question *messages.ControllerBeat) (transport.Writable, error) {
		// What is told here is chosen before it counts as told.
		now := clock.Now()
		back := c.beatFor(membership.Key(question.From))
		go c.heardBeat(question, now)
		return back, nil
	}))
	runtime.Answer(messages.KindRelay, answer(c.relayed))
	runtime.Answer(messages.KindRelayWait, answer(c.relayWaited))
	runtime.OnAnswer(c.addWorkers)
}

func (c *Controller) mergeWorkers(workerList []messages.Worker) {
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, worker := range workerList {
		if c.registry.Merge(worker, clock.Now()) {
			c.memory.remember(worker)
		}
	}
}

// learning tells whether this process has started and has not heard a majority of the
// acceptors on the workers yet: till then it takes no calls of workers, who go to the
// next, and vouches for none.
func (c *Controller) learning() bool { return !c.vouching.Load() }

// addWorkers completes the answer to a process's report: a digest of the table of
// workers, and who is silent. A controller that is not in contact with a majority, or
// has just started, says that and nothing else.
func (c *Controller) addWorkers(answer *messages.Shuffle) {
	if !c.attached() {
		*answer = messages.Shuffle{Entries: answer.Entries[:1], Detached: true}
		return
	}
	if c.learning() {
		// It knows too few yet to say how many there are, or who is silent.
		answer.Counts = nil
		return
	}
	plan := c.planTold().Revision
	c.lock.Lock()
	defer c.lock.Unlock()
	answer.Workers, answer.Plan = c.registry.Digest(c.Node.Own.Life), plan
	answer.Judging, answer.Overdue = true, c.registry.Overdue(clock.Now())
}

// beatFor is what another controller is told: digests, and who was heard here directly.
func (c *Controller) beatFor(key string) *messages.ControllerBeat {
	c.lock.Lock()
	since := clock.Moment(0)
	if one := c.peers[key]; one != nil {
		since = one.told
	}
	beat := &messages.ControllerBeat{Workers: c.registry.Digest(c.Node.Own.Life), Beaten: c.registry.BeatenSince(since)}
	beat.Plan = c.planTold().Revision
	c.lock.Unlock()
	c.Node.Viewed(func(view *membership.View) {
		beat.From, beat.Processes, beat.Follow = view.Own(), view.Digest(), view.Own().Generation
		beat.Met, beat.Behind = view.MetSince(since)
	})
	return beat
}

// beatOthers exchanges a beat with every other controller: there are few. Of two, the one
// with the lesser name begins, unless it has been silent for long.
func (c *Controller) beatOthers() {
	runtime, now := c.Node, clock.Now()
	c.lock.Lock()
	c.registry.Forget(now.Plus(-constants.ForgetAfter))
	c.binding.trim(func(id string) bool {
		_, known := c.registry.Get(id)
		return known
	})
	for key, one := range c.relays {
		if now.Since(one.begun) > constants.BulkCallTime {
			delete(c.relays, key)
		}
	}
	c.lock.Unlock()
	addresses := map[string]string{}
	for _, address := range runtime.Settings.SeedAddresses(constants.PortController) {
		addresses[address] = ""
	}
	for _, entry := range runtime.All(membership.RoleController) {
		key := membership.Key(entry)
		if key < membership.Key(runtime.Own) && entry.AgeMs < 2*constants.RosterPeriod.Milliseconds() {
			delete(addresses, entry.Address)
			continue
		}
		addresses[entry.Address] = key
	}
	delete(addresses, runtime.Own.Address)
	for address, key := range addresses {
		go func() {
			back := &messages.ControllerBeat{}
			if transport.Ask(runtime.Wire, address, messages.KindControllerBeat, c.beatFor(key), back, constants.CallTime) == nil {
				c.heardBeat(back, now)
			}
		}()
	}
}

// heardBeat takes another controller's beat, and pulls what its tables have beyond ours.
// told is when that controller was given our own beat.
func (c *Controller) heardBeat(beat *messages.ControllerBeat, told clock.Moment) {
	runtime, now, key := c.Node, clock.Now(), membership.Key(beat.From)
	runtime.Hear([]messages.Entry{beat.From})
	go c.sawPlan(beat.Plan, beat.From.Address)
	c.lock.Lock()
	one := c.peers[key]
	if one == nil {
		one = &peer{}
		c.peers[key] = one
	}
	one.told = told
	c.registry.Vouched(beat.Beaten, now)
	workerList := c.registry.Digest(runtime.Own.Life)
	sinceWorkers, askWorkers := behind(&one.workerList, beat.Workers, workerList)
	c.lock.Unlock()
	var processes messages.Digest
	runtime.Viewed(func(view *membership.View) {
		view.Vouched(beat, now)
		processes = view.Digest()
	})
	c.lock.Lock()
	sinceProcesses, askProcesses := behind(&one.processes, beat.Processes, processes)
	c.lock.Unlock()
	if askWorkers {
		back := &messages.RosterPush{}
		if transport.Ask(runtime.Wire, beat.From.Address, messages.KindRosterPull, &messages.RosterPull{Since: sinceWorkers}, back, constants.CallTime) == nil {
			c.mergeWorkers(back.Workers)
			c.lock.Lock()
			one.workerList = back.Table
			c.lock.Unlock()
		}
	}
	if askProcesses {
		back := &messages.Shuffle{}
		if transport.Ask(runtime.Wire, beat.From.Address, messages.KindDirectoryPull, &messages.DirectoryPull{Since: sinceProcesses}, back, constants.CallTime) == nil {
			runtime.Hear(back.Entries)
			c.lock.Lock()
			one.processes = back.Table
			c.lock.Unlock()
		}
	}
}

// behind tells whether another's table may hold something beyond ours, and from which
// clock on to ask. read is how far that table was read.
func behind(read *messages.Digest, told, own messages.Digest) (since uint64, ask bool) {
	if told.Sum == own.Sum {
		*read = told
		return 0, false
	}
	if read.Life != told.Life {
		return 0, true
	}
	return read.Clock, told.Clock > read.Clock
}
