// Package jointer joins placement with the other nodes: what a process that
// places work needs beside its core. Forges and lockers share it.
package jointer

import (
	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/carriage"
	"lemonarch/internal/chisel"
	"lemonarch/internal/jig"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/trestle"
	"lemonarch/internal/watch"
	"lemonarch/internal/workbench"
)

// Jointer is the placing part of one process.
type Jointer struct {
	Stand   *trestle.Trestle
	Bench   *workbench.Workbench
	Chest   *chisel.Chest
	Courier carriage.Courier
	alerted bool
	logged  map[string]int64
	tables  tables
}

// New makes the placing part and registers what it answers.
func New(stand *trestle.Trestle) *Jointer {
	jointer := &Jointer{Stand: stand, Bench: workbench.New(stand.Own, stand.Boot.Heartbeat()), Chest: chisel.NewChest(),
		logged: map[string]int64{}, tables: tables{read: map[string]pattern.Digest{}}}
	jointer.Courier = carriage.Courier{Bench: jointer.Bench, Chest: jointer.Chest, Budget: jointer.budget}
	stand.Answer(pattern.KindRosterPush, jointer.rosterPushed)
	stand.OnWord(jointer.heardForeman)
	stand.Answer(pattern.KindGossip, jointer.gossiped)
	stand.Answer(pattern.KindPressure, jointer.pressed)
	jointer.Bench.OnPressure(jointer.press)
	stand.Answer(pattern.KindReading, jointer.reads)
	jointer.Bench.OnReading(jointer.tellReading)
	jointer.reports()
	stand.OnConfig(func(config *jig.Config) { jointer.Bench.SetConfig(config) })
	return jointer
}

// Start begins the loops.
func (jointer *Jointer) Start() {
	stop := jointer.Stand.Stop
	go jointer.learnWorkers()
	go watch.Every(almanac.GossipPeriod, stop, jointer.gossip)
	go watch.Every(almanac.PumpPeriod, stop, func() { jointer.Bench.PumpWaiting(watch.Now()) })
	go watch.Every(almanac.GossipPeriod/2, stop, func() { carriage.SweepPipes(jointer.Chest, jointer.Bench) })
}

// budget shares a service's connection limit among the nodes that place work.
func (jointer *Jointer) budget(service string) int {
	config := jointer.Stand.Config()
	if config == nil {
		return 0
	}
	one := config.Service(service)
	if one == nil || one.ConnLimit == 0 {
		return 0
	}
	nodes := 1 + len(jointer.Stand.Live(bellows.RoleForge)) + len(jointer.Stand.Live(bellows.RoleLocker))
	share := int(almanac.PipeShare * float64(one.ConnLimit) / float64(nodes))
	if jointer.Stand.Own.Role == bellows.RoleLocker {
		// Whoever holds the lots runs all items of a route; the others run none.
		share *= 3
	}
	return max(share, almanac.LeastPipes)
}

func (jointer *Jointer) gossiped(body []byte) ([]byte, error) {
	packet := &pattern.Gossip{}
	if failure := tongs.Read(body, packet); failure != nil {
		return nil, failure
	}
	jointer.Bench.Heard(packet, watch.Now())
	jointer.Stand.Touched(packet.From)
	jointer.Stand.SawGeneration(packet.Generation)
	return tongs.Write(&pattern.Nothing{Taken: true})
}

// press tells at once that requests wait here, so that work of a lower rank makes
// room on every node well before the next gossip.
func (jointer *Jointer) press(words []pattern.Pressure) {
	peers := append(jointer.Stand.Live(bellows.RoleLocker), jointer.Stand.Live(bellows.RoleForge)...)
	told := &pattern.PressureTold{From: bellows.Key(jointer.Stand.Own), Words: words}
	go jointer.Stand.Spread(peers, pattern.KindPressure, told, almanac.CallTime, nil)
}

func (jointer *Jointer) pressed(body []byte) ([]byte, error) {
	told := &pattern.PressureTold{}
	if failure := tongs.Read(body, told); failure != nil {
		return nil, failure
	}
	sharers := 1
	if jointer.Stand.Own.Role == bellows.RoleForge {
		sharers = len(jointer.Stand.Live(bellows.RoleForge)) + 1
	}
	jointer.Bench.Pressed(told, sharers, watch.Now())
	return tongs.Write(&pattern.Nothing{Taken: true})
}

// tellReading tells peers at once that a worker reads a long prompt.
func (jointer *Jointer) tellReading(worker string, milliseconds float64) {
	told := &pattern.ReadingTold{From: bellows.Key(jointer.Stand.Own), Worker: worker, Reading: milliseconds}
	go func() {
		peers := append(jointer.Stand.Live(bellows.RoleForge), jointer.Stand.Live(bellows.RoleLocker)...)
		jointer.Stand.Spread(peers, pattern.KindReading, told, almanac.CallTime, nil)
	}()
}

func (jointer *Jointer) reads(body []byte) ([]byte, error) {
	told := &pattern.ReadingTold{}
	if failure := tongs.Read(body, told); failure != nil {
		return nil, failure
	}
	jointer.Bench.PeerReads(told, watch.Now())
	return tongs.Write(&pattern.Nothing{Taken: true})
}

// gossip tells utilization and weights to the peers that place work.
func (jointer *Jointer) gossip() {
	packet := jointer.Bench.Gossip(watch.Now())
	packet.Generation = jointer.Stand.Generation()
	peers := append(jointer.Stand.Live(bellows.RoleForge), jointer.Stand.Live(bellows.RoleLocker)...)
	jointer.Stand.Spread(peers, pattern.KindGossip, packet, almanac.CallTime, nil)
	placements, downgrades, alert := jointer.Bench.Alert()
	if alert && !jointer.alerted {
		jointer.Stand.Log.Warn("residency downgrades above threshold", "residency_route_downgrades", downgrades, "placements", placements)
	}
	jointer.alerted = alert
	jointer.logDisplacement()
}
