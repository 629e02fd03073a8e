// Package jointer joins placement with the other nodes: what a process that
// places work needs beside its core. Forges and lockers share it.
package jointer

import (
	"sync"

	"lemonarch/internal/almanac"
	"lemonarch/internal/carriage"
	"lemonarch/internal/chisel"
	"lemonarch/internal/jig"
	"lemonarch/internal/pattern"
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

	lock     sync.Mutex
	circle   circle
	ties     ties
	passedAt watch.Moment
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
	jointer.Bench.OnEjection(jointer.logEjection)
	jointer.reports()
	stand.OnConfig(func(config *jig.Config) { jointer.Bench.SetConfig(config) })
	return jointer
}

// Start begins the loops.
func (jointer *Jointer) Start() {
	stop := jointer.Stand.Stop
	go jointer.learnWorkers()
	go watch.Every(almanac.GossipPeriod, stop, jointer.gossip)
	go jointer.Bench.KeepPumping(stop)
	go watch.Every(almanac.GossipPeriod/2, stop, func() { carriage.SweepPipes(jointer.Chest, jointer.Bench) })
}
