package hollowfleet

import (
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// memberList drives membership as node does: a periodic exchange with a controller, and now
// and then with a neighbour.
type memberList struct{ fleet *Fleet }

// seat is the view of one process.
type seat struct {
	view   *membership.View
	rounds int
	// first is the controller that took the last full report.
	first string
}

// Name names it.
func (*memberList) Name() string { return "membership" }

func (m *memberList) view(node *Node) *membership.View { return node.state[0].(*seat).view }

// Begin starts the view of a process.
func (m *memberList) Begin(node *Node) any {
	own := &seat{view: membership.NewView(node.own, node.random.Int63())}
	node.answerers[messages.KindShuffle] = reads(node, CoreMembership, func(req *messages.Shuffle) transport.Marshaler {
		m.heard(node, req.Entries)
		if node.places() {
			return &messages.Shuffle{Entries: own.view.Offer(node.now())}
		}
		resp := own.view.RespondToReport(req, node.now())
		m.fleet.registrations.addWorkers(node, resp)
		return resp
	})
	m.meet(node, own, 0)
	return own
}

// Drop lets go of the view.
func (m *memberList) Drop(node *Node) { node.state[0] = nil }

// meet asks the seeds until a controller is known, then goes over to the periodic exchange.
func (m *memberList) meet(node *Node, own *seat, round int) {
	const meetings = 10
	node.after(clock.Duration(node.random.Int63n(int64(constants.StartBackoff))), func() {
		for _, seed := range m.fleet.seeds {
			if seed != node.own.Address {
				m.report(node, seed, false, func(reportResult) {})
			}
		}
		node.after(constants.StartBackoff*2, func() {
			known := len(own.view.Live(membership.RoleController, node.now())) > 0
			switch {
			case !known || (!node.places() && round < meetings):
				m.meet(node, own, round+1)
			case node.places():
				m.exchange(node, own)
				node.every(constants.ShufflePeriod, func() { m.exchange(node, own) })
				node.every(constants.SecondReportPeriod, func() { m.secondReport(node, own) })
			}
		})
	})
}

// exchange is the periodic exchange with a controller, or with others where none answers.
func (m *memberList) exchange(node *Node, own *seat) {
	own.rounds++
	round := own.rounds
	var controllers []messages.NodeInfo
	node.step(CoreMembership, func() { controllers = own.view.Controllers(node.now()) })
	after := func(first string) {
		own.first = first
		if first == "" || round%constants.NeighbourRounds == 0 {
			m.neighbour(node, own)
		}
	}
	m.reportToAny(node, controllers, false, func(first string) {
		if first != "" {
			after(first)
			return
		}
		seed := m.fleet.seeds[node.random.Intn(len(m.fleet.seeds))]
		m.reportToAny(node, []messages.NodeInfo{{Address: seed}}, false, after)
	})
}

// neighbour shuffles with a neighbour.
func (m *memberList) neighbour(node *Node, own *seat) {
	partner := ""
	node.step(CoreMembership, func() { partner = own.view.Partner(node.now()) })
	if partner == "" {
		return
	}
	resp := &messages.Shuffle{}
	node.ask(CoreMembership, partner, messages.KindShuffle, &messages.Shuffle{Entries: own.view.Offer(node.now())}, resp, constants.CallTimeout, func(reached bool) {
		if reached {
			m.heard(node, resp.Entries)
		}
	})
}

// viewOf gives the view, or nil while the process is being started or let go.
func (m *memberList) viewOf(node *Node) *membership.View {
	if own, is := node.state[0].(*seat); is {
		return own.view
	}
	return nil
}

func (m *memberList) heard(node *Node, entries []messages.NodeInfo) {
	m.view(node).Observe(entries, node.now())
	m.saw(node, entries)
}

func (m *memberList) saw(node *Node, entries []messages.NodeInfo) {
	newest := int64(0)
	for _, entry := range entries {
		newest = max(newest, entry.Generation)
	}
	m.fleet.configuration.saw(node, newest)
}

// touched notes direct contact with a process.
func (m *memberList) touched(node *Node, key string) {
	m.view(node).NoteContact(key, node.now())
}

// all gives every entry, those silent for some time included.
func (m *memberList) all(node *Node) (entries []messages.NodeInfo) {
	node.step(CoreMembership, func() { entries = m.view(node).All("", node.now()) })
	return entries
}

// trusts tells whether a process takes another for live.
func (m *memberList) trusts(node *Node, key string) bool {
	for _, entry := range m.view(node).Live("", node.now()) {
		if membership.Key(entry) == key {
			return true
		}
	}
	return false
}
