package leader

import (
	"lemonarch/internal/batch/dispatch"
	"lemonarch/internal/batch/jobroute"
	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// openDispatcher creates the dispatcher of this epoch. firstIndex is the index of this epoch's first
// record. The lock is held.
func (t *Term) openDispatcher(firstIndex int64) {
	lock := dispatch.LockDuration(t.process.Node.Settings.Tolerances.CancelMs)
	dispatcher := dispatch.NewDispatcher(t.jobs, t.leadership.Epoch, firstIndex, lock, t.lifecycle.startedAt)
	dispatcher.Append = t.appendRecord
	dispatcher.Ending = func(job *dispatch.Job) bool { return t.submissions.ending[job.ID] }
	dispatcher.Attempts = func(item *dispatch.Item) int {
		if route := jobroute.OfItem(t.process.Node.Config(), item); route != nil {
			return route.MaxAttempts
		}
		return constants.JobItemsMax
	}
	t.items.dispatcher = dispatcher
}

// jobTerms returns a function that returns the terms of a job under a configuration at the
// current time. The lock is held while that function is called.
func (t *Term) jobTerms(config *routeconfig.Config) func(job *dispatch.Job) dispatch.JobTerms {
	wallMs, now := clock.WallNanos()/1_000_000, clock.Now()
	return func(job *dispatch.Job) dispatch.JobTerms {
		route := t.submissions.quota.route(config, submitPath{job.Host, job.Path})
		if route == nil {
			return dispatch.JobTerms{Expired: true}
		}
		ageMs := wallMs - job.SubmittedMs
		return dispatch.JobTerms{Due: job.SubmittedMs + int64(route.ResultMs), Expired: job.OlderThan(route.Retain(), wallMs, now),
			Overdue: float64(ageMs)+t.items.dispatcher.MeanRunMs > route.ResultMs}
	}
}

// Acquire returns items to an executor. If there are none, it waits until there are some or the list
// of executors differs from the version that the executor knows, for the requested time but at most
// constants.AcquireWait. NotLeader in the response means that no item was dispatched.
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
	// The registration of the executor must be committed before it receives items, so that a later
	// leader knows of the executor.
	t.lock.Lock()
	index := t.items.dispatcher.RegisterExecutor(options.Executor)
	t.lock.Unlock()
	if index > 0 && !t.awaitCommit(index, constants.RoundTimeout) {
		return &messages.AcquireResponse{NotLeader: true}
	}
	for {
		config, now := t.process.Node.Config(), clock.Now()
		// Without a valid lease no item is dispatched. The next leader relies on that.
		if config == nil || !t.process.Election.HoldsLease() || t.Closed() {
			return &messages.AcquireResponse{NotLeader: true}
		}
		options.Capacity = map[string]int{}
		for _, freeCapacity := range req.Capacity {
			options.Capacity[freeCapacity.Service] = freeCapacity.Count
		}
		t.lock.Lock()
		options.Terms = t.jobTerms(config)
		t.items.dispatcher.ObserveExecutor(options.Executor, now)
		resp := t.itemsForExecutor(t.items.dispatcher.Acquire(options, now))
		available := t.items.available
		resp.Version, resp.Executors = t.items.dispatcher.Executors(req.KnownVersion, now)
		t.lock.Unlock()
		if len(resp.Items) > 0 || now >= end || len(resp.Executors) > 0 {
			resp.WaitedMs = clock.ToMilliseconds(now.Sub(start))
			return resp
		}
		select {
		case <-available:
			// Many items usually become available at once: wait briefly to acquire them together.
			clock.Sleep(constants.PollPeriod / 2)
		case <-t.lifecycle.stop:
		case <-clock.After(min(end.Sub(now), constants.TickPeriod)):
		}
	}
}

// itemsForExecutor converts acquisitions to the response for their executor. The lock is held.
func (t *Term) itemsForExecutor(acquisitions []*dispatch.Acquisition) *messages.AcquireResponse {
	resp := &messages.AcquireResponse{LockMs: clock.ToMilliseconds(t.items.dispatcher.Lock)}
	for _, acquisition := range acquisitions {
		item := acquisition.Item
		resp.Items = append(resp.Items, messages.AcquiredItem{Number: acquisition.Number, Job: item.Job.ID, Host: item.Job.Host,
			Path: item.Job.Path, SubmittedMs: item.Job.SubmittedMs, Item: item.JobItem, LastID: item.LastID,
			// The capacity is limited so that an executor in this process can't append to the
			// leader's own slice.
			Events: item.Events[:len(item.Events):len(item.Events)], Preempted: item.Preempted, ResumePending: item.ResumePending})
		item.ResumePending = false
	}
	return resp
}

// Acknowledge processes a batch of acknowledgements. If some need a record, it responds once the
// records are durable, or after constants.RoundTimeout with the verdict AckUnknown for these. The
// executor repeats acknowledgements whose outcome is unknown.
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
		acknowledgement := &req.Entries[i]
		outcomes[i] = t.items.dispatcher.Acknowledge(executor, acknowledgement, now)
		last = max(last, outcomes[i].Index)
		if acknowledgement.Kind == messages.AckRelease {
			t.wakeExecutorsLocked()
		}
	}
	if req.Epoch > 0 {
		t.items.dispatcher.MarkFullyReported(executor, req.Epoch, now)
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
		// Another process may be the leader by now, so these verdicts may be out of date.
		return &messages.AcknowledgeResponse{NotLeader: true}
	}
	return resp
}

// wakeExecutorsLocked wakes the executors' requests that wait for items. The lock is held.
func (t *Term) wakeExecutorsLocked() {
	close(t.items.available)
	t.items.available = make(chan struct{})
}

// expireItems expires executors and locks every constants.TickPeriod. Every constants.ExpirePeriod it
// also abandons the items that can no longer be run and, once per epoch, appends the record that all
// acquisitions of earlier epochs are known.
func (t *Term) expireItems() {
	scannedAt := clock.Now()
	clock.Every(constants.TickPeriod, t.lifecycle.stop, func() {
		config, now := t.process.Node.Config(), clock.Now()
		if config == nil || !t.process.Election.HoldsLease() || t.Closed() {
			return
		}
		t.lock.Lock()
		defer t.lock.Unlock()
		if executorsExpired, locksExpired := t.items.dispatcher.ExpireExecutors(now), t.items.dispatcher.ExpireLocks(now); executorsExpired || locksExpired > 0 {
			t.wakeExecutorsLocked()
		}
		if now.Sub(scannedAt) >= constants.ExpirePeriod {
			scannedAt = now
			t.items.dispatcher.RecordAcquisitionsKnown(now)
			t.items.dispatcher.AbandonExpired(t.jobTerms(config), now)
		}
	})
}
