package hollowfleet

import (
	"encoding/json"
	"fmt"
	"math/rand"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/control/broadcast"
	"lemonarch/internal/control/lease"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// firstDisk is the identity of every acceptor's disk at the start.
const firstDisk = "first"

// configuration drives register and lease as controllers do, and the spreading of configurations.
// An acceptor's disk outlives its process; the time of a sync is not simulated.
type configuration struct {
	fleet     *Fleet
	acceptors map[string]*register.Acceptor
	first     messages.RegisterValue
	random    *rand.Rand
	chosen    int64
	changes   int
}

// registerState is what a controller keeps of the register.
type registerState struct {
	acceptor *register.Acceptor
	grants   *lease.Grantor
	known    messages.RegisterValue
	counter  uint64
	body     []byte
}

// follower is what any other process keeps: the configuration in force.
type follower struct {
	config  *routeconfig.Config
	pulling bool
	body    []byte
}

func newRegister(fleet *Fleet) *configuration {
	made := &configuration{fleet: fleet, acceptors: map[string]*register.Acceptor{}, random: rand.New(rand.NewSource(fleet.Plan.Seed + 43))}
	for _, seed := range fleet.seeds {
		made.first.Acceptors = append(made.first.Acceptors, messages.Member{Disk: firstDisk, Address: seed})
	}
	for _, seed := range fleet.seeds {
		made.acceptors[seed] = register.NewAcceptor(messages.AcceptorRecord{Disk: firstDisk, First: made.first.Acceptors})
	}
	return made
}

// Name names it.
func (*configuration) Name() string { return "configuration" }

func (c *configuration) stateOf(node *Node) *registerState {
	own, _ := node.state[3].(*registerState)
	return own
}

// Begin starts a controller's seat, or a follower.
func (c *configuration) Begin(node *Node) any {
	node.answerers[messages.KindConfigPush] = reads(node, CoreConfig, func(push *messages.ConfigPush) transport.Marshaler {
		if len(push.ForwardTo) > 0 {
			node.after(0, func() { c.passOn(node, push) })
		}
		c.take(node, push.Generation, push.Body)
		// A push without a body only says that there is one.
		c.saw(node, push.Generation)
		return &messages.Ack{Accepted: node.generation >= push.Generation}
	})
	acceptor := c.acceptors[node.own.Address]
	if acceptor == nil {
		node.after(constants.StartBackoff*2, func() { c.pull(node) })
		return &follower{}
	}
	own := &registerState{acceptor: acceptor, grants: lease.NewGrantor(node.now(), node.life == 1), known: c.first}
	node.answerers[messages.KindPrepare] = reads(node, CoreRegister, func(req *messages.PrepareRequest) transport.Marshaler {
		resp, _ := acceptor.Prepare(req)
		return &resp
	})
	node.answerers[messages.KindAccept] = reads(node, CoreRegister, func(req *messages.AcceptRequest) transport.Marshaler {
		resp, _ := acceptor.Accept(req)
		return &resp
	})
	node.answerers[messages.KindLease] = reads(node, CoreHolds, func(req *messages.LeaseRequest) transport.Marshaler {
		resp := own.grants.Grant(*req, acceptor.Value().Leadership, node.now())
		return &resp
	})
	node.answerers[messages.KindConfigPull] = reads(node, CoreConfig, func(*messages.ConfigPull) transport.Marshaler {
		return &messages.ConfigPush{Generation: node.generation, Body: own.body}
	})
	node.after(constants.StartBackoff*2, func() { c.pull(node) })
	return own
}

// Drop lets go of the configuration.
func (c *configuration) Drop(node *Node) { node.state[3] = nil }

// take puts a newer configuration in force.
func (c *configuration) take(node *Node, generation int64, body []byte) {
	if generation <= node.generation || len(body) == 0 {
		return
	}
	node.step(CoreConfig, func() {
		config, err := routeconfig.Parse(body)
		if err != nil {
			return
		}
		node.generation = config.Generation
		if view := c.fleet.members.viewOf(node); view != nil {
			view.SetGeneration(config.Generation)
		}
		if own := c.stateOf(node); own != nil {
			own.body = body
		} else if other, is := node.state[3].(*follower); is {
			other.config, other.body = config, body
			if own := c.fleet.registrations.placing(node); own != nil {
				own.scheduler.SetConfig(config)
			}
		}
	})
}

// forward sends a configuration on to the part of the zone that came with it.
func (c *configuration) passOn(node *Node, push *messages.ConfigPush) {
	for _, send := range broadcast.Split(push.ForwardTo, constants.BodyFanout) {
		var attempt func(address string, pass []string)
		attempt = func(address string, pass []string) {
			part := &messages.ConfigPush{Generation: push.Generation, Body: push.Body, ForwardTo: pass}
			node.ask(CoreConfig, address, messages.KindConfigPush, part, &messages.Ack{}, constants.CallTimeout, func(reached bool) {
				if !reached && len(pass) > 0 {
					attempt(pass[0], pass[1:])
				}
			})
		}
		attempt(send.Address, send.ForwardTo)
	}
}

// saw pulls a configuration that somebody was seen to have.
func (c *configuration) saw(node *Node, generation int64) {
	if other, is := node.state[3].(*follower); is && generation > node.generation && !other.pulling {
		other.pulling = true
		c.pull(node)
		return
	}
	if c.stateOf(node) != nil && generation > node.generation {
		c.pull(node)
	}
}

// pull asks controllers, the nearest that answer first, until one does.
func (c *configuration) pull(node *Node) {
	var controllers []messages.NodeInfo
	node.step(CoreConfig, func() { controllers = c.fleet.members.view(node).Controllers(node.now()) })
	address := c.fleet.seeds[node.random.Intn(len(c.fleet.seeds))]
	if len(controllers) > 0 {
		address = controllers[0].Address
	}
	if address == node.own.Address {
		node.after(constants.StartBackoff, func() { c.pull(node) })
		return
	}
	push := &messages.ConfigPush{}
	node.ask(CoreConfig, address, messages.KindConfigPull, &messages.ConfigPull{Known: node.generation}, push, constants.CallTimeout, func(reached bool) {
		if reached {
			c.take(node, push.Generation, push.Body)
		} else {
			c.fleet.members.view(node).Failed(address, node.now())
		}
		if !reached && node.generation < c.chosen {
			node.after(constants.StartBackoff, func() { c.pull(node) })
			return
		}
		if other, is := node.state[3].(*follower); is {
			other.pulling = false
		}
	})
}

// change has a controller take a new configuration, as an operator does.
func (c *configuration) change(node *Node) {
	fleet := c.fleet
	c.changes++
	if !fleet.contacts.attached(node) {
		fleet.troubles.refused("configuration")
		return
	}
	version := messages.Version{Generation: c.chosen + 1, Base: c.chosen}
	body := c.body(version.Generation)
	version.Hash = routeconfig.Hash(body)
	var result register.Result
	started := fleet.world.Now
	c.propose(node, register.Replace(version, body, &result), fleet.world.Now.Add(constants.RegisterTimeout), func(value *messages.RegisterValue) {
		if value == nil {
			fleet.troubles.refused("configuration")
			return
		}
		c.chosen = max(c.chosen, value.Current.Generation)
		fleet.troubles.track("configuration", node, func(entry *Node) bool { return entry.generation >= value.Current.Generation })
		c.take(node, value.Current.Generation, value.Body)
		// The call is acknowledged when all have it or the time for it is over.
		fleet.registrations.spread(node, CoreConfig, &messages.RelayRequest{Generation: value.Current.Generation, Body: value.Body}, constants.PushTimeout, func() {
			fleet.troubles.acknowledged("configuration", fleet.world.Now.Sub(started))
		})
	})
}

// body makes a configuration of about the planned length.
func (c *configuration) body(generation int64) []byte {
	plan := &c.fleet.Plan
	config := routeconfig.Config{Generation: generation}
	for model := 0; model < plan.Models; model++ {
		config.Services = append(config.Services, routeconfig.Service{Name: fmt.Sprintf("model-%02d", model), ConnLimit: 520,
			Engine: &routeconfig.Engine{Capacity: 16, CacheTokens: 232000}})
	}
	for length := 0; length < plan.ConfigBytes; {
		number := len(config.Routes)
		route := routeconfig.Route{Name: fmt.Sprintf("route-%05d", number), Host: fmt.Sprintf("tenant-%05d.example", number),
			Prefix: "/v1/", KindName: "streaming", CutoffMs: 20000, SetpointMs: 470, GapMs: 76,
			Backend: fmt.Sprintf("model-%02d", number%plan.Models), Affine: true, Resumable: true, Priority: number % 3}
		text, _ := json.Marshal(route)
		length += len(text) + 1
		config.Routes = append(config.Routes, route)
	}
	return config.Encode()
}
