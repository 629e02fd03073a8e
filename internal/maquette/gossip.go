package maquette

import (
	"fmt"
	"hash/fnv"
	"math/rand"

	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/pattern"
	"lemonarch/internal/plumbline"
	"lemonarch/internal/tongs"
	"lemonarch/internal/watch"
	"lemonarch/internal/workbench"
)

// gossip drives the utilization and weights of workbench, gauge and plumbline as
// jointer does: each placing process tells all it knows, once a period.
type gossip struct {
	fleet *Fleet
	// heard is when a process last had word from another, by their keys.
	heard  map[string]map[string]watch.Moment
	ages   ages
	tenant *rand.Zipf
	random *rand.Rand
	heads  map[*byte]packetHead
}

func newGossip(fleet *Fleet) *gossip {
	random := rand.New(rand.NewSource(fleet.Plan.Seed + 31))
	return &gossip{fleet: fleet, heard: map[string]map[string]watch.Moment{}, heads: map[*byte]packetHead{}, random: random,
		tenant: rand.NewZipf(random, 1.1, 8, uint64(fleet.Plan.Tenants-1))}
}

// Name names it.
func (*gossip) Name() string { return "gossip" }

// Begin starts the gossip of a process that places work.
func (gossip *gossip) Begin(node *Node) any {
	if !node.places() {
		return nil
	}
	bench := node.state[1].(*workbench.Workbench)
	key := bellows.Key(node.own)
	heard := map[string]watch.Moment{}
	gossip.heard[key] = heard
	whole := reads(node, CoreGossip, func(packet *pattern.Gossip) tongs.Writable {
		bench.Heard(packet, node.now())
		return taken()
	})
	node.answerers[pattern.KindGossip] = func(body []byte) tongs.Writable {
		from, generation := gossip.head(body)
		heard[from] = node.now()
		gossip.fleet.members.touched(node, from)
		gossip.fleet.register.saw(node, generation)
		if node.witness {
			return whole(body)
		}
		return taken()
	}
	node.answerers[pattern.KindReading] = reads(node, CoreReadings, func(told *pattern.ReadingTold) tongs.Writable {
		bench.PeerReads(told, node.now())
		return taken()
	})
	node.every(almanac.GossipPeriod, func() {
		var packet *pattern.Gossip
		node.step(CoreGossip, func() {
			packet = bench.Gossip(node.now())
			packet.Generation = node.generation
		})
		node.spread(gossip.peers(node), CoreGossip, pattern.KindGossip, packet, almanac.CallTime, nil)
	})
	if node.own.Role == bellows.RoleForge {
		gossip.serve(node, bench)
	}
	return nil
}

// packetHead is what every process needs of a packet.
type packetHead struct {
	from       string
	generation int64
}

// headsKept bounds the packets whose heads are kept for their other receivers.
const headsKept = 4000

// head reads the head of a packet, once for all its receivers: only witnesses pay for
// reading it whole.
func (gossip *gossip) head(body []byte) (string, int64) {
	one, known := gossip.heads[&body[0]]
	if !known {
		packet := &pattern.Gossip{}
		_ = tongs.Read(body, packet)
		one = packetHead{packet.From, packet.Generation}
		if len(gossip.heads) >= headsKept {
			clear(gossip.heads)
		}
		gossip.heads[&body[0]] = one
	}
	return one.from, one.generation
}

// Drop has nothing of its own: gauge and index go with the roster.
func (*gossip) Drop(*Node) {}

func (gossip *gossip) peers(node *Node) []pattern.Entry {
	return append(gossip.fleet.members.known(node, bellows.RoleForge), gossip.fleet.members.known(node, bellows.RoleLocker)...)
}

// serve places requests at workers, so that there is something to gossip about. No
// bytes of them are moved: what is measured as placement is the index alone.
func (gossip *gossip) serve(node *Node, bench *workbench.Workbench) {
	forges := 0
	for _, one := range gossip.fleet.nodes {
		if one.own.Role == bellows.RoleForge {
			forges++
		}
	}
	rate := gossip.fleet.Plan.Requests / float64(forges)
	if rate <= 0 {
		return
	}
	var next func()
	next = func() {
		gossip.request(node, bench)
		node.after(seconds(node.random.ExpFloat64()/rate), next)
	}
	node.after(seconds(node.random.ExpFloat64()/rate), next)
}

func (gossip *gossip) request(node *Node, bench *workbench.Workbench) {
	model := gossip.random.Intn(gossip.fleet.Plan.Models)
	prompt, long := gossip.prompt(node, model)
	var worker string
	fresh := 0
	node.step(CorePlacement, func() {
		named := bench.Roster.Named(fmt.Sprintf("model-%02d", model))
		if len(named) == 0 {
			return
		}
		worker = named[node.random.Intn(len(named))].ID
		fresh = bench.Index.Placed(&prompt, worker, node.now())
		bench.Gauge.Of(worker).Begin(false, fresh)
	})
	if worker == "" {
		return
	}
	if long {
		reading := float64(fresh) / almanac.ReadRate
		told := &pattern.ReadingTold{From: bellows.Key(node.own), Worker: worker, Reading: reading}
		node.spread(gossip.peers(node), CoreReadings, pattern.KindReading, told, almanac.CallTime, nil)
	}
	node.after(watch.Milliseconds(gossip.fleet.Plan.HeldMs*node.random.ExpFloat64()), func() {
		node.step(CorePlacement, func() {
			vitals := bench.Gauge.Of(worker)
			vitals.Read(fresh)
			vitals.End(false)
		})
	})
}

// prompt draws a prompt: a part that a model's requests share, a part of the tenant,
// and the request's own. The lengths are assumed.
func (gossip *gossip) prompt(node *Node, model int) (plumbline.Prompt, bool) {
	long := node.random.Float64() < gossip.fleet.Plan.LongShare
	tenant := gossip.tenant.Uint64()
	shared, kept, own := 430, 600, 300
	if long {
		kept, own = 6000, 3000
	}
	prompt := plumbline.Prompt{Tokens: shared + kept + own, Out: 200}
	for _, part := range []struct {
		name   string
		tokens int
	}{{fmt.Sprint("model", model), shared}, {fmt.Sprint("model", model, "tenant", tenant, long), kept}, {fmt.Sprint(node.own.Name, node.random.Int63()), own}} {
		sum := fnv.New64a()
		sum.Write([]byte(part.name))
		prompt.Parts = append(prompt.Parts, plumbline.Part{Name: sum.Sum64(), Tokens: part.tokens})
	}
	return prompt, long
}

// sample looks now and then at how old the word is that processes have of each other.
func (gossip *gossip) sample() {
	live := gossip.fleet.live("")
	for _, node := range live {
		if !node.places() {
			continue
		}
		heard := gossip.heard[bellows.Key(node.own)]
		for _, other := range live {
			if other == node || !other.places() {
				continue
			}
			at, known := heard[bellows.Key(other.own)]
			gossip.ages.add(gossip.fleet.world.Now.Since(at), known)
		}
	}
	gossip.fleet.world.After(seconds(5.3), gossip.sample)
}
