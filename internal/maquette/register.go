package maquette

import (
	"encoding/json"
	"fmt"
	"math/rand"

	"lemonarch/internal/almanac"
	"lemonarch/internal/clamp"
	"lemonarch/internal/jig"
	"lemonarch/internal/manifold"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/vise"
)

// firstDisk is the identity of every acceptor's disk at the start.
const firstDisk = "first"

// register drives vise and clamp as foremen do, and the spreading of configurations.
// An acceptor's disk outlives its process; the time of a sync is not simulated.
type register struct {
	fleet     *Fleet
	acceptors map[string]*vise.Acceptor
	first     pattern.Register
	random    *rand.Rand
	chosen    int64
	changes   int
}

// office is what a foreman keeps of the register.
type office struct {
	acceptor *vise.Acceptor
	grants   *clamp.Grants
	known    pattern.Register
	counter  uint64
	body     []byte
}

// follower is what any other process keeps: the configuration in force.
type follower struct {
	config  *jig.Config
	pulling bool
	body    []byte
}

func newRegister(fleet *Fleet) *register {
	made := &register{fleet: fleet, acceptors: map[string]*vise.Acceptor{}, random: rand.New(rand.NewSource(fleet.Plan.Seed + 43))}
	for _, seed := range fleet.seeds {
		made.first.Acceptors = append(made.first.Acceptors, pattern.Member{Disk: firstDisk, Address: seed})
	}
	for _, seed := range fleet.seeds {
		made.acceptors[seed] = vise.NewAcceptor(pattern.AcceptorRecord{Disk: firstDisk, First: made.first.Acceptors})
	}
	return made
}

// Name names it.
func (*register) Name() string { return "configuration" }

func (register *register) office(node *Node) *office {
	own, _ := node.state[3].(*office)
	return own
}

// Begin starts a foreman's seat, or a follower.
func (register *register) Begin(node *Node) any {
	node.answerers[pattern.KindConfigPush] = reads(node, CoreConfig, func(push *pattern.ConfigPush) tongs.Writable {
		if len(push.Pass) > 0 {
			node.after(0, func() { register.passOn(node, push) })
		}
		register.take(node, push.Generation, push.Body)
		return taken()
	})
	acceptor := register.acceptors[node.own.Address]
	if acceptor == nil {
		node.after(almanac.StartPause*2, func() { register.pull(node) })
		return &follower{}
	}
	own := &office{acceptor: acceptor, grants: clamp.NewGrants(node.now(), node.life == 1), known: register.first}
	node.answerers[pattern.KindPrepare] = reads(node, CoreRegister, func(question *pattern.Prepare) tongs.Writable {
		answer, _ := acceptor.Prepare(question)
		return &answer
	})
	node.answerers[pattern.KindAccept] = reads(node, CoreRegister, func(question *pattern.Accept) tongs.Writable {
		answer, _ := acceptor.Accept(question)
		return &answer
	})
	node.answerers[pattern.KindAsk] = reads(node, CoreHolds, func(question *pattern.HoldAsk) tongs.Writable {
		answer := own.grants.Ask(*question, acceptor.Value().Duty, node.now())
		return &answer
	})
	node.answerers[pattern.KindConfigPull] = reads(node, CoreConfig, func(*pattern.ConfigPull) tongs.Writable {
		return &pattern.ConfigPush{Generation: node.generation, Body: own.body}
	})
	node.after(almanac.StartPause*2, func() { register.pull(node) })
	return own
}

// Drop lets go of the configuration.
func (register *register) Drop(node *Node) { node.state[3] = nil }

// take puts a newer configuration in force.
func (register *register) take(node *Node, generation int64, body []byte) {
	if generation <= node.generation || len(body) == 0 {
		return
	}
	node.step(CoreConfig, func() {
		config, failure := jig.Parse(body)
		if failure != nil {
			return
		}
		node.generation = config.Generation
		if view := register.fleet.members.viewOf(node); view != nil {
			view.SetGeneration(config.Generation)
		}
		if own := register.office(node); own != nil {
			own.body = body
		} else if other, is := node.state[3].(*follower); is {
			other.config, other.body = config, body
			if own := register.fleet.workers.placing(node); own != nil {
				own.bench.SetConfig(config)
			}
		}
	})
}

