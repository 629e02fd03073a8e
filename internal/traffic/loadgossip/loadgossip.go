// Package loadgossip joins placement with the other nodes: what a process that
// places work needs beside its core. Gateways and stores share it.
package loadgossip

import (
	"sync"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/control/agent"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/process"
	"lemonarch/internal/traffic/admission"
	"lemonarch/internal/traffic/proxy"
	"lemonarch/internal/traffic/workerconn"
)

// Gossip is the placing part of one process.
type Gossip struct {
	Node      *agent.Agent
	Scheduler *admission.Scheduler
	Pool      *workerconn.Pool
	Sender    proxy.Sender
	alerted   bool
	logged    map[string]int64
	tables    tables

	lock     sync.Mutex
	circle   circle
	ties     ties
	passedAt clock.Instant
}

// New makes the placing part and registers what it answers.
func New(runtime *agent.Agent) *Gossip {
	gossip := &Gossip{Node: runtime, Scheduler: admission.New(runtime.Self, runtime.Settings.Heartbeat()), Pool: workerconn.NewPool(),
		logged: map[string]int64{}, tables: tables{read: map[string]messages.Digest{}}}
	gossip.Sender = proxy.Sender{Scheduler: gossip.Scheduler, Pool: gossip.Pool, Budget: gossip.budget}
	process.Handle(runtime.Runtime, messages.KindWorkersUpdate, gossip.rosterPushed)
	runtime.OnControllerReport(gossip.heardController)
	process.Handle(runtime.Runtime, messages.KindGossip, gossip.gossiped)
	process.Handle(runtime.Runtime, messages.KindPressure, gossip.pressed)
	gossip.Scheduler.OnPressure(gossip.press)
	process.Handle(runtime.Runtime, messages.KindPrefill, gossip.reads)
	gossip.Scheduler.OnReading(gossip.tellReading)
	gossip.Scheduler.OnEjection(gossip.logEjection)
	gossip.reports()
	runtime.OnConfig(func(config *routeconfig.Config) { gossip.Scheduler.SetConfig(config) })
	return gossip
}

// Start begins the loops.
func (g *Gossip) Start() {
	stop := g.Node.Stop
	go g.learnWorkers()
	go clock.Every(constants.GossipPeriod, stop, g.gossip)
	go g.Scheduler.KeepPumping(stop)
	go clock.Every(constants.GossipPeriod/2, stop, func() { proxy.SweepConnections(g.Pool, g.Scheduler) })
}
