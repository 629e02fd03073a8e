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

const beat = 1200 * 1_000_000

// node is one process: the cores of membership, workers and spreading, joined as the
// rims of the real processes join them.
type node struct {
	fleet    *fleet
	own      messages.NodeInfo
	view     *membership.View
	registry *workers.Registry
	config   int64
	down     bool
	reads    map[string]*reads
	relays   map[string]*broadcast.Tree
	pulling  bool
	control  control
	// messages and bytes sent, those to other zones apart.
	messages, bytes, far int
	taken                []int64
}

type reads struct {
	workerList, processes messages.Digest
	told                  clock.Instant
}

// fleet is many nodes in one world.
type fleet struct {
	*simulation.World
	nodes  []*node
	named  map[string]*node
	number uint64
}

func newFleet(seed int64, zones, controllers, stores, gateways int) *fleet {
	f := &fleet{World: simulation.NewWorld(seed), named: map[string]*node{}}
	for zone := 0; zone < zones; zone++ {
		for role, count := range map[string]int{membership.RoleController: controllers, membership.RoleStore: stores, membership.RoleGateway: gateways} {
			for i := 0; i < count; i++ {
				name := fmt.Sprintf("%d-%03d", zone, i)
				f.named[role+"/"+name] = &node{fleet: f, own: messages.NodeInfo{Name: name, Incarnation: 1, Role: role, Zone: fmt.Sprint("h", zone), Address: role + "/" + name}}
			}
		}
	}
	for i, address := range simulation.Keys(f.named) {
		here := f.named[address]
		here.start(seed*1000 + int64(i))
		f.nodes = append(f.nodes, here)
		f.After(clock.Duration(f.Random.Int63n(int64(constants.ShufflePeriod))), here.period)
	}
	f.startControl()
	return f
}

func (n *node) start(seed int64) {
	n.view, n.registry = membership.NewView(n.own, seed), workers.New(beat)
	n.reads, n.relays = map[string]*reads{}, map[string]*broadcast.Tree{}
	// The seeds are the first controllers of three zones.
	for zone := 0; zone < 3; zone++ {
		name := fmt.Sprintf("%d-000", zone)
		n.view.Observe([]messages.NodeInfo{{}, {Name: name, Incarnation: 1, Role: membership.RoleController, Zone: fmt.Sprint("h", zone), Address: "foreman/" + name}}, n.fleet.Now)
	}
}

func (n *node) count(to *node, message transport.Marshaler) {
	const head = 17
	body, _ := message.MarshalMsg(nil)
	n.messages++
	n.bytes += head + len(body)
	if n.own.Zone != to.own.Zone {
		n.far += head + len(body)
	}
}

// call carries a request and its answer, or fails after the duration.
func (n *node) call(address string, req transport.Marshaler, timeout clock.Duration, done func(resp transport.Marshaler, failed bool)) {
	there, ended := n.fleet.named[address], false
	end := func(resp transport.Marshaler, failed bool) {
		if !ended && !n.down {
			ended = true
			done(resp, failed)
		}
	}
	n.fleet.After(timeout, func() { end(nil, true) })
	if there == nil {
		return
	}
	n.count(there, req)
	n.fleet.Send(n.own.Address, address, func() {
		if there.down {
			return
		}
		there.respond(req, func(resp transport.Marshaler) {
			there.count(n, resp)
			n.fleet.Send(address, n.own.Address, func() { end(resp, false) })
		})
	})
}

