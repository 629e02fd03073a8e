// Package gateway implements the gateway process, which accepts client requests. It serves them through
// package proxy, forwards calls on batch jobs to the leading store, applies the connection limits of the
// current configuration, and drains before it stops.
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

// Gateway is one gateway process.
type Gateway struct {
	Node   *agent.Agent
	Gossip *loadgossip.Gossip
	Proxy  *proxy.Proxy
	// configConfirmed is set once a configuration is applied that was read from a majority of the
	// acceptors or, after constants.FirstConfigTimeout, any configuration.
	configConfirmed atomic.Bool
	// The following are set by Run and read by Shutdown.
	ingressListener atomic.Pointer[inbound.Listener]
	ingressServer   atomic.Pointer[http.Server]
	readinessServer atomic.Pointer[http.Server]
	clients         atomic.Pointer[clientConns]
}

// New returns a gateway, which serves no requests before Run is called.
func New(nodeSettings *settings.Settings, log hclog.Logger) *Gateway {
	runtime := agent.New(nodeSettings, membership.RoleGateway, constants.PortGateway, "", log)
	gossip := loadgossip.New(runtime)
	gateway := &Gateway{Node: runtime, Gossip: gossip}
	gateway.Proxy = proxy.New(gossip.Sender, newJobForwarder(runtime), log)
	gateway.Proxy.Traffic = gossip.Traffic
	gateway.Proxy.JobCallMax = jobCallMax(nodeSettings.Grace())
	runtime.OnConfig(gateway.configure)
	return gateway
}

// jobCallMax returns the time from the end of accepting to the exit, which bounds calls on batch jobs.
func jobCallMax(grace clock.Duration) clock.Duration {
	return max(grace-constants.ShutdownMargin-constants.DrainAcceptTime, constants.CallTimeout)
}

// configure applies a newer configuration.
func (g *Gateway) configure(config *routeconfig.Config) {
	if clients := g.clients.Load(); g.Proxy.SetConfig(config) && clients != nil {
		clients.setLimits(config.Limits)
	}
}

// Run serves requests until Shutdown or a failure.
func (g *Gateway) Run() error {
	runtime := g.Node
	if err := runtime.Start(); err != nil {
		return err
	}
	g.Gossip.Start()
	go runtime.PullFirst(func() { g.configConfirmed.Store(true) })
	router := chi.NewRouter()
	router.Get("/-/readiness", g.readiness)
	readinessServer := inbound.NewServer(router)
	limits := inbound.LimitsOf(runtime.Settings.Limits)
	memory := inbound.NewMemory(limits.Memory)
	readinessListener, err := inbound.Listen(runtime.Settings.Bind.Readiness, min(limits.Connections, constants.ReadinessConnections), memory)
	if err != nil {
		return process.ErrUnavailable.Wrap(err, "listen for readiness checks")
	}
	g.readinessServer.Store(readinessServer)
	go func() { _ = readinessServer.Serve(readinessListener) }()
	ingressListener, err := inbound.Listen(runtime.Settings.Bind.Ingress, limits.Connections, memory)
	if err != nil {
		return process.ErrUnavailable.Wrap(err, "listen on ingress")
	}
	g.ingressListener.Store(ingressListener)
	go readinessListener.LogPressure(runtime.Log, "readiness", runtime.Stop)
	go ingressListener.LogPressure(runtime.Log, "ingress", runtime.Stop)
	for runtime.Config() == nil {
		clock.Sleep(constants.PollPeriod)
	}
	err = g.serve(ingressListener)
	if errors.Is(err, http.ErrServerClosed) || g.Proxy.Draining.Load() {
		return nil
	}
	return process.ErrUnavailable.Wrap(err, "serve on ingress")
}

// serve accepts connections and serves their requests. The timeouts of the current configuration are
// applied by clientConns; the timeouts of the http.Server only cause it to set read deadlines at all.
func (g *Gateway) serve(ingressListener net.Listener) error {
	limits := g.Node.Config().Limits
	clients := newClientConns(ingressListener, limits)
	g.clients.Store(clients)
	// A configuration may have arrived before clients was stored. Either configure or this call applies
	// it, whichever runs later.
	clients.setLimits(g.Node.Config().Limits)
	ingress := inbound.NewServer(g.Proxy)
	ingress.ConnState = trackState
	g.Node.Log.Info("serving", "ingress", g.Node.Settings.Bind.Ingress)
	g.ingressServer.Store(ingress)
	return ingress.Serve(clients)
}

// readiness responds 200 only if the first configuration is confirmed (agent.PullFirst), at least one
// worker is known, and the process is not draining.
func (g *Gateway) readiness(writer http.ResponseWriter, _ *http.Request) {
	workerCount := 0
	g.Gossip.Scheduler.WithLock(func() { workerCount = len(g.Gossip.Scheduler.Registry.All(clock.Now())) })
	if g.Proxy.Draining.Load() || !g.configConfirmed.Load() || workerCount == 0 {
		httpreply.Text(writer, http.StatusServiceUnavailable, "not ready")
		return
	}
	httpreply.Text(writer, http.StatusOK, "ready")
}

// Shutdown drains and stops the process. It reports not ready and accepts connections and requests for
// DrainAcceptTime, so that the platform can see the readiness change. Then it begins no more requests, and
// waits until those in flight have ended or the grace period is nearly over.
func (g *Gateway) Shutdown() {
	started := clock.Now()
	end := started.Add(g.Node.Settings.Grace() - constants.ShutdownMargin)
	g.Proxy.Draining.Store(true)
	if listener := g.ingressListener.Load(); listener != nil {
		listener.AnnounceClose()
		g.Node.Log.Info("draining", "connections", listener.Open(), "in-flight", g.Proxy.Active())
	}
	g.Node.Drain()
	clock.Sleep(min(constants.DrainAcceptTime, end.Sub(started)))
	// The listener may have been created in the meantime.
	listener := g.ingressListener.Load()
	if listener != nil {
		g.Node.Log.Info("accepting ended", "connections", listener.Open(), "in-flight", g.Proxy.Active())
		listener.DrainWithin(end.Sub(clock.Now()))
	}
	for g.Proxy.Active() > 0 && clock.Now() < end {
		clock.Sleep(constants.PollPeriod)
	}
	g.logDrained(listener)
	g.Node.Shutdown()
	for _, server := range []*http.Server{g.ingressServer.Load(), g.readinessServer.Load()} {
		if server != nil {
			server.Close()
		}
	}
}

// logDrained logs the counters of this incarnation, and what the end of the process cuts off.
func (g *Gateway) logDrained(listener *inbound.Listener) {
	rejectedLate := int64(0)
	if listener != nil {
		rejectedLate = listener.RejectedDraining()
	}
	counts := &g.Proxy.Counts
	g.Node.Log.Info("drained", "served", counts.Served.Load(), "refused", counts.Rejected.Load(), "failed", counts.Failed.Load(),
		"resumed", counts.Resumed.Load(), "cut", counts.Aborted.Load(), "refused-late", rejectedLate, "in-flight", g.Proxy.Active())
}
