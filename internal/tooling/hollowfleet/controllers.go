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
	node.answerers[messages.KindControllerHeartbeat] = reads(node, CoreMembership, func(beat *messages.ControllerHeartbeat) transport.Marshaler {
		back := r.report(node, own, membership.Key(beat.From))
		told := node.now()
		node.after(0, func() { node.step(CoreMembership, func() { r.handleControllerHeartbeat(node, own, beat, told) }) })
		return back
	})
	node.answerers[messages.KindDirectoryPull] = reads(node, CoreMembership, func(question *messages.DirectoryPullRequest) transport.Marshaler {
		view := members.view(node)
		return &messages.Shuffle{Entries: view.Since(question.Since, node.now()), Table: view.Digest()}
	})
	node.every(constants.ControllerHeartbeatPeriod, func() { r.beatOthers(node, own) })
}

// report is what another controller is told.
func (r *registrations) report(node *Node, own *table, key string) *messages.ControllerHeartbeat {
	since := clock.Instant(0)
	if one := own.peers[key]; one != nil {
		since = one.told
	}
	view := r.fleet.members.view(node)
	beat := &messages.ControllerHeartbeat{From: view.Self(), Workers: own.registry.Digest(node.own.Incarnation), ContactedWorkers: own.registry.HeartbeatsSince(since),
		Processes: view.Digest(), Generation: view.Self().Generation}
	beat.ContactedNodes, beat.LaggingNodes = view.ContactedSince(since)
	return beat
}

func (r *registrations) beatOthers(node *Node, own *table) {
	now := node.now()
	addresses := map[string]string{}
	node.step(CoreMembership, func() {
		own.registry.Forget(now.Add(-constants.ForgetAfter))
		for key, one := range own.relays {
			if now.Sub(one.begun) > constants.BulkCallTimeout {
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
func (r *registrations) handleControllerHeartbeat(node *Node, own *table, beat *messages.ControllerHeartbeat, told clock.Instant) {
	members, now, key := r.fleet.members, node.now(), membership.Key(beat.From)
	members.heard(node, []messages.NodeInfo{beat.From})
	one := own.peers[key]
	if one == nil {
		one = &peer{}
		own.peers[key] = one
	}
	one.told = told
	own.registry.ConfirmHeartbeats(beat.ContactedWorkers, now)
	view := members.view(node)
	view.HandleHeartbeat(beat, now)
	if since, ask := behind(&one.registrations, beat.Workers, own.registry.Digest(node.own.Incarnation)); ask {
		back := &messages.WorkersUpdate{}
		node.ask(CoreWorkers, beat.From.Address, messages.KindWorkersPull, &messages.WorkersPullRequest{Since: since}, back, constants.CallTimeout, func(reached bool) {
			if reached {
				r.merge(node, own, back.Workers)
				one.registrations = back.Table
			}
		})
	}
	if since, ask := behind(&one.processes, beat.Processes, view.Digest()); ask {
		back := &messages.Shuffle{}
		node.ask(CoreMembership, beat.From.Address, messages.KindDirectoryPull, &messages.DirectoryPullRequest{Since: since}, back, constants.CallTimeout, func(reached bool) {
			if reached {
				members.heard(node, back.Entries)
				one.processes = back.Table
			}
		})
	}
}
