package hollowfleet

import (
	"fmt"
	"math/rand"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// answerer answers one kind of call, at once or later.
type answerer func(body []byte, reply func(transport.Marshaler))

// Node is one hollow process.
type Node struct {
	fleet     *Fleet
	own       messages.NodeInfo
	machine   int
	zone      int
	region    int
	down      bool
	life      int
	wire      *transport.Memory
	random    *rand.Rand
	answerers map[messages.Kind]answerer
	costs     [cores]Cost
	out, in   [ways]Traffic
	// What the mechanisms keep for this process, by their place in the fleet.
	state []any
	// The configuration in force here.
	generation int64
}

func portOf(role string) int {
	return map[string]int{membership.RoleController: constants.PortController, membership.RoleGateway: constants.PortGateway, membership.RoleStore: constants.PortStore}[role]
}

func newNode(fleet *Fleet, machine int, role string) *Node {
	zone := machine % fleet.Plan.Zones
	node := &Node{fleet: fleet, machine: machine, zone: zone, region: zone * fleet.Plan.Regions / fleet.Plan.Zones,
		random: rand.New(rand.NewSource(fleet.Plan.Seed*7919 + int64(machine)*3 + int64(portOf(role))))}
	node.own = messages.NodeInfo{Name: fmt.Sprintf("node-%04d", machine), Incarnation: 1_700_000_000_000_000_000 + int64(machine), Role: role,
		Zone: fmt.Sprintf("region-%d-zone-%d", node.region, zone), Address: fmt.Sprintf("10.%d.%d.%d:%d", zone, machine/250, machine%250, 7000+portOf(role))}
	if role != membership.RoleGateway {
		node.own.Disk = fmt.Sprintf("%016x", node.own.Incarnation*2654435761)
	}
	return node
}

// begin starts a life of the process: empty cores, timers, answers.
func (n *Node) begin() {
	n.down = false
	n.life++
	n.own.Incarnation += 1_000_000_000
	n.generation = 0
	n.answerers = map[messages.Kind]answerer{}
	n.state = make([]any, len(n.fleet.mechanisms))
	n.wire = n.fleet.network.Transport(n.own.Address)
	for i, mechanism := range n.fleet.mechanisms {
		n.state[i] = mechanism.Begin(n)
	}
	_ = n.wire.ServeAsync(func(kind messages.Kind, body []byte, reply func([]byte, error)) {
		entry := n.answerers[kind]
		if entry == nil {
			reply(nil, nil)
			return
		}
		incarnation := n.life
		entry(body, func(resp transport.Marshaler) {
			switch {
			case n.life != incarnation:
			case resp == nil:
				reply(nil, nil)
			default:
				reply(transport.Encode(resp))
			}
		})
	})
}

// end stops the process silently; the machine is silent from now on.
func (n *Node) end() {
	n.down = true
	n.life++
	n.wire.Close()
	n.state = nil
}

// places tells whether the process places work at workers.
func (n *Node) places() bool { return n.own.Role != membership.RoleController }

// now is the simulated moment.
func (n *Node) now() clock.Instant { return n.fleet.world.Now }

// after runs a function later, unless this life is over by then.
func (n *Node) after(span clock.Duration, function func()) {
	incarnation := n.life
	n.fleet.world.After(span, func() {
		if n.life == incarnation {
			function()
		}
	})
}

// every runs a function each period, from a random part of the first on.
func (n *Node) every(period clock.Duration, function func()) {
	var again func()
	again = func() {
		function()
		n.after(period, again)
	}
	n.after(clock.Duration(n.random.Int63n(int64(period))), again)
}

// post sends a call; then may be nil, and is run only in this life.
func (n *Node) post(address string, kind messages.Kind, body []byte, span clock.Duration, then func([]byte, error)) {
	incarnation := n.life
	n.wire.CallAsync(address, kind, body, span, func(resp []byte, err error) {
		if then != nil && n.life == incarnation {
			then(resp, err)
		}
	})
}

// ask sends a message and reads the answer into another; then is told whether that
// went well. Writing and reading are charged to the core, as is what then does.
func (n *Node) ask(core Core, address string, kind messages.Kind, req transport.Marshaler, resp transport.Unmarshaler, span clock.Duration, then func(reached bool)) {
	var body []byte
	n.step(core, func() { body, _ = req.MarshalMsg(nil) })
	n.post(address, kind, body, span, func(back []byte, err error) {
		n.step(core, func() {
			if err == nil {
				err = transport.Decode(back, resp)
			}
			then(err == nil)
		})
	})
}

// tell sends one message one way to each entry.
func (n *Node) tell(entries []messages.NodeInfo, core Core, kind messages.Kind, message transport.Marshaler) {
	var body []byte
	n.step(core, func() { body, _ = message.MarshalMsg(nil) })
	for _, entry := range entries {
		n.wire.NotifyAsync(entry.Address, kind, body)
	}
}

// reads makes an answerer of a function that takes a message and answers at once.
func reads[Message any, Pointer interface {
	*Message
	transport.Unmarshaler
}](node *Node, core Core, function func(Pointer) transport.Marshaler) answerer {
	return func(body []byte, reply func(transport.Marshaler)) {
		var resp transport.Marshaler
		node.step(core, func() {
			message := Pointer(new(Message))
			if transport.Decode(body, message) == nil {
				resp = function(message)
			}
		})
		reply(resp)
	}
}

// taken is the empty answer.
func taken() transport.Marshaler { return &messages.Ack{Accepted: true} }
