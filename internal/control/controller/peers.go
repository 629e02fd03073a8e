package controller

import (
	"sync"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// Controllers exchange a heartbeat once a period: digests of their tables of workers and
// processes, and who was in contact with each directly. Whoever sees a digest that differs
// pulls what the other's table has beyond its own.

// peers is what this controller remembers of the others. It is safe for concurrent use.
type peers struct {
	lock  sync.Mutex
	byKey map[string]*peer
}

// peer is what is remembered of one: how far its tables were read, and when it was last
// given a heartbeat of this process.
type peer struct {
	workers, processes messages.Digest
	lastHeartbeat      clock.Instant
}

func newPeers() peers { return peers{byKey: map[string]*peer{}} }

// lastHeartbeat is when a peer was last given a heartbeat of this process, zero for never.
func (p *peers) lastHeartbeat(key string) clock.Instant {
	p.lock.Lock()
	defer p.lock.Unlock()
	if peer := p.byKey[key]; peer != nil {
		return peer.lastHeartbeat
	}
	return 0
}

// update runs a function on what is remembered of a peer, under the lock.
func (p *peers) update(key string, function func(peer *peer)) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.byKey[key] == nil {
		p.byKey[key] = &peer{}
	}
	function(p.byKey[key])
}

// heartbeatPeers exchanges a heartbeat with every other controller: there are few. Of two,
// the one with the lesser name begins, unless it has been silent for long.
func (c *Controller) heartbeatPeers() {
	now := clock.Now()
	c.workers.Forget()
	c.broadcast.Forget()
	for address, key := range c.peersToCall() {
		go func() {
			resp := &messages.ControllerHeartbeat{}
			if transport.Call(c.Node.Transport, address, messages.KindControllerHeartbeat, c.heartbeatFor(key), resp, constants.CallTimeout) == nil {
				c.observeHeartbeat(resp, now)
			}
		}()
	}
}

// peersToCall gives the controllers that this one begins the exchange with, by address; the
// key of one that is known by its address only is empty.
func (c *Controller) peersToCall() map[string]string {
	node, addresses := c.Node, map[string]string{}
	for _, address := range node.Settings.SeedAddresses(constants.PortController) {
		addresses[address] = ""
	}
	for _, entry := range node.All(membership.RoleController) {
		key := membership.Key(entry)
		if key < membership.Key(node.Self) && entry.AgeMs < 2*constants.ControllerHeartbeatPeriod.Milliseconds() {
			delete(addresses, entry.Address)
			continue
		}
		addresses[entry.Address] = key
	}
	delete(addresses, node.Self.Address)
	return addresses
}

// heartbeatFor is the heartbeat to another controller: digests, and who was in contact with
// this process directly since the last one.
func (c *Controller) heartbeatFor(key string) *messages.ControllerHeartbeat {
	since := c.peers.lastHeartbeat(key)
	heartbeat := &messages.ControllerHeartbeat{Workers: c.workers.Digest(c.Node.Self.Incarnation), ContactedWorkers: c.workers.HeartbeatsSince(since),
		PlanRevision: c.assignments.Plan().Revision}
	c.Node.WithView(func(view *membership.View) {
		heartbeat.From, heartbeat.Processes, heartbeat.Generation = view.Self(), view.Digest(), view.Self().Generation
		heartbeat.ContactedNodes, heartbeat.LaggingNodes = view.ContactedSince(since)
	})
	return heartbeat
}

// handleHeartbeat answers another controller's heartbeat with one of this process.
func (c *Controller) handleHeartbeat(heartbeat *messages.ControllerHeartbeat) (*messages.ControllerHeartbeat, error) {
	// The instant is taken before the answer is made: what happens in between comes again
	// with the next one.
	now := clock.Now()
	resp := c.heartbeatFor(membership.Key(heartbeat.From))
	go c.observeHeartbeat(heartbeat, now)
	return resp, nil
}

