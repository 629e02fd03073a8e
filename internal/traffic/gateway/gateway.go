// Package gateway is the process that takes requests at the edge.
package gateway

import (
	"errors"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/go-chi/chi/v5"
	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/control/agent"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/httpreply"
	"lemonarch/internal/platform/inbound"
	"lemonarch/internal/platform/process"
	"lemonarch/internal/platform/settings"
	"lemonarch/internal/traffic/loadgossip"
	"lemonarch/internal/traffic/proxy"
)

// Gateway is one edge process.
type Gateway struct {
	Node    *agent.Agent
	Gossip  *loadgossip.Gossip
	Proxy   *proxy.Proxy
	configConfirmed atomic.Bool
	// Set by Run, read by Shutdown.
	ingressServer atomic.Pointer[http.Server]
	readinessServer   atomic.Pointer[http.Server]
	clients atomic.Pointer[clientConns]
}

// New prepares the process.
func New(nodeSettings *settings.Settings, log hclog.Logger) *Gateway {
	runtime := agent.New(nodeSettings, membership.RoleGateway, constants.PortGateway, "", log)
	placing := loadgossip.New(runtime)
	gateway := &Gateway{Node: runtime, Gossip: placing}
	gateway.Proxy = proxy.New(placing.Sender, newJobForwarder(runtime), log)
	gateway.Proxy.Traffic = placing.Traffic
	runtime.OnConfig(gateway.configure)
	return gateway
}

// configure takes a newer configuration.
func (g *Gateway) configure(config *routeconfig.Config) {
	if clients := g.clients.Load(); g.Proxy.SetConfig(config) && clients != nil {
		clients.setLimits(config.Limits)
	}
}

// Run serves until told to stop.
func (g *Gateway) Run() error {
	runtime := g.Node
	if err := runtime.Start(); err != nil {
		return err
	}
	g.Gossip.Start()
	go runtime.PullFirst(func() { g.configConfirmed.Store(true) })
	calls := chi.NewRouter()
	calls.Get("/-/readiness", g.readiness)
	ready := inbound.NewServer(calls)
	limits := inbound.LimitsOf(runtime.Settings.Limits)
	memory := inbound.NewMemory(limits.Memory)
	readied, err := inbound.Listen(runtime.Settings.Bind.Readiness, min(limits.Connections, constants.ReadinessConnections), memory)
	if err != nil {
		return process.ErrUnavailable.Wrap(err, "readiness")
	}
	g.readinessServer.Store(ready)
	go func() { _ = ready.Serve(readied) }()
	listener, err := inbound.Listen(runtime.Settings.Bind.Ingress, limits.Connections, memory)
	if err != nil {
		return process.ErrUnavailable.Wrap(err, "ingress")
	}
	go readied.LogPressure(runtime.Log, "readiness", runtime.Stop)
	go listener.LogPressure(runtime.Log, "ingress", runtime.Stop)
	for runtime.Config() == nil {
		clock.Sleep(constants.PumpPeriod)
	}
	err = g.serve(listener)
	if errors.Is(err, http.ErrServerClosed) || g.Proxy.Draining.Load() {
		return nil
	}
	return process.ErrUnavailable.Wrap(err, "ingress")
}

// serve takes requests by the limits in force, which the connections follow; the server's own only
// tell that there are some.
func (g *Gateway) serve(listener net.Listener) error {
	limits := g.Node.Config().Limits
	clients := newClientConns(listener, limits)
	g.clients.Store(clients)
	// One that came since is taken by whoever of us is later.
	clients.setLimits(g.Node.Config().Limits)
	ingress := inbound.NewServer(g.Proxy)
	ingress.ConnState = trackState
	g.Node.Log.Info("serving", "ingress", g.Node.Settings.Bind.Ingress)
	g.ingressServer.Store(ingress)
	return ingress.Serve(clients)
}

// readiness answers 200 only with a configuration that was read at a majority,
// with workers to serve by, and while not draining.
func (g *Gateway) readiness(writer http.ResponseWriter, _ *http.Request) {
	workerList := 0
	g.Gossip.Scheduler.Locked(func() { workerList = len(g.Gossip.Scheduler.Registry.All(clock.Now())) })
	if g.Proxy.Draining.Load() || !g.configConfirmed.Load() || workerList == 0 {
		httpreply.Text(writer, http.StatusServiceUnavailable, "not ready")
		return
	}
	httpreply.Text(writer, http.StatusOK, "ready")
}

// Shutdown drains: it answers that it is not ready, still serves the connections that
// come until the platform has seen it, ends what is under way, and stops.
func (g *Gateway) Shutdown() {
	g.Proxy.Draining.Store(true)
	g.Node.Drain()
	started := clock.Now()
	end := started.Add(g.Node.Settings.Grace() - constants.ShutdownMargin)
	for clock.Now() < end {
		if clock.Now().Sub(started) > constants.DrainAcceptTime && g.idle() {
			break
		}
		clock.Sleep(constants.PumpPeriod)
	}
	counts := &g.Proxy.Counts
	g.Node.Log.Info("drained", "served", counts.Served.Load(), "refused", counts.Rejected.Load(), "failed", counts.Failed.Load(),
		"resumed", counts.Resumed.Load(), "cut", counts.CutOff.Load())
	g.Node.Shutdown()
	for _, server := range []*http.Server{g.ingressServer.Load(), g.readinessServer.Load()} {
		if server != nil {
			server.Close()
		}
	}
}

// idle ends the accepting of connections, closes those that rest, and tells that no request comes or is answered.
func (g *Gateway) idle() bool {
	clients := g.clients.Load()
	if clients == nil {
		return true
	}
	// Accepting ends by time alone, before the look at what is under way: steady traffic would
	// otherwise keep it open until the process is killed, and cut the last requests.
	return clients.closeIdle() && g.Proxy.Active() == 0
}
