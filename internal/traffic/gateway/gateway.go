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
}

// New prepares the process.
func New(nodeSettings *settings.Settings, log hclog.Logger) *Gateway {
	runtime := node.New(nodeSettings, membership.RoleGateway, constants.PortGateway, "", log)
	placing := loadgossip.New(runtime)
	gateway := &Gateway{Node: runtime, Gossip: placing}
	gateway.Proxy = proxy.New(placing.Sender, newGate(runtime), log)
	runtime.OnConfig(func(config *routeconfig.Config) { gateway.Proxy.SetConfig(config) })
	return gateway
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
	// The limits of the first configuration hold for this life's connections.
	for runtime.Config() == nil {
		clock.Sleep(constants.PumpPeriod)
	}
	limits := runtime.Config().Limits
	gateway.ingress = &http.Server{Handler: gateway.Proxy, MaxHeaderBytes: max(limits.HeaderBytes, 4096),
		ReadHeaderTimeout: clock.Milliseconds(limits.HeaderWaitMs), IdleTimeout: clock.Milliseconds(limits.IdleMs), ConnState: noteState}
	runtime.Log.Info("serving", "ingress", runtime.Settings.Bind.Ingress)
	if err = gateway.ingress.Serve(patient{listener}); err == http.ErrServerClosed {
		return nil
	}
	return node.Unable.Wrap(err, "ingress")
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
		if clock.Now().Since(begun) > constants.DrainLinger && gateway.Proxy.Active() == 0 {
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
