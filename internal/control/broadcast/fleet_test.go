package broadcast_test

import (
	"fmt"

	"lemonarch/internal/control/broadcast"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/control/workers"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/tooling/simulation"
)

const heartbeatPeriod = 1200 * 1_000_000

// node is one simulated process: the membership, worker and broadcast state machines, connected as
// the servers of the real processes connect them.
type node struct {
	fleet      *fleet
	own        messages.NodeInfo
	view       *membership.View
	registry   *workers.Registry
	generation int64
	down       bool
	peerStates map[string]*peerState
	relays     map[string]*broadcast.Tree
	pulling    bool
	control    controlState
	// messages and bytes count what was sent; crossZoneBytes counts the bytes sent to other zones.
	messages, bytes, crossZoneBytes int
	appliedGenerations              []int64
}

// peerState stores what was last exchanged with one peer.
type peerState struct {
	// workers and processes are the peer's digests at the last pull.
	workers, processes messages.Digest
	contactsSentAt     clock.Instant
}

// fleet is a set of nodes in one simulated network.
type fleet struct {
	*simulation.World
	nodes     []*node
	byAddress map[string]*node
	sequence  uint64
}

func newFleet(seed int64, zones, controllers, stores, gateways int) *fleet {
	f := &fleet{World: simulation.NewWorld(seed), byAddress: map[string]*node{}}
	for zone := 0; zone < zones; zone++ {
		for role, count := range map[string]int{membership.RoleController: controllers, membership.RoleStore: stores, membership.RoleGateway: gateways} {
			for i := 0; i < count; i++ {
				name := fmt.Sprintf("%d-%03d", zone, i)
				f.byAddress[role+"/"+name] = &node{fleet: f, own: messages.NodeInfo{Name: name, Incarnation: 1, Role: role, Zone: fmt.Sprint("h", zone), Address: role + "/" + name}}
			}
		}
	}
	for i, address := range simulation.SortedKeys(f.byAddress) {
		process := f.byAddress[address]
		process.start(seed*1000 + int64(i))
		f.nodes = append(f.nodes, process)
		f.After(clock.Duration(f.Random.Int63n(int64(constants.ShufflePeriod))), process.reportPeriodically)
	}
	f.startControl()
	return f
}

func (n *node) start(seed int64) {
	n.view, n.registry = membership.NewView(n.own, seed), workers.New(heartbeatPeriod)
	n.peerStates, n.relays = map[string]*peerState{}, map[string]*broadcast.Tree{}
	// The seeds are the first controllers of three zones. The empty entry is in the place of the
	// sender's, so that no seed counts as in direct contact yet.
	for zone := 0; zone < 3; zone++ {
		name := fmt.Sprintf("%d-000", zone)
		n.view.Observe([]messages.NodeInfo{{}, {Name: name, Incarnation: 1, Role: membership.RoleController, Zone: fmt.Sprint("h", zone), Address: "foreman/" + name}}, n.fleet.Now)
	}
}

func (n *node) count(receiver *node, message transport.Marshaler) {
	const headerSize = 17
	body, _ := message.MarshalMsg(nil)
	n.messages++
	n.bytes += headerSize + len(body)
	if n.own.Zone != receiver.own.Zone {
		n.crossZoneBytes += headerSize + len(body)
	}
}

// call sends a request and calls done with the response, or with failed set after the timeout.
func (n *node) call(address string, req transport.Marshaler, timeout clock.Duration, done func(resp transport.Marshaler, failed bool)) {
	receiver, ended := n.fleet.byAddress[address], false
	finish := func(resp transport.Marshaler, failed bool) {
		if !ended && !n.down {
			ended = true
			done(resp, failed)
		}
	}
	n.fleet.After(timeout, func() { finish(nil, true) })
	if receiver == nil {
		return
	}
	n.count(receiver, req)
	n.fleet.Send(n.own.Address, address, func() {
		if receiver.down {
			return
		}
		receiver.respond(req, func(resp transport.Marshaler) {
			receiver.count(n, resp)
			n.fleet.Send(address, n.own.Address, func() { finish(resp, false) })
		})
	})
}

