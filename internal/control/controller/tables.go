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
	lastHeartbeat         clock.Instant
}

// registerTables registers what concerns the tables of workers and processes.
func (c *Controller) registerTables() {
	runtime := c.Node
	runtime.Handle(messages.KindWorkersUpdate, handle(func(req *messages.WorkersUpdate) (transport.Marshaler, error) {
		c.mergeWorkers(req.Workers)
		runtime.MarkContacted(req.From)
		return &messages.Ack{Accepted: true}, nil
	}))
	runtime.Handle(messages.KindWorkersPull, handle(func(req *messages.WorkersPullRequest) (transport.Marshaler, error) {
		if c.recovering() {
			// What the file says may be older than a drain that was acknowledged.
			return nil, ErrNoContact.New("workers not known yet")
		}
		c.lock.Lock()
		defer c.lock.Unlock()
		return &messages.WorkersUpdate{From: membership.Key(runtime.Self), Workers: c.registry.Since(req.Since, clock.Now()),
			Table: c.registry.Digest(runtime.Self.Incarnation)}, nil
	}))
	runtime.Handle(messages.KindDirectoryPull, handle(func(req *messages.DirectoryPullRequest) (transport.Marshaler, error) {
		resp := &messages.Shuffle{}
		runtime.Viewed(func(view *membership.View) {
			resp.Entries, resp.Table = view.Since(req.Since, clock.Now()), view.Digest()
		})
		return resp, nil
	}))
	runtime.Handle(messages.KindControllerHeartbeat, handle(func(req *messages.ControllerHeartbeat) (transport.Marshaler, error) {
		// What is told here is chosen before it counts as told.
		now := clock.Now()
		resp := c.heartbeatFor(membership.Key(req.From))
		go c.handleControllerHeartbeat(req, now)
		return resp, nil
	}))
	runtime.Handle(messages.KindRelay, handle(c.handleRelay))
	runtime.Handle(messages.KindRelayWait, handle(c.handleRelayWait))
	runtime.OnReportResponse(c.addWorkers)
}

func (c *Controller) mergeWorkers(workers []messages.Worker) {
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, worker := range workers {
		if c.registry.Merge(worker, clock.Now()) {
			c.workerFile.enqueue(worker)
		}
	}
}

// recovering tells whether this process has started and has not heard a majority of the
// acceptors on the workers yet: till then it takes no calls of workers, who go to the
// next, and vouches for none.
func (c *Controller) recovering() bool { return !c.recovered.Load() }

// addWorkers completes the answer to a process's report: a digest of the table of
// workers, and who is silent. A controller that is not in contact with a majority, or
// has just started, says that and nothing else.
func (c *Controller) addWorkers(resp *messages.Shuffle) {
	if !c.hasContact() {
		*resp = messages.Shuffle{Entries: resp.Entries[:1], Detached: true}
		return
	}
	if c.recovering() {
		// It knows too few yet to say how many there are, or who is silent.
		resp.Counts = nil
		return
	}
	plan := c.currentPlan().Revision
	c.lock.Lock()
	defer c.lock.Unlock()
	resp.Workers, resp.PlanRevision = c.registry.Digest(c.Node.Self.Incarnation), plan
	resp.OverdueComplete, resp.Overdue = true, c.registry.Overdue(clock.Now())
}

// heartbeatFor is what another controller is told: digests, and who was heard here directly.
func (c *Controller) heartbeatFor(key string) *messages.ControllerHeartbeat {
	c.lock.Lock()
	since := clock.Instant(0)
	if peer := c.peers[key]; peer != nil {
		since = peer.lastHeartbeat
	}
	heartbeat := &messages.ControllerHeartbeat{Workers: c.registry.Digest(c.Node.Self.Incarnation), SeenWorkers: c.registry.HeartbeatsSince(since)}
	heartbeat.PlanRevision = c.currentPlan().Revision
	c.lock.Unlock()
	c.Node.Viewed(func(view *membership.View) {
		heartbeat.From, heartbeat.Processes, heartbeat.Generation = view.Self(), view.Digest(), view.Self().Generation
		heartbeat.SeenNodes, heartbeat.LaggingNodes = view.ContactedSince(since)
	})
	return heartbeat
}