// observeHeartbeat takes another controller's heartbeat, and pulls what its tables have
// beyond those here. sentAt is when that controller was given a heartbeat of this process.
func (c *Controller) observeHeartbeat(heartbeat *messages.ControllerHeartbeat, sentAt clock.Instant) {
	c.Node.Observe([]messages.NodeInfo{heartbeat.From})
	go c.assignments.Observe(heartbeat.PlanRevision, heartbeat.From.Address)
	c.workers.ConfirmHeartbeats(heartbeat.ContactedWorkers)
	own := c.workers.Digest(c.Node.Self.Incarnation)
	var processes messages.Digest
	c.Node.WithView(func(view *membership.View) {
		view.HandleHeartbeat(heartbeat, clock.Now())
		processes = view.Digest()
	})
	key := membership.Key(heartbeat.From)
	var sinceWorkers, sinceProcesses uint64
	var pullWorkers, pullProcesses bool
	c.peers.update(key, func(peer *peer) {
		peer.lastHeartbeat = sentAt
		sinceWorkers, pullWorkers = needsPull(&peer.workers, heartbeat.Workers, own)
		sinceProcesses, pullProcesses = needsPull(&peer.processes, heartbeat.Processes, processes)
	})
	if pullWorkers {
		c.pullWorkers(key, heartbeat.From.Address, sinceWorkers)
	}
	if pullProcesses {
		c.pullProcesses(key, heartbeat.From.Address, sinceProcesses)
	}
}

// pullWorkers takes the workers of a peer that changed after a clock.
func (c *Controller) pullWorkers(key, address string, since uint64) {
	resp := &messages.WorkersUpdate{}
	req := &messages.WorkersPullRequest{Since: since, Buckets: c.workers.BucketSums()}
	if transport.Call(c.Node.Transport, address, messages.KindWorkersPull, req, resp, constants.CallTimeout) != nil {
		return
	}
	c.workers.Merge(resp.Workers)
	c.peers.update(key, func(peer *peer) { peer.workers = resp.Table })
}

// pullProcesses takes the processes of a peer that changed after a clock.
func (c *Controller) pullProcesses(key, address string, since uint64) {
	resp := &messages.Shuffle{}
	if transport.Call(c.Node.Transport, address, messages.KindDirectoryPull, &messages.DirectoryPullRequest{Since: since}, resp, constants.CallTimeout) != nil {
		return
	}
	c.Node.Observe(resp.Entries)
	c.peers.update(key, func(peer *peer) { peer.processes = resp.Table })
}

// handleDirectoryPull gives the processes that changed after a clock.
func (c *Controller) handleDirectoryPull(req *messages.DirectoryPullRequest) (*messages.Shuffle, error) {
	resp := &messages.Shuffle{}
	c.Node.WithView(func(view *membership.View) {
		resp.Entries, resp.Table = view.Since(req.Since, clock.Now()), view.Digest()
	})
	return resp, nil
}

// needsPull tells whether another's table may hold something beyond this process's own, and
// from which clock on to ask for it. read is how far that table was read.
func needsPull(read *messages.Digest, theirs, own messages.Digest) (since uint64, needed bool) {
	if theirs.Sum == own.Sum {
		*read = theirs
		return 0, false
	}
	if read.Incarnation != theirs.Incarnation {
		return 0, true
	}
	return read.Clock, theirs.Clock > read.Clock
}

// completeReportResponse adds to the answer to a process's report: a digest of the table of
// workers, and who is overdue. A controller that is not in contact with a majority, or has
// just started, says that and nothing else.
func (c *Controller) completeReportResponse(resp *messages.Shuffle) {
	if !c.contact().Valid() {
		*resp = messages.Shuffle{Entries: resp.Entries[:1], Detached: true}
		return
	}
	if c.workers.Recovering() {
		// It knows too few yet to say how many there are, or who is silent.
		resp.Counts = nil
		return
	}
	resp.Workers, resp.PlanRevision = c.workers.Digest(c.Node.Self.Incarnation), c.assignments.Plan().Revision
	resp.OverdueComplete, resp.Overdue = true, c.workers.Overdue()
}
