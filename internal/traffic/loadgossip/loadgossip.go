// Package loadgossip exchanges load, prefix residency and pressure with the other nodes that place
// requests on workers. Gateways and stores use it.
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

// Gossip contains the parts of a process that place requests on workers, and exchanges their state
// with other nodes.
type Gossip struct {
	Node      *agent.Agent
	Scheduler *admission.Scheduler
	Pool      *workerconn.Pool
	Sender    proxy.Sender
	// Traffic records summaries of the requests that this process places.
	Traffic *trafficstats.Recorder
	// alerted is true if the downgrade threshold was exceeded in the last gossip round. loggedCounts
	// is the sum of each route's preemption counts when they were last logged. Only gossipRound uses
	// them.
	alerted      bool
	loggedCounts map[string]int64
	workerTables workerTables

	// lock protects the fields below it.
	lock                sync.Mutex
	peers               peerSet
	replyPeers          replyPeers
	pressureForwardedAt clock.Instant
}

// New returns a Gossip for a process and registers the handlers of its messages.
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

// Start starts the periodic work: the first read of the workers, gossip, the scheduler's pump and
// the sweep of idle connections.
func (g *Gossip) Start() {
	stop := g.Node.Stop
	go g.syncWorkers()
	go clock.Every(constants.GossipPeriod, stop, g.gossipRound)
	go g.Scheduler.RunPump(stop)
	go clock.Every(constants.GossipPeriod/2, stop, func() { proxy.SweepConnections(g.Pool, g.Scheduler) })
}

// handleTrafficSummary returns the traffic summaries of this process, which forecasts are made from.
func (g *Gossip) handleTrafficSummary(*messages.TrafficSummaryRequest) (*messages.TrafficSummaryResponse, error) {
	summaries, observed := g.Traffic.Summaries(clock.Now())
	return &messages.TrafficSummaryResponse{ObservedMs: observed.Milliseconds(), Summaries: summaries}, nil
}
