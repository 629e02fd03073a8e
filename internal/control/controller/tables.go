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
func (controller *Controller) registerTables() {
	runtime := controller.Node
	runtime.Answer(messages.KindRosterPush, answer(func(question *messages.RosterPush) (transport.Writable, error) {
		controller.mergeWorkers(question.Workers)
		runtime.Touched(question.From)
		return &messages.Nothing{Taken: true}, nil
	}))
	runtime.Answer(messages.KindRosterPull, answer(func(question *messages.RosterPull) (transport.Writable, error) {
		if controller.learning() {
			// What the file says may be older than a drain that was acknowledged.
			return nil, Detached.New("workers not known yet")
		}
		controller.lock.Lock()
		defer controller.lock.Unlock()
		return &messages.RosterPush{From: membership.Key(runtime.Own), Workers: controller.registry.Since(question.Since, clock.Now()),
			Table: controller.registry.Digest(runtime.Own.Life)}, nil
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
		back := controller.beatFor(membership.Key(question.From))
		go controller.heardBeat(question, now)
		return back, nil
	}))
	runtime.Answer(messages.KindRelay, answer(controller.relayed))
	runtime.Answer(messages.KindRelayWait, answer(controller.relayWaited))
	runtime.OnAnswer(controller.addWorkers)
}

func (controller *Controller) mergeWorkers(workerList []messages.Worker) {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	for _, worker := range workerList {
		if controller.registry.Merge(worker, clock.Now()) {
			controller.memory.remember(worker)
		}
	}
}

// learning tells whether this process has started and has not heard a majority of the
// acceptors on the workers yet: till then it takes no calls of workers, who go to the
// next, and vouches for none.
func (controller *Controller) learning() bool { return !controller.vouching.Load() }

// addWorkers completes the answer to a process's report: a digest of the table of
// workers, and who is silent. A controller that is not in contact with a majority, or
// has just started, says that and nothing else.
func (controller *Controller) addWorkers(answer *messages.Shuffle) {
	if !controller.attached() {
		*answer = messages.Shuffle{Entries: answer.Entries[:1], Detached: true}
		return
	}
	if controller.learning() {
		// It knows too few yet to say how many there are, or who is silent.
		answer.Counts = nil
		return
	}
	plan := controller.planTold().Revision
	controller.lock.Lock()
	defer controller.lock.Unlock()
	answer.Workers, answer.Plan = controller.registry.Digest(controller.Node.Own.Life), plan
	answer.Judging, answer.Overdue = true, controller.registry.Overdue(clock.Now())
}

// beatFor is what another controller is told: digests, and who was heard here directly.
func (controller *Controller) beatFor(key string) *messages.ControllerBeat {
	controller.lock.Lock()
	since := clock.Moment(0)
	if one := controller.peers[key]; one != nil {
		since = one.told
	}
	beat := &messages.ControllerBeat{Workers: controller.registry.Digest(controller.Node.Own.Life), Beaten: controller.registry.BeatenSince(since)}
	beat.Plan = controller.planTold().Revision
	controller.lock.Unlock()
	controller.Node.Viewed(func(view *membership.View) {
		beat.From, beat.Processes, beat.Follow = view.Own(), view.Digest(), view.Own().Generation
		beat.Met, beat.Behind = view.MetSince(since)
	})
	return beat
}

// beatOthers exchanges a beat with every other controller: there are few. Of two, the one
// with the lesser name begins, unless it has been silent for long.
func (controller *Controller) beatOthers() {
	runtime, now := controller.Node, clock.Now()
	controller.lock.Lock()
	controller.registry.Forget(now.Plus(-constants.ForgetAfter))
	controller.binding.trim(func(id string) bool {
		_, known := controller.registry.Get(id)
		return known
	})
	for key, one := range controller.relays {
		if now.Since(one.begun) > constants.BulkCallTime {
			delete(controller.relays, key)
		}
	}
	controller.lock.Unlock()
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
			if transport.Ask(runtime.Wire, address, messages.KindControllerBeat, controller.beatFor(key), back, constants.CallTime) == nil {
				controller.heardBeat(back, now)
			}
		}()
	}
}

// heardBeat takes another controller's beat, and pulls what its tables have beyond ours.
// told is when that controller was given our own beat.
func (controller *Controller) heardBeat(beat *messages.ControllerBeat, told clock.Moment) {
	runtime, now, key := controller.Node, clock.Now(), membership.Key(beat.From)
	runtime.Hear([]messages.Entry{beat.From})
	go controller.sawPlan(beat.Plan, beat.From.Address)
	controller.lock.Lock()
	one := controller.peers[key]
	if one == nil {
		one = &peer{}
		controller.peers[key] = one
	}
	one.told = told
	controller.registry.Vouched(beat.Beaten, now)
	workerList := controller.registry.Digest(runtime.Own.Life)
	sinceWorkers, askWorkers := behind(&one.workerList, beat.Workers, workerList)
	controller.lock.Unlock()
	var processes messages.Digest
	runtime.Viewed(func(view *membership.View) {
		view.Vouched(beat, now)
		processes = view.Digest()
	})
	controller.lock.Lock()
	sinceProcesses, askProcesses := behind(&one.processes, beat.Processes, processes)
	controller.lock.Unlock()
	if askWorkers {
		back := &messages.RosterPush{}
		if transport.Ask(runtime.Wire, beat.From.Address, messages.KindRosterPull, &messages.RosterPull{Since: sinceWorkers}, back, constants.CallTime) == nil {
			controller.mergeWorkers(back.Workers)
			controller.lock.Lock()
			one.workerList = back.Table
			controller.lock.Unlock()
		}
	}
	if askProcesses {
		back := &messages.Shuffle{}
		if transport.Ask(runtime.Wire, beat.From.Address, messages.KindDirectoryPull, &messages.DirectoryPull{Since: sinceProcesses}, back, constants.CallTime) == nil {
			runtime.Hear(back.Entries)
			controller.lock.Lock()
			one.processes = back.Table
			controller.lock.Unlock()
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