// heartbeatPeers exchanges a beat with every other controller: there are few. Of two, the one
// with the lesser name begins, unless it has been silent for long.
func (c *Controller) heartbeatPeers() {
	runtime, now := c.Node, clock.Now()
	c.lock.Lock()
	c.registry.Forget(now.Add(-constants.ForgetAfter))
	c.durableDrains.trim(func(id string) bool {
		_, known := c.registry.Get(id)
		return known
	})
	for key, transfer := range c.deliveries {
		if now.Sub(transfer.startedAt) > constants.BulkCallTimeout {
			delete(c.deliveries, key)
		}
	}
	c.lock.Unlock()
	addresses := map[string]string{}
	for _, address := range runtime.Settings.SeedAddresses(constants.PortController) {
		addresses[address] = ""
	}
	for _, entry := range runtime.All(membership.RoleController) {
		key := membership.Key(entry)
		if key < membership.Key(runtime.Self) && entry.AgeMs < 2*constants.ControllerHeartbeatPeriod.Milliseconds() {
			delete(addresses, entry.Address)
			continue
		}
		addresses[entry.Address] = key
	}
	delete(addresses, runtime.Self.Address)
	for address, key := range addresses {
		go func() {
			resp := &messages.ControllerHeartbeat{}
			if transport.Call(runtime.Transport, address, messages.KindControllerHeartbeat, c.heartbeatFor(key), resp, constants.CallTimeout) == nil {
				c.handleControllerHeartbeat(resp, now)
			}
		}()
	}
}

// handleControllerHeartbeat takes another controller's beat, and pulls what its tables have beyond ours.
// told is when that controller was given our own beat.
func (c *Controller) handleControllerHeartbeat(heartbeat *messages.ControllerHeartbeat, told clock.Instant) {
	runtime, now, key := c.Node, clock.Now(), membership.Key(heartbeat.From)
	runtime.Observe([]messages.NodeInfo{heartbeat.From})
	go c.observePlan(heartbeat.PlanRevision, heartbeat.From.Address)
	c.lock.Lock()
	p := c.peers[key]
	if p == nil {
		p = &peer{}
		c.peers[key] = p
	}
	p.lastHeartbeat = told
	c.registry.ConfirmHeartbeats(heartbeat.SeenWorkers, now)
	workers := c.registry.Digest(runtime.Self.Incarnation)
	sinceWorkers, askWorkers := needsPull(&p.workerList, heartbeat.Workers, workers)
	c.lock.Unlock()
	var processes messages.Digest
	runtime.Viewed(func(view *membership.View) {
		view.HandleHeartbeat(heartbeat, now)
		processes = view.Digest()
	})
	c.lock.Lock()
	sinceProcesses, askProcesses := needsPull(&p.processes, heartbeat.Processes, processes)
	c.lock.Unlock()
	if askWorkers {
		resp := &messages.WorkersUpdate{}
		if transport.Call(runtime.Transport, heartbeat.From.Address, messages.KindWorkersPull, &messages.WorkersPullRequest{Since: sinceWorkers}, resp, constants.CallTimeout) == nil {
			c.mergeWorkers(resp.Workers)
			c.lock.Lock()
			p.workerList = resp.Table
			c.lock.Unlock()
		}
	}
	if askProcesses {
		resp := &messages.Shuffle{}
		if transport.Call(runtime.Transport, heartbeat.From.Address, messages.KindDirectoryPull, &messages.DirectoryPullRequest{Since: sinceProcesses}, resp, constants.CallTimeout) == nil {
			runtime.Observe(resp.Entries)
			c.lock.Lock()
			p.processes = resp.Table
			c.lock.Unlock()
		}
	}
}

// needsPull tells whether another's table may hold something beyond ours, and from which
// clock on to ask. read is how far that table was read.
func needsPull(read *messages.Digest, told, own messages.Digest) (since uint64, ask bool) {
	if told.Sum == own.Sum {
		*read = told
		return 0, false
	}
	if read.Incarnation != told.Incarnation {
		return 0, true
	}
	return read.Clock, told.Clock > read.Clock
}
