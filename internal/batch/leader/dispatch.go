package leader

import (
	"lemonarch/internal/batch/dispatch"
	"lemonarch/internal/batch/jobroute"
	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// openDispatcher makes the dispatcher of this epoch. The lock is held.
func (t *Term) openDispatcher(before int64) {
	lock := dispatch.LockDuration(t.process.Node.Settings.Tolerances.CancelMs)
	dispatcher := dispatch.NewDispatcher(t.jobs, t.leadership.Epoch, before, lock, t.life.startedAt)
	dispatcher.Append = t.appendRecord
	dispatcher.Ending = func(job *dispatch.Job) bool { return t.submissions.ending[job.ID] }
	dispatcher.Attempts = func(item *dispatch.Item) int {
		if route := jobroute.OfItem(t.process.Node.Config(), item); route != nil {
			return route.Tries
		}
		return constants.JobItemsMax
	}
	t.items.dispatcher = dispatcher
}

// terms says what a configuration means for a job now. The lock is held while it is
// asked.
func (t *Term) terms(config *routeconfig.Config) func(job *dispatch.Job) dispatch.JobTerms {
	wall, now := clock.WallNanos()/1_000_000, clock.Now()
	return func(job *dispatch.Job) dispatch.JobTerms {
		route := t.submissions.quota.route(config, submitPath{job.Host, job.Path})
		if route == nil {
			return dispatch.JobTerms{Expired: true}
		}
		age := wall - job.SubmittedMs
		return dispatch.JobTerms{Due: job.SubmittedMs + int64(route.ResultMs), Expired: job.OlderThan(route.Retain(), wall, now),
			Overdue: float64(age)+t.items.dispatcher.MeanRunMs > route.ResultMs}
	}
}

// Acquire hands items to an executor, waiting a little while there are none.
func (t *Term) Acquire(req *messages.AcquireRequest) *messages.AcquireResponse {
	start := clock.Now()
	if !t.waitServing(constants.AcquireWait) {
		return &messages.AcquireResponse{NotLeader: true}
	}
	end := start.Add(min(clock.Milliseconds(float64(req.WaitMs)), constants.AcquireWait))
	options := &dispatch.AcquireOptions{Executor: dispatch.Executor{Name: req.Executor, Incarnation: req.Incarnation, Address: req.Address, Zone: req.Zone},
		Service: func(item *dispatch.Item) string {
			if route := jobroute.OfItem(t.process.Node.Config(), item); route != nil {
				return route.Choose(clock.Float64())
			}
			return ""
		}}
	// What it is handed must be known to a later leader before it has it.
	t.lock.Lock()
	entry := t.items.dispatcher.RegisterExecutor(options.Executor)
	t.lock.Unlock()
	if entry > 0 && !t.awaitCommit(entry, constants.RoundTimeout) {
		return &messages.AcquireResponse{NotLeader: true}
	}
	for {
		config, now := t.process.Node.Config(), clock.Now()
		// A lease that ran out hands nothing out: the next leader counts on it.
		if config == nil || !t.process.Election.HoldsLease() || t.Closed() {
			return &messages.AcquireResponse{NotLeader: true}
		}
		options.Capacity = map[string]int{}
		for _, freeCapacity := range req.Capacity {
			options.Capacity[freeCapacity.Service] = freeCapacity.Count
		}
		t.lock.Lock()
		options.Terms = t.terms(config)
		t.items.dispatcher.ObserveExecutor(options.Executor, now)
		resp := t.itemsForExecutor(t.items.dispatcher.Acquire(options, now))
		fresh := t.items.available
		resp.Version, resp.Executors = t.items.dispatcher.Executors(req.KnownVersion, now)
		t.lock.Unlock()
		if len(resp.Items) > 0 || now >= end || len(resp.Executors) > 0 {
			resp.WaitedMs = clock.ToMilliseconds(now.Sub(start))
			return resp
		}
		select {
		case <-fresh:
			// Many items come free at once: look a little later, together.
			clock.Sleep(constants.PumpPeriod / 2)
		case <-t.life.stop:
		case <-clock.After(min(end.Sub(now), constants.TickPeriod)):
		}
	}
}

// itemsForExecutor writes acquisitions down for their executor. The lock is held.
func (t *Term) itemsForExecutor(taken []*dispatch.Acquisition) *messages.AcquireResponse {
	resp := &messages.AcquireResponse{LockMs: clock.ToMilliseconds(t.items.dispatcher.Lock)}
	for _, acquisition := range taken {
		item := acquisition.Item
		resp.Items = append(resp.Items, messages.AcquiredItem{Number: acquisition.Number, Job: item.Job.ID, Host: item.Job.Host,
			Path: item.Job.Path, SubmittedMs: item.Job.SubmittedMs, Item: item.JobItem, LastID: item.LastID,
			// An executor in this process must not write behind what we keep.
			Events: item.Events[:len(item.Events):len(item.Events)], Preempted: item.Preempted, Owed: item.OwedResume})
		item.OwedResume = false
	}
	return resp
}

// Acknowledge takes a batch of acknowledgements. What needs a record is answered
// once that is durable; what can't be known is repeated by the executor.
func (t *Term) Acknowledge(req *messages.AcknowledgeRequest) *messages.AcknowledgeResponse {
	if !t.waitServing(constants.CallTimeout / 2) {
		return &messages.AcknowledgeResponse{NotLeader: true}
	}
	executor := dispatch.Executor{Name: req.Executor, Incarnation: req.Incarnation, Address: req.Address, Zone: req.Zone}
	resp := &messages.AcknowledgeResponse{}
	outcomes := make([]dispatch.AckOutcome, len(req.Entries))
	last := int64(0)
	now := clock.Now()
	t.lock.Lock()
	if req.Draining {
		t.items.dispatcher.RemoveExecutor(executor)
		t.wakeExecutorsLocked()
	} else {
		t.items.dispatcher.ObserveExecutor(executor, now)
	}
	resp.Version, resp.Executors = t.items.dispatcher.Executors(req.KnownVersion, now)
	for i := range req.Entries {
		entry := &req.Entries[i]
		outcomes[i] = t.items.dispatcher.Acknowledge(executor, entry, now)
		last = max(last, outcomes[i].Index)
		if entry.Kind == messages.AckRelease {
			t.wakeExecutorsLocked()
		}
	}
	if req.Epoch > 0 {
		t.items.dispatcher.ReportedAll(executor, req.Epoch, now)
	}
	t.lock.Unlock()
	durable := last == 0 || t.awaitCommit(last, constants.RoundTimeout)
	for _, outcome := range outcomes {
		verdict := outcome.Verdict
		if outcome.Index > 0 && !durable {
			verdict = messages.AckUnknown
		}
		resp.Verdicts = append(resp.Verdicts, verdict)
	}
	if !t.process.Election.HoldsLease() || t.Closed() {
		// Another may hold the leadership by now: what we say is old.
		return &messages.AcknowledgeResponse{NotLeader: true}
	}
	return resp
}

// wakeExecutorsLocked wakes the executors that wait for items. The lock is held.
func (t *Term) wakeExecutorsLocked() {
	close(t.items.available)
	t.items.available = make(chan struct{})
}

// expireItems lets locks lapse and archives what has come to a terminal ground.
func (t *Term) expireItems() {
	looked := clock.Now()
	clock.Every(constants.TickPeriod, t.life.stop, func() {
		config, now := t.process.Node.Config(), clock.Now()
		if config == nil || !t.process.Election.HoldsLease() || t.Closed() {
			return
		}
		t.lock.Lock()
		defer t.lock.Unlock()
		if quiet, lapsed := t.items.dispatcher.ExpireExecutors(now), t.items.dispatcher.ExpireLocks(now); quiet || lapsed > 0 {
			t.wakeExecutorsLocked()
		}
		if now.Sub(looked) >= constants.ExpirePeriod {
			looked = now
			t.items.dispatcher.RecordAcquisitionsKnown(now)
			t.items.dispatcher.AbandonExpired(t.terms(config), now)
		}
	})
}
