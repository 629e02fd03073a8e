package broadcast_test

import (
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// observe merges entries into the view, and pulls a newer configuration that one of them lists.
func (n *node) observe(entries []messages.NodeInfo) {
	n.view.Observe(entries, n.fleet.Now)
	n.observeEntries(entries)
}

func (n *node) observeEntries(entries []messages.NodeInfo) {
	var newest messages.NodeInfo
	for _, entry := range entries {
		if entry.Generation > newest.Generation {
			newest = entry
		}
	}
	n.pull(newest.Generation, newest.Address)
}

// pull pulls from one process, then from the controllers, until this node follows a generation.
func (n *node) pull(generation int64, first string) {
	if generation <= n.generation || n.pulling {
		return
	}
	n.pulling = true
	var addresses []string
	if first != "" {
		addresses = []string{first}
	}
	for _, entry := range n.view.Controllers(n.fleet.Now) {
		addresses = append(addresses, entry.Address)
	}
	n.pullNext(generation, addresses)
}

func (n *node) pullNext(generation int64, addresses []string) {
	if len(addresses) == 0 || n.generation >= generation {
		n.pulling = false
		return
	}
	n.call(addresses[0], &messages.ConfigPull{Known: n.generation}, constants.CallTimeout, func(resp transport.Marshaler, failed bool) {
		if failed {
			n.view.Failed(addresses[0], n.fleet.Now)
		} else {
			n.applyConfig(resp.(*messages.ConfigPush).Generation)
		}
		n.pullNext(generation, addresses[1:])
	})
}

// reportPeriodically sends the periodic reports: a controller sends heartbeats to other controllers,
// any other process reports to a controller.
func (n *node) reportPeriodically() {
	if n.own.Role == membership.RoleController {
		n.fleet.After(constants.ControllerHeartbeatPeriod, n.reportPeriodically)
		if !n.down {
			n.heartbeatPeers()
		}
		return
	}
	n.fleet.After(constants.ShufflePeriod, n.reportPeriodically)
	if !n.down {
		n.report(n.view.Controllers(n.fleet.Now), 3, false)
	}
}

func (n *node) report(controllers []messages.NodeInfo, attempts int, brief bool) {
	if len(controllers) == 0 || attempts == 0 {
		if partner := n.view.Partner(n.fleet.Now); partner != "" && !brief {
			n.control.firstController = ""
			n.call(partner, &messages.Shuffle{Entries: n.view.Offer(n.fleet.Now)}, constants.CallTimeout, func(resp transport.Marshaler, failed bool) {
				if !failed {
					n.observe(resp.(*messages.Shuffle).Entries)
				}
			})
		}
		return
	}
	req, address := n.view.Report(), controllers[0].Address
	if brief {
		req = n.view.BriefReport()
	}
	n.call(address, req, constants.ReportTimeout, func(resp transport.Marshaler, failed bool) {
		if failed {
			n.view.Failed(address, n.fleet.Now)
			n.report(controllers[1:], attempts-1, brief)
			return
		}
		response := resp.(*messages.Shuffle)
		if response.Detached {
			n.view.Failed(address, n.fleet.Now)
			n.report(controllers[1:], attempts, brief)
			return
		}
		if !brief {
			n.control.firstController = address
		}
		n.view.HandleReportResponse(req, response, n.fleet.Now)
		n.observeEntries(response.Entries)
		peer := n.peerState(address)
		if since, behind := pullSince(&peer.workers, response.Workers, n.registry.Digest(n.own.Incarnation)); behind {
			n.pullWorkers(address, since)
		}
		if response.OverdueComplete {
			n.registry.ApplyOverdue(response.Overdue, n.fleet.Now)
		}
	})
}

func (n *node) peerState(key string) *peerState {
	if n.peerStates[key] == nil {
		n.peerStates[key] = &peerState{}
	}
	return n.peerStates[key]
}

// pullSince compares a peer's reported digest with the own one, and returns the version from which to
// pull and whether a pull is needed.
func pullSince(read *messages.Digest, reported, own messages.Digest) (uint64, bool) {
	if reported.Sum == own.Sum {
		*read = reported
		return 0, false
	}
	if read.Incarnation != reported.Incarnation {
		return 0, true
	}
	return read.Clock, reported.Clock > read.Clock
}

func (n *node) pullWorkers(address string, since uint64) {
	n.call(address, &messages.WorkersPullRequest{Since: since}, constants.CallTimeout, func(resp transport.Marshaler, failed bool) {
		if !failed {
			response := resp.(*messages.WorkersUpdate)
			n.merge(response.Workers)
			n.peerState(address).workers = response.Table
		}
	})
}

func (n *node) heartbeatFor(key string) *messages.ControllerHeartbeat {
	since := n.peerState(key).contactsSentAt
	heartbeat := &messages.ControllerHeartbeat{From: n.view.Self(), Workers: n.registry.Digest(n.own.Incarnation), Processes: n.view.Digest(),
		ContactedWorkers: n.registry.HeartbeatsSince(since), Generation: n.view.Self().Generation}
	heartbeat.ContactedNodes, heartbeat.LaggingNodes = n.view.ContactedSince(since)
	return heartbeat
}

func (n *node) heartbeatPeers() {
	now := n.fleet.Now
	for _, entry := range n.view.All(membership.RoleController, now) {
		key := membership.Key(entry)
		if key < membership.Key(n.own) && entry.AgeMs < 2*constants.ControllerHeartbeatPeriod.Milliseconds() {
			continue
		}
		n.call(entry.Address, n.heartbeatFor(key), constants.CallTimeout, func(resp transport.Marshaler, failed bool) {
			if !failed {
				n.handleHeartbeat(resp.(*messages.ControllerHeartbeat), now)
			}
		})
	}
}

func (n *node) handleHeartbeat(heartbeat *messages.ControllerHeartbeat, sentAt clock.Instant) {
	now, address := n.fleet.Now, heartbeat.From.Address
	n.observe([]messages.NodeInfo{heartbeat.From})
	peer := n.peerState(membership.Key(heartbeat.From))
	peer.contactsSentAt = sentAt
	n.registry.ConfirmHeartbeats(heartbeat.ContactedWorkers, now)
	n.view.HandleHeartbeat(heartbeat, now)
	if since, behind := pullSince(&peer.workers, heartbeat.Workers, n.registry.Digest(n.own.Incarnation)); behind {
		n.pullWorkers(address, since)
	}
	if since, behind := pullSince(&peer.processes, heartbeat.Processes, n.view.Digest()); behind {
		n.call(address, &messages.DirectoryPullRequest{Since: since}, constants.CallTimeout, func(resp transport.Marshaler, failed bool) {
			if !failed {
				response := resp.(*messages.Shuffle)
				n.observe(response.Entries)
				peer.processes = response.Table
			}
		})
	}
}