// passOn sends a configuration on to the part of the zone that came with it.
func (register *register) passOn(node *Node, push *pattern.ConfigPush) {
	for _, send := range manifold.Split(push.Pass, almanac.BodyFan) {
		var try func(address string, pass []string)
		try = func(address string, pass []string) {
			part := &pattern.ConfigPush{Generation: push.Generation, Body: push.Body, Pass: pass}
			node.ask(CoreConfig, address, pattern.KindConfigPush, part, &pattern.Nothing{}, almanac.CallTime, func(reached bool) {
				if !reached && len(pass) > 0 {
					try(pass[0], pass[1:])
				}
			})
		}
		try(send.Address, send.Pass)
	}
}

// saw pulls a configuration that somebody was seen to have.
func (register *register) saw(node *Node, generation int64) {
	if other, is := node.state[3].(*follower); is && generation > node.generation && !other.pulling {
		other.pulling = true
		register.pull(node)
		return
	}
	if register.office(node) != nil && generation > node.generation {
		register.pull(node)
	}
}

// pull asks foremen, the nearest that answer first, until one does.
func (register *register) pull(node *Node) {
	var foremen []pattern.Entry
	node.step(CoreConfig, func() { foremen = register.fleet.members.view(node).Foremen(node.now()) })
	address := register.fleet.seeds[node.random.Intn(len(register.fleet.seeds))]
	if len(foremen) > 0 {
		address = foremen[0].Address
	}
	if address == node.own.Address {
		node.after(almanac.StartPause, func() { register.pull(node) })
		return
	}
	push := &pattern.ConfigPush{}
	node.ask(CoreConfig, address, pattern.KindConfigPull, &pattern.ConfigPull{Known: node.generation}, push, almanac.CallTime, func(reached bool) {
		if reached {
			register.take(node, push.Generation, push.Body)
		} else {
			register.fleet.members.view(node).Failed(address, node.now())
		}
		if !reached && node.generation < register.chosen {
			node.after(almanac.StartPause, func() { register.pull(node) })
			return
		}
		if other, is := node.state[3].(*follower); is {
			other.pulling = false
		}
	})
}

// change has a foreman take a new configuration, as an operator does.
func (register *register) change(node *Node) {
	fleet := register.fleet
	register.changes++
	version := pattern.Version{Generation: register.chosen + 1, Base: register.chosen}
	body := register.body(version.Generation)
	version.Hash = jig.Hash(body)
	var outcome vise.Outcome
	begun := fleet.world.Now
	register.propose(node, vise.Replace(version, body, &outcome), fleet.world.Now.Plus(almanac.RegisterTime), func(value *pattern.Register) {
		if value == nil {
			fleet.troubles.refused("configuration")
			return
		}
		register.chosen = max(register.chosen, value.Current.Generation)
		fleet.troubles.track("configuration", node, func(one *Node) bool { return one.generation >= value.Current.Generation })
		register.take(node, value.Current.Generation, value.Body)
		// The call is acknowledged when all have it or the time for it is over.
		fleet.workers.spread(node, CoreConfig, &pattern.Relay{Generation: value.Current.Generation, Body: value.Body}, almanac.PushTime, func() {
			fleet.troubles.acknowledged("configuration", fleet.world.Now.Since(begun))
		})
	})
}

// body makes a configuration of about the planned length.
func (register *register) body(generation int64) []byte {
	config := map[string]any{"generation": generation, "limits": struct{}{}}
	var services, routes []map[string]any
	for model := 0; model < register.fleet.Plan.Models; model++ {
		services = append(services, map[string]any{"name": fmt.Sprintf("model-%02d", model), "conn-limit": 520,
			"engine": map[string]int{"capacity": 16, "cache-tokens": 232000}})
	}
	for length := 0; length < register.fleet.Plan.ConfigBytes; {
		route := map[string]any{"name": fmt.Sprintf("route-%05d", len(routes)), "host": fmt.Sprintf("tenant-%05d.example", len(routes)),
			"path-prefix": "/v1/", "route-kind": "streaming", "cutoff-ms": 20000, "setpoint-ms": 470, "gap-setpoint-ms": 76,
			"backend": fmt.Sprintf("model-%02d", len(routes)%register.fleet.Plan.Models), "affine": true, "resumable": true, "priority": len(routes) % 3}
		text, _ := json.Marshal(route)
		length += len(text) + 1
		routes = append(routes, route)
	}
	config["backends"], config["channels"] = services, routes
	text, _ := json.Marshal(config)
	return text
}
