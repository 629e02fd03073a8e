package hollowfleet

import (
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// beginBeats starts the exchange between controllers.
func (r *registrations) beginBeats(node *Node, own *table) {
	members := r.fleet.members
	node.answerers[messages.KindControllerHeartbeat] = reads(node, CoreMembership, func(heartbeat *messages.ControllerHeartbeat) transport.Marshaler {
		back := r.report(node, own, membership.Key(heartbeat.From))
		received := node.now()
		node.after(0, func() {
			node.step(CoreMembership, func() { r.handleControllerHeartbeat(node, own, heartbeat, received) })
		})
		return back
	})
	node.answerers[messages.KindDirectoryPull] = reads(node, CoreMembership, func(req *messages.DirectoryPullRequest) transport.Marshaler {
		view := members.view(node)
		return &messages.Shuffle{Entries: view.Since(req.Since, node.now()), Table: view.Digest()}
	})
	node.every(constants.ControllerHeartbeatPeriod, func() { r.beatOthers(node, own) })
}

// report is what another controller is told.
func (r *registrations) report(node *Node, own *table, key string) *messages.ControllerHeartbeat {
	since := clock.Instant(0)
	if entry := own.peers[key]; entry != nil {
		since = entry.told
	}
	view := r.fleet.members.view(node)
	heartbeat := &messages.ControllerHeartbeat{From: view.Self(), Workers: own.registry.Digest(node.own.Incarnation), ContactedWorkers: own.registry.HeartbeatsSince(since),
		Processes: view.Digest(), Generation: view.Self().Generation}
	heartbeat.ContactedNodes, heartbeat.LaggingNodes = view.ContactedSince(since)
	return heartbeat
}

func (r *registrations) beatOthers(node *Node, own *table) {
	now := node.now()
	addresses := map[string]string{}
	node.step(CoreMembership, func() {
		own.registry.Forget(now.Add(-constants.ForgetAfter))
		for key, item := range own.relays {
			if now.Sub(item.begun) > constants.BulkCallTimeout {
				delete(own.relays, key)
			}
		}
		for _, seed := range r.fleet.seeds {
			addresses[seed] = ""
		}
		for _, entry := range r.fleet.members.view(node).All(membership.RoleController, now) {
			key := membership.Key(entry)
			if key < membership.Key(node.own) && entry.AgeMs < 2*constants.ControllerHeartbeatPeriod.Milliseconds() {
				delete(addresses, entry.Address)
				continue
			}
			addresses[entry.Address] = key
		}
		delete(addresses, node.own.Address)
	})
	for _, address := range sortedKeys(addresses) {
		var report *messages.ControllerHeartbeat
		node.step(CoreMembership, func() { report = r.report(node, own, addresses[address]) })
		back := &messages.ControllerHeartbeat{}
		node.ask(CoreMembership, address, messages.KindControllerHeartbeat, report, back, constants.CallTimeout, func(reached bool) {
			if reached {
				r.handleControllerHeartbeat(node, own, back, now)
			}
		})
	}
}

// handleControllerHeartbeat takes another controller's report, and pulls what its tables have beyond ours.
func (r *registrations) handleControllerHeartbeat(node *Node, own *table, heartbeat *messages.ControllerHeartbeat, received clock.Instant) {
	members, now, key := r.fleet.members, node.now(), membership.Key(heartbeat.From)
	members.heard(node, []messages.NodeInfo{heartbeat.From})
	entry := own.peers[key]
	if entry == nil {
		entry = &peer{}
		own.peers[key] = entry
	}
	entry.told = received
	own.registry.ConfirmHeartbeats(heartbeat.ContactedWorkers, now)
	view := members.view(node)
	view.HandleHeartbeat(heartbeat, now)
	if since, request := behind(&entry.registrations, heartbeat.Workers, own.registry.Digest(node.own.Incarnation)); request {
		back := &messages.WorkersUpdate{}
		node.ask(CoreWorkers, heartbeat.From.Address, messages.KindWorkersPull, &messages.WorkersPullRequest{Since: since}, back, constants.CallTimeout, func(reached bool) {
			if reached {
				r.merge(node, own, back.Workers)
				entry.registrations = back.Table
			}
		})
	}
	if since, request := behind(&entry.processes, heartbeat.Processes, view.Digest()); request {
		back := &messages.Shuffle{}
		node.ask(CoreMembership, heartbeat.From.Address, messages.KindDirectoryPull, &messages.DirectoryPullRequest{Since: since}, back, constants.CallTimeout, func(reached bool) {
			if reached {
				members.heard(node, back.Entries)
				entry.processes = back.Table
			}
		})
	}
}
