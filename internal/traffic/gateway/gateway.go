// Package gateway is the process that takes requests at the edge.
package gateway

import (
	"net"
	"net/http"
	"sync/atomic"

	"github.com/go-chi/chi/v5"
	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/httpreply"
	"lemonarch/internal/platform/node"
	"lemonarch/internal/platform/settings"
	"lemonarch/internal/traffic/loadgossip"
	"lemonarch/internal/traffic/proxy"
)

// Gateway is one edge process.
type Gateway struct {
	Node    *node.Node
	Gossip  *loadgossip.Gossip
	Proxy   *proxy.Proxy
	settled atomic.Bool
	ingress *http.Server
	ready   *http.Server
	clients atomic.Pointer[connections]
}

// New prepares the process.
func New(nodeSettings *settings.Settings, log hclog.Logger) *Gateway {
	runtime := node.New(nodeSettings, membership.RoleGateway, constants.PortGateway, "", log)
	placing := loadgossip.New(runtime)
	gateway := &Gateway{Node: runtime, Gossip: placing}
	gateway.Proxy = proxy.New(placing.Sender, newGate(runtime), log)
	runtime.OnConfig(gateway.configure)
	return gateway
}

// configure takes a newer configuration.
func (gateway *Gateway) configure(config *routeconfig.Config) {
	if clients := gateway.clients.Load(); gateway.Proxy.SetConfig(config) && clients != nil {
		clients.setLimits(config.Limits)
	}
}

// Run serves until told to stop.
func (gateway *Gateway) Run() error {
	runtime := gateway.Node
	if err := runtime.Start(); err != nil {
		return err
	}
	gateway.Gossip.Start()
	go runtime.PullFirst(func() { gateway.settled.Store(true) })
	calls := chi.NewRouter()
	calls.Get("/-/readiness", gateway.readiness)
	gateway.ready = &http.Server{Addr: runtime.Settings.Bind.Readiness, Handler: calls, ReadHeaderTimeout: constants.BulkCallTime}
	readied, err := net.Listen("tcp4", runtime.Settings.Bind.Readiness)
	if err != nil {
		return node.Unable.Wrap(err, "readiness")
	}
	go func() { _ = gateway.ready.Serve(readied) }()
	listener, err := net.Listen("tcp4", runtime.Settings.Bind.Ingress)
	if err != nil {
		return node.Unable.Wrap(err, "ingress")
	}
	for runtime.Config() == nil {
		clock.Sleep(constants.PumpPeriod)
	}
	err = gateway.serve(listener)
	if err == http.ErrServerClosed || gateway.Proxy.Leaving.Load() {
		return nil
	}
	return node.Unable.Wrap(err, "ingress")
}

// serve takes requests by the limits in force. The server's own limits only tell that
// there are some; a larger head than the first configuration's is not refused, as a later
// one may allow it.
func (gateway *Gateway) serve(listener net.Listener) error {
	limits := gateway.Node.Config().Limits
	clients := newConnections(listener, limits)
	gateway.clients.Store(clients)
	// One that came since is taken by whoever of us is later.
	clients.setLimits(gateway.Node.Config().Limits)
	gateway.ingress = &http.Server{Handler: gateway.Proxy, MaxHeaderBytes: max(limits.HeaderBytes, constants.HeadLimit),
		ReadHeaderTimeout: constants.BulkCallTime, IdleTimeout: constants.BulkCallTime, ConnState: noteState}
	gateway.Node.Log.Info("serving", "ingress", gateway.Node.Settings.Bind.Ingress)
	return gateway.ingress.Serve(clients)
}

// readiness says yes only with a configuration that was read at a majority,
// with workers to serve by, and while not leaving.
func (gateway *Gateway) readiness(writer http.ResponseWriter, _ *http.Request) {
	workerList := 0
	gateway.Gossip.Scheduler.Locked(func() { workerList = len(gateway.Gossip.Scheduler.Registry.All(clock.Now())) })
	if gateway.Proxy.Leaving.Load() || !gateway.settled.Load() || workerList == 0 {
		httpreply.Text(writer, http.StatusServiceUnavailable, "not ready")
		return
	}
	httpreply.Text(writer, http.StatusOK, "ready")
}

// Leave drains: it says that it is not ready, still serves the connections that
// come until the platform has seen it, ends what is under way, and stops.
func (gateway *Gateway) Leave() {
	gateway.Proxy.Leaving.Store(true)
	gateway.Node.Leave()
	begun := clock.Now()
	end := begun.Plus(gateway.Node.Settings.Grace() - constants.LeaveMargin)
	for clock.Now() < end {
		if clock.Now().Since(begun) > constants.DrainLinger && gateway.idle() {
			break
		}
		clock.Sleep(constants.PumpPeriod)
	}
	counts := &gateway.Proxy.Counts
	gateway.Node.Log.Info("left", "served", counts.Served.Load(), "refused", counts.Refused.Load(), "failed", counts.Failed.Load(),
		"resumed", counts.Resumed.Load(), "cut", counts.CutOff.Load())
	gateway.Node.End()
	if gateway.ingress != nil {
		gateway.ingress.Close()
	}
}

// idle tells that no request comes or is answered, and that none will be taken any more.
func (gateway *Gateway) idle() bool {
	clients := gateway.clients.Load()
	if clients == nil {
		return true
	}
	return clients.busy() == 0 && gateway.Proxy.Active() == 0 && clients.end()
}
