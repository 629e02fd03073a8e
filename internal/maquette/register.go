package maquette

import (
	"encoding/json"
	"fmt"
	"math/rand"

	"lemonarch/internal/almanac"
	"lemonarch/internal/clamp"
	"lemonarch/internal/jig"
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

// seat is what a foreman keeps of the register.
type seat struct {
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

func (register *register) seat(node *Node) *seat {
	seat, _ := node.state[3].(*seat)
	return seat
}

// Begin starts a foreman's seat, or a follower.
func (register *register) Begin(node *Node) any {
	node.answerers[pattern.KindConfigPush] = reads(node, CoreConfig, func(push *pattern.ConfigPush) tongs.Writable {
		register.take(node, push)
		return taken()
	})
	acceptor := register.acceptors[node.own.Address]
	if acceptor == nil {
		node.after(almanac.StartPause*2, func() { register.pull(node) })
		return &follower{}
	}
	own := &seat{acceptor: acceptor, grants: clamp.NewGrants(node.now(), node.life == 1), known: register.first}
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
func (register *register) take(node *Node, push *pattern.ConfigPush) {
	if push.Generation <= node.generation || len(push.Body) == 0 {
		return
	}
	config, failure := jig.Parse(push.Body)
	if failure != nil {
		return
	}
	node.generation, node.takenAt = config.Generation, node.now()
	if own := register.seat(node); own != nil {
		own.body = push.Body
	} else if other, is := node.state[3].(*follower); is {
		other.config, other.body = config, push.Body
		if bench := register.fleet.workers.bench(node); bench != nil {
			bench.SetConfig(config)
		}
	}
}

// saw pulls a configuration that somebody was seen to have.
func (register *register) saw(node *Node, generation int64) {
	if other, is := node.state[3].(*follower); is && generation > node.generation && !other.pulling {
		other.pulling = true
		register.pull(node)
		return
	}
	if register.seat(node) != nil && generation > node.generation {
		register.pull(node)
	}
}

// pull asks foremen until one answers.
func (register *register) pull(node *Node) {
	var body []byte
	node.step(CoreConfig, func() { body, _ = (&pattern.ConfigPull{Known: node.generation}).MarshalMsg(nil) })
	address := register.fleet.seeds[node.random.Intn(len(register.fleet.seeds))]
	if address == node.own.Address {
		node.after(almanac.StartPause, func() { register.pull(node) })
		return
	}
	node.post(address, pattern.KindConfigPull, body, almanac.CallTime, func(answer []byte, failure error) {
		push := &pattern.ConfigPush{}
		if failure == nil {
			node.step(CoreConfig, func() {
				if tongs.Read(answer, push) == nil {
					register.take(node, push)
				}
			})
		}
		if failure != nil && node.generation < register.chosen {
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
		message := &pattern.ConfigPush{Generation: value.Current.Generation, Body: value.Body}
		node.step(CoreConfig, func() { register.take(node, message) })
		// The call is acknowledged when all have it or the time for it is over.
		others, acknowledged := fleet.workers.others(node), false
		left := len(others)
		tell := func() {
			if !acknowledged {
				acknowledged = true
				fleet.troubles.acknowledged("configuration", fleet.world.Now.Since(begun))
			}
		}
		node.spread(others, CoreConfig, pattern.KindConfigPush, message, almanac.PushTime, func(pattern.Entry, bool) {
			if left--; left == 0 {
				tell()
			}
		})
		node.after(almanac.PushTime, tell)
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