func (n *node) respond(req transport.Marshaler, response func(transport.Marshaler)) {
	now := n.fleet.Now
	switch found := req.(type) {
	case *messages.Shuffle:
		n.observe(found.Entries)
		if n.own.Role != membership.RoleController {
			response(&messages.Shuffle{Entries: n.view.Offer(now)})
			return
		}
		if !n.attached() {
			response(&messages.Shuffle{Entries: []messages.NodeInfo{n.view.Self()}, Detached: true})
			return
		}
		resp := n.view.RespondToReport(found, now)
		resp.Workers, resp.OverdueComplete, resp.Overdue = n.registry.Digest(n.own.Incarnation), true, n.registry.Overdue(now)
		response(resp)
	case *messages.ControllerHeartbeat:
		// What is told is chosen before it counts as told.
		heartbeat := n.heartbeatFor(membership.Key(found.From))
		n.handleHeartbeat(found, now)
		response(heartbeat)
	case *messages.WorkersPullRequest:
		response(&messages.WorkersUpdate{Workers: n.registry.Since(found.Since, now), Table: n.registry.Digest(n.own.Incarnation)})
	case *messages.DirectoryPullRequest:
		response(&messages.Shuffle{Entries: n.view.Since(found.Since, now), Table: n.view.Digest()})
	case *messages.WorkersUpdate:
		n.merge(found.Workers)
		response(&messages.Ack{Accepted: true})
	default:
		n.respondToUpdate(req, response)
	}
}

// respondToUpdate answers what is about configurations, the register and updates.
func (n *node) respondToUpdate(req transport.Marshaler, response func(transport.Marshaler)) {
	now := n.fleet.Now
	switch found := req.(type) {
	case *messages.ConfigPull:
		response(&messages.ConfigPush{Generation: n.config, Body: body})
	case *messages.ConfigPush:
		for _, send := range broadcast.Split(found.ForwardTo, constants.BodyFanout) {
			n.passOn(found, send)
		}
		if len(found.Body) > 0 {
			n.take(found.Generation)
		}
		n.pull(found.Generation, "")
		response(&messages.Ack{Accepted: n.config >= found.Generation})
	case *messages.ContactRequest:
		response(&messages.ContactResponse{Generation: n.control.accepted})
	case *messages.AcceptRequest:
		n.control.accepted = max(n.control.accepted, found.Value.Current.Generation)
		response(&messages.AcceptResponse{Granted: true})
	case *messages.WorkersPersistRequest:
		n.merge(found.Workers)
		response(&messages.Ack{Accepted: true})
	case *messages.RelayRequest:
		n.merge(found.Workers)
		n.take(found.Generation)
		job, sends := broadcast.NewZoneTree(n.own, n.view.All("", now), found.Expect, fan(found), now)
		n.relays[fmt.Sprint(found.From, found.Sequence)] = job
		n.drive(found, job, sends, now)
		response(&messages.Ack{Accepted: true})
	case *messages.RelayWaitRequest:
		n.await(n.relays[fmt.Sprint(found.From, found.Sequence)], now, response)
	}
}

func (n *node) await(job *broadcast.Tree, start clock.Instant, resp func(transport.Marshaler)) {
	switch {
	case job == nil:
		resp(&messages.RelayWaitResponse{})
	case job.Done() || n.fleet.Now.Sub(start) >= constants.ZoneBroadcastTimeout:
		resp(&messages.RelayWaitResponse{Known: true, Missing: job.Missing()})
	default:
		n.fleet.After(2_000_000, func() { n.await(job, start, resp) })
	}
}

var body = make([]byte, 4000)

func fan(update *messages.RelayRequest) int {
	if update.Generation > 0 {
		return 2 * constants.BodyFanout
	}
	return 0
}

func (n *node) passOn(push *messages.ConfigPush, send broadcast.Send) {
	part := &messages.ConfigPush{Generation: push.Generation, Body: push.Body, ForwardTo: send.ForwardTo}
	n.call(send.Address, part, constants.CallTimeout, func(_ transport.Marshaler, failed bool) {
		if failed && len(send.ForwardTo) > 0 {
			n.passOn(push, broadcast.Send{Address: send.ForwardTo[0], ForwardTo: send.ForwardTo[1:]})
		}
	})
}

func (n *node) take(generation int64) {
	if generation > n.config {
		n.config = generation
		n.taken = append(n.taken, generation)
		n.view.SetGeneration(generation)
	}
}

func (n *node) merge(workers []messages.Worker) {
	for _, worker := range workers {
		n.registry.Merge(worker, n.fleet.Now)
	}
}
