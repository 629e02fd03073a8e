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
	own      messages.Entry
	view     *membership.View
	registry *workers.Registry
	config   int64
	down     bool
	reads    map[string]*reads
	relays   map[string]*broadcast.Job
	pulling  bool
	control  control
	// messages and bytes sent, those to other zones apart.
	messages, bytes, far int
	taken                []int64
}

type reads struct {
	workerList, processes messages.Digest
	told                  clock.Moment
}

// fleet is many nodes in one world.
type fleet struct {
	*simulation.World
	nodes  []*node
	named  map[string]*node
	number uint64
}

func newFleet(seed int64, zones, controllers, stores, gateways int) *fleet {
	one := &fleet{World: simulation.NewWorld(seed), named: map[string]*node{}}
	for zone := 0; zone < zones; zone++ {
		for role, count := range map[string]int{membership.RoleController: controllers, membership.RoleStore: stores, membership.RoleGateway: gateways} {
			for place := 0; place < count; place++ {
				name := fmt.Sprintf("%d-%03d", zone, place)
				one.named[role+"/"+name] = &node{fleet: one, own: messages.Entry{Name: name, Life: 1, Role: role, Zone: fmt.Sprint("h", zone), Address: role + "/" + name}}
			}
		}
	}
	for place, address := range simulation.Keys(one.named) {
		here := one.named[address]
		here.start(seed*1000 + int64(place))
		one.nodes = append(one.nodes, here)
		one.After(clock.Span(one.Random.Int63n(int64(constants.ShufflePeriod))), here.period)
	}
	one.startControl()
	return one
}

func (n *node) start(seed int64) {
	n.view, n.registry = membership.NewView(n.own, seed), workers.New(beat)
	n.reads, n.relays = map[string]*reads{}, map[string]*broadcast.Job{}
	// The seeds are the first controllers of three zones.
	for zone := 0; zone < 3; zone++ {
		name := fmt.Sprintf("%d-000", zone)
		n.view.Heard([]messages.Entry{{}, {Name: name, Life: 1, Role: membership.RoleController, Zone: fmt.Sprint("h", zone), Address: "foreman/" + name}}, n.fleet.Now)
	}
}

func (n *node) count(to *node, message transport.Writable) {
	const head = 17
	body, _ := message.MarshalMsg(nil)
	n.messages++
	n.bytes += head + len(body)
	if n.own.Zone != to.own.Zone {
		n.far += head + len(body)
	}
}

// call carries a question and its answer, or fails after the span.
func (n *node) call(address string, question transport.Writable, span clock.Span, done func(answer transport.Writable, failed bool)) {
	there, ended := n.fleet.named[address], false
	end := func(answer transport.Writable, failed bool) {
		if !ended && !n.down {
			ended = true
			done(answer, failed)
		}
	}
	n.fleet.After(span, func() { end(nil, true) })
	if there == nil {
		return
	}
	n.count(there, question)
	n.fleet.Send(n.own.Address, address, func() {
		if there.down {
			return
		}
		there.answer(question, func(answer transport.Writable) {
			there.count(n, answer)
			n.fleet.Send(address, n.own.Address, func() { end(answer, false) })
		})
	})
}

func (n *node) answer(question transport.Writable, back func(transport.Writable)) {
	now := n.fleet.Now
	switch one := question.(type) {
	case *messages.Shuffle:
		n.hear(one.Entries)
		if n.own.Role != membership.RoleController {
			back(&messages.Shuffle{Entries: n.view.Offer(now)})
			return
		}
		if !n.attached() {
			back(&messages.Shuffle{Entries: []messages.Entry{n.view.Own()}, Detached: true})
			return
		}
		answer := n.view.Answer(one, now)
		answer.Workers, answer.Judging, answer.Overdue = n.registry.Digest(n.own.Life), true, n.registry.Overdue(now)
		back(answer)
	case *messages.ControllerBeat:
		// What is told is chosen before it counts as told.
		beat := n.beatFor(membership.Key(one.From))
		n.heardBeat(one, now)
		back(beat)
	case *messages.RosterPull:
		back(&messages.RosterPush{Workers: n.registry.Since(one.Since, now), Table: n.registry.Digest(n.own.Life)})
	case *messages.DirectoryPull:
		back(&messages.Shuffle{Entries: n.view.Since(one.Since, now), Table: n.view.Digest()})
	case *messages.RosterPush:
		n.merge(one.Workers)
		back(&messages.Nothing{Taken: true})
	case *messages.ConfigPull:
		back(&messages.ConfigPush{Generation: n.config, Body: body})
	case *messages.ConfigPush:
		for _, send := range broadcast.Split(one.Pass, constants.BodyFan) {
			n.passOn(one, send)
		}
		if len(one.Body) > 0 {
			n.take(one.Generation)
		}
		n.pull(one.Generation, "")
		back(&messages.Nothing{Taken: n.config >= one.Generation})
	case *messages.ContactAsk:
		back(&messages.ContactTold{Generation: n.control.accepted})
	case *messages.Accept:
		n.control.accepted = max(n.control.accepted, one.Value.Current.Generation)
		back(&messages.Accepted{Granted: true})
	case *messages.WorkersKeep:
		n.merge(one.Workers)
		back(&messages.Nothing{Taken: true})
	case *messages.Relay:
		n.merge(one.Workers)
		n.take(one.Generation)
		job, sends := broadcast.Zone(n.own, n.view.All("", now), one.Expect, fan(one), now)
		n.relays[fmt.Sprint(one.From, one.Number)] = job
		n.drive(one, job, sends, now)
		back(&messages.Nothing{Taken: true})
	case *messages.RelayWait:
		n.await(n.relays[fmt.Sprint(one.From, one.Number)], now, back)
	}
}

func (n *node) await(job *broadcast.Job, begun clock.Moment, back func(transport.Writable)) {
	switch {
	case job == nil:
		back(&messages.RelayDone{})
	case job.Done() || n.fleet.Now.Since(begun) >= constants.ZoneTime:
		back(&messages.RelayDone{Known: true, Missing: job.Missing()})
	default:
		n.fleet.After(2_000_000, func() { n.await(job, begun, back) })
	}
}

var body = make([]byte, 4000)

func fan(update *messages.Relay) int {
	if update.Generation > 0 {
		return 2 * constants.BodyFan
	}
	return 0
}

func (n *node) passOn(push *messages.ConfigPush, send broadcast.Send) {
	part := &messages.ConfigPush{Generation: push.Generation, Body: push.Body, Pass: send.Pass}
	n.call(send.Address, part, constants.CallTime, func(_ transport.Writable, failed bool) {
		if failed && len(send.Pass) > 0 {
			n.passOn(push, broadcast.Send{Address: send.Pass[0], Pass: send.Pass[1:]})
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

func (n *node) merge(workerList []messages.Worker) {
	for _, worker := range workerList {
		n.registry.Merge(worker, n.fleet.Now)
	}
}
