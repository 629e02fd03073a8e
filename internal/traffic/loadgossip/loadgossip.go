// Package loadgossip exchanges load, prefixes and pressure with the other nodes: what a process that
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
	"lemonarch/internal/traffic/trafficstats"
	"lemonarch/internal/traffic/workerconn"
)

// Gossip is the part of a process that places work, with its exchange with other nodes.
type Gossip struct {
	Node      *agent.Agent
	Scheduler *admission.Scheduler
	Pool      *workerconn.Pool
	Sender    proxy.Sender
	// Traffic keeps the summaries of the requests that this process places.
	Traffic      *trafficstats.Recorder
	alerted      bool
	loggedCounts       map[string]int64
	workerTables workerTables

	lock        sync.Mutex
	peers       peerSet
	replyPeers  replyPeers
	forwardedAt clock.Instant
}

// New makes it and registers the requests that it handles.
func New(runtime *agent.Agent) *Gossip {
	gossip := &Gossip{Node: runtime, Scheduler: admission.New(runtime.Self, runtime.Settings.Heartbeat()), Pool: workerconn.NewPool(),
		Traffic: trafficstats.New(clock.Now()), loggedCounts: map[string]int64{}, workerTables: workerTables{lastRead: map[string]messages.Digest{}}}
	gossip.Sender = proxy.Sender{Scheduler: gossip.Scheduler, Pool: gossip.Pool, Budget: gossip.budget}
	process.Handle(runtime.Runtime, messages.KindWorkersUpdate, gossip.handleWorkersUpdate)
	runtime.OnControllerReport(gossip.handleControllerReport)
	process.Handle(runtime.Runtime, messages.KindGossip, gossip.handleGossip)
	process.Handle(runtime.Runtime, messages.KindPressure, gossip.handlePressure)
	gossip.Scheduler.OnPressure(gossip.notifyPressure)
	process.Handle(runtime.Runtime, messages.KindTrafficSummary, gossip.handleTrafficSummary)
	process.Handle(runtime.Runtime, messages.KindPrefill, gossip.handlePrefill)
	gossip.Scheduler.OnPrefill(gossip.notifyPrefill)
	gossip.Scheduler.OnEjection(gossip.logEjection)
	gossip.registerReports()
	runtime.OnConfig(func(config *routeconfig.Config) { gossip.Scheduler.SetConfig(config) })
	return gossip
}

// Start begins the loops.
func (g *Gossip) Start() {
	stop := g.Node.Stop
	go g.syncWorkers()
	go clock.Every(constants.GossipPeriod, stop, g.gossipRound)
	go g.Scheduler.RunPump(stop)
	go clock.Every(constants.GossipPeriod/2, stop, func() { proxy.SweepConnections(g.Pool, g.Scheduler) })
}

// handleTrafficSummary gives the summaries of this process, to whoever forecasts.
func (g *Gossip) handleTrafficSummary(*messages.TrafficSummaryRequest) (*messages.TrafficSummaryResponse, error) {
	summaries, observed := g.Traffic.Summaries(clock.Now())
	return &messages.TrafficSummaryResponse{ObservedMs: observed.Milliseconds(), Summaries: summaries}, nil
}
