package controller

import (
	"sync"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// Controllers exchange a heartbeat once per constants.ControllerHeartbeatPeriod. It carries digests of
// the sender's tables of workers and processes, and which workers and processes contacted the
// sender directly. A controller that receives a digest different from its own pulls the entries
// that its own table lacks.

// peers is the state that this controller keeps about the other controllers. It is safe for
// concurrent use.
type peers struct {
	lock  sync.Mutex
	byKey map[string]*peer
}

// peer is the state kept about one other controller.
type peer struct {
	// workers and processes record up to which version the peer's tables were read.
	workers, processes messages.Digest
	// lastHeartbeat is a time just before this process built its last heartbeat to the peer, zero for
	// never. A heartbeat that was sent as a request counts once the peer has responded to it; one that
	// was sent as the response to the peer's request counts without a confirmation.
	lastHeartbeat clock.Instant
}

func newPeers() peers { return peers{byKey: map[string]*peer{}} }

// lastHeartbeat returns peer.lastHeartbeat of the peer with a key, zero for never.
func (p *peers) lastHeartbeat(key string) clock.Instant {
	p.lock.Lock()
	defer p.lock.Unlock()
	if peer := p.byKey[key]; peer != nil {
		return peer.lastHeartbeat
	}
	return 0
}

// update runs a function on the state of a peer, under the lock. The state is created if needed.
func (p *peers) update(key string, function func(peer *peer)) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.byKey[key] == nil {
		p.byKey[key] = &peer{}
	}
	function(p.byKey[key])
}

// heartbeatPeers exchanges a heartbeat with every other controller, since there are few of them. Of two
// controllers the one with the lesser key starts the exchange, unless it has been silent for two periods.
// It also drops the workers and the relayed broadcasts that are old enough to be forgotten.
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

// peersToCall returns the controllers with which this one starts the exchange: their keys by address.
// The key of a controller that is known only by its address is empty.
func (c *Controller) peersToCall() map[string]string {
	node, addresses := c.Node, map[string]string{}
	for _, address := range node.Settings.SeedAddresses(constants.PortController) {
		addresses[address] = ""
	}
	for _, info := range node.All(membership.RoleController) {
		key := membership.Key(info)
		if key < membership.Key(node.Self) && info.AgeMs < 2*constants.ControllerHeartbeatPeriod.Milliseconds() {
			delete(addresses, info.Address)
			continue
		}
		addresses[info.Address] = key
	}
	delete(addresses, node.Self.Address)
	return addresses
}

// heartbeatFor builds the heartbeat to another controller: the digests, and the workers and processes
// that contacted this process directly since the last heartbeat to that controller.
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

// handleHeartbeat responds to another controller's heartbeat with a heartbeat of this process.
func (c *Controller) handleHeartbeat(heartbeat *messages.ControllerHeartbeat) (*messages.ControllerHeartbeat, error) {
	// The time is read before the response is built, so that a contact in between is reported again
	// in the next heartbeat instead of being missed.
	now := clock.Now()
	resp := c.heartbeatFor(membership.Key(heartbeat.From))
	go c.observeHeartbeat(heartbeat, now)
	return resp, nil
}

// observeHeartbeat applies another controller's heartbeat, and pulls the entries that its tables have
// and those here lack. sentAt is a time just before this process built its own heartbeat to that
// controller.
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

// pullWorkers pulls the workers that changed in a peer's table after the version since.
func (c *Controller) pullWorkers(key, address string, since uint64) {
	resp := &messages.WorkersUpdate{}
	req := &messages.WorkersPullRequest{Since: since, Buckets: c.workers.BucketSums()}
	if transport.Call(c.Node.Transport, address, messages.KindWorkersPull, req, resp, constants.CallTimeout) != nil {
		return
	}
	c.workers.Merge(resp.Workers)
	c.peers.update(key, func(peer *peer) { peer.workers = resp.Table })
}

// pullProcesses pulls the processes that changed in a peer's table after the version since.
func (c *Controller) pullProcesses(key, address string, since uint64) {
	resp := &messages.Shuffle{}
	if transport.Call(c.Node.Transport, address, messages.KindDirectoryPull, &messages.DirectoryPullRequest{Since: since}, resp, constants.CallTimeout) != nil {
		return
	}
	c.Node.Observe(resp.Entries)
	c.peers.update(key, func(peer *peer) { peer.processes = resp.Table })
}

// handleDirectoryPull responds with the processes that changed after the requested version.
func (c *Controller) handleDirectoryPull(req *messages.DirectoryPullRequest) (*messages.Shuffle, error) {
	resp := &messages.Shuffle{}
	c.Node.WithView(func(view *membership.View) {
		resp.Entries, resp.Table = view.Since(req.Since, clock.Now()), view.Digest()
	})
	return resp, nil
}

// needsPull reports whether a peer's table may have entries that this process's own table lacks, and the
// version after which to request them. lastRead is the version of the peer's table that was read last;
// it is set to remote if the tables are equal.
func needsPull(lastRead *messages.Digest, remote, local messages.Digest) (since uint64, needed bool) {
	if remote.Sum == local.Sum {
		*lastRead = remote
		return 0, false
	}
	if lastRead.Incarnation != remote.Incarnation {
		return 0, true
	}
	return lastRead.Clock, remote.Clock > lastRead.Clock
}

// completeReportResponse adds to the response to a process's report: the digest of the table of
// workers, the revision of the assignments and the overdue workers. A controller that is not in contact
// with a majority responds only with its own entry and Detached; one that has not recovered the workers
// yet omits all of these, and the counts of processes.
func (c *Controller) completeReportResponse(resp *messages.Shuffle) {
	if !c.contact().Valid() {
		*resp = messages.Shuffle{Entries: resp.Entries[:1], Detached: true}
		return
	}
	if c.workers.Recovering() {
		// The tables are still incomplete, so the counts and the list of overdue workers would be wrong.
		resp.Counts = nil
		return
	}
	resp.Workers, resp.PlanRevision = c.workers.Digest(c.Node.Self.Incarnation), c.assignments.Plan().Revision
	resp.OverdueComplete, resp.Overdue = true, c.workers.Overdue()
}