func (n *node) respond(req transport.Marshaler, response func(transport.Marshaler)) {
	now := n.fleet.Now
	switch request := req.(type) {
	case *messages.Shuffle:
		n.observe(request.Entries)
		if n.own.Role != membership.RoleController {
			response(&messages.Shuffle{Entries: n.view.Offer(now)})
			return
		}
		if !n.attached() {
			response(&messages.Shuffle{Entries: []messages.NodeInfo{n.view.Self()}, Detached: true})
			return
		}
		resp := n.view.RespondToReport(request, now)
		resp.Workers, resp.OverdueComplete, resp.Overdue = n.registry.Digest(n.own.Incarnation), true, n.registry.Overdue(now)
		response(resp)
	case *messages.ControllerHeartbeat:
		// The response is built first, because handling the heartbeat marks contacts as sent.
		heartbeat := n.heartbeatFor(membership.Key(request.From))
		n.handleHeartbeat(request, now)
		response(heartbeat)
	case *messages.WorkersPullRequest:
		response(&messages.WorkersUpdate{Workers: n.registry.Since(request.Since, now), Table: n.registry.Digest(n.own.Incarnation)})
	case *messages.DirectoryPullRequest:
		response(&messages.Shuffle{Entries: n.view.Since(request.Since, now), Table: n.view.Digest()})
	case *messages.WorkersUpdate:
		n.merge(request.Workers)
		response(&messages.Ack{Accepted: true})
	default:
		n.respondToUpdate(req, response)
	}
}

// respondToUpdate responds to requests about configurations, the register and updates.
func (n *node) respondToUpdate(req transport.Marshaler, response func(transport.Marshaler)) {
	now := n.fleet.Now
	switch request := req.(type) {
	case *messages.ConfigPull:
		response(&messages.ConfigPush{Generation: n.generation, Body: body})
	case *messages.ConfigPush:
		for _, send := range broadcast.Split(request.ForwardTo, constants.BodyFanout) {
			n.forward(request, send)
		}
		if len(request.Body) > 0 {
			n.applyConfig(request.Generation)
		}
		n.pull(request.Generation, "")
		response(&messages.Ack{Accepted: n.generation >= request.Generation})
	case *messages.ContactRequest:
		response(&messages.ContactResponse{Generation: n.control.acceptedGeneration})
	case *messages.AcceptRequest:
		n.control.acceptedGeneration = max(n.control.acceptedGeneration, request.Value.Current.Generation)
		response(&messages.AcceptResponse{Granted: true})
	case *messages.WorkersPersistRequest:
		n.merge(request.Workers)
		response(&messages.Ack{Accepted: true})
	case *messages.RelayRequest:
		n.merge(request.Workers)
		n.applyConfig(request.Generation)
		tree, sends := broadcast.NewZoneTree(n.own, n.view.All("", now), request.Expect, fanout(request), now)
		n.relays[fmt.Sprint(request.From, request.Sequence)] = tree
		n.makeCalls(request, tree, sends, now)
		response(&messages.Ack{Accepted: true})
	case *messages.RelayWaitRequest:
		n.awaitTree(n.relays[fmt.Sprint(request.From, request.Sequence)], now, response)
	}
}

func (n *node) awaitTree(tree *broadcast.Tree, start clock.Instant, response func(transport.Marshaler)) {
	switch {
	case tree == nil:
		response(&messages.RelayWaitResponse{})
	case tree.Done() || n.fleet.Now.Sub(start) >= constants.ZoneBroadcastTimeout:
		response(&messages.RelayWaitResponse{Known: true, Missing: tree.Missing()})
	default:
		n.fleet.After(2_000_000, func() { n.awaitTree(tree, start, response) })
	}
}

var body = make([]byte, 4000)

func fanout(update *messages.RelayRequest) int {
	if update.Generation > 0 {
		return 2 * constants.BodyFanout
	}
	return 0
}

func (n *node) forward(push *messages.ConfigPush, send broadcast.Send) {
	part := &messages.ConfigPush{Generation: push.Generation, Body: push.Body, ForwardTo: send.ForwardTo}
	n.call(send.Address, part, constants.CallTimeout, func(_ transport.Marshaler, failed bool) {
		if failed && len(send.ForwardTo) > 0 {
			n.forward(push, broadcast.Send{Address: send.ForwardTo[0], ForwardTo: send.ForwardTo[1:]})
		}
	})
}

func (n *node) applyConfig(generation int64) {
	if generation > n.generation {
		n.generation = generation
		n.appliedGenerations = append(n.appliedGenerations, generation)
		n.view.SetGeneration(generation)
	}
}

func (n *node) merge(workers []messages.Worker) {
	for _, worker := range workers {
		n.registry.Merge(worker, n.fleet.Now)
	}
}
