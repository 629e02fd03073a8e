// Package forge is the process that takes requests at the edge.
package forge

import (
	"net"
	"net/http"
	"sync/atomic"

	"github.com/go-chi/chi/v5"
	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/boot"
	"lemonarch/internal/carriage"
	"lemonarch/internal/jig"
	"lemonarch/internal/jointer"
	"lemonarch/internal/reply"
	"lemonarch/internal/trestle"
	"lemonarch/internal/watch"
)

// Forge is one edge process.
type Forge struct {
	Stand    *trestle.Trestle
	Jointer  *jointer.Jointer
	Carriage *carriage.Carriage
	settled  atomic.Bool
	ingress  *http.Server
	ready    *http.Server
}

// New prepares the process.
func New(settings *boot.Boot, log hclog.Logger) *Forge {
	stand := trestle.New(settings, bellows.RoleForge, almanac.PortForge, "", log)
	placing := jointer.New(stand)
	forge := &Forge{Stand: stand, Jointer: placing}
	forge.Carriage = carriage.New(placing.Courier, newGate(stand), log)
	stand.OnConfig(func(config *jig.Config) { forge.Carriage.SetConfig(config) })
	return forge
}

// Run serves until told to stop.
func (forge *Forge) Run() error {
	stand := forge.Stand
	if failure := stand.Start(); failure != nil {
		return failure
	}
	forge.Jointer.Start()
	go stand.PullFirst(func() { forge.settled.Store(true) })
	calls := chi.NewRouter()
	calls.Get("/-/readiness", forge.readiness)
	forge.ready = &http.Server{Addr: stand.Boot.Bind.Readiness, Handler: calls, ReadHeaderTimeout: almanac.BulkCallTime}
	readied, failure := net.Listen("tcp4", stand.Boot.Bind.Readiness)
	if failure != nil {
		return trestle.Unable.Wrap(failure, "readiness")
	}
	go func() { _ = forge.ready.Serve(readied) }()
	listener, failure := net.Listen("tcp4", stand.Boot.Bind.Ingress)
	if failure != nil {
		return trestle.Unable.Wrap(failure, "ingress")
	}
	// The limits of the first configuration hold for this life's connections.
	for stand.Config() == nil {
		watch.Sleep(almanac.PumpPeriod)
	}
	limits := stand.Config().Limits
	forge.ingress = &http.Server{Handler: forge.Carriage, MaxHeaderBytes: max(limits.HeaderBytes, 4096),
		ReadHeaderTimeout: watch.Milliseconds(limits.HeaderWaitMs), IdleTimeout: watch.Milliseconds(limits.IdleMs), ConnState: noteState}
	stand.Log.Info("serving", "ingress", stand.Boot.Bind.Ingress)
	if failure = forge.ingress.Serve(patient{listener}); failure == http.ErrServerClosed {
		return nil
	}
	return trestle.Unable.Wrap(failure, "ingress")
}

// readiness says yes only with a configuration that was read at a majority,
// with workers to serve by, and while not leaving.
func (forge *Forge) readiness(writer http.ResponseWriter, _ *http.Request) {
	workers := 0
	forge.Jointer.Bench.Locked(func() { workers = len(forge.Jointer.Bench.Roster.All(watch.Now())) })
	if forge.Carriage.Leaving.Load() || !forge.settled.Load() || workers == 0 {
		reply.Text(writer, http.StatusServiceUnavailable, "not ready")
		return
	}
	reply.Text(writer, http.StatusOK, "ready")
}

// Leave drains: it says that it is not ready, still serves the connections that
// come until the platform has seen it, ends what is under way, and stops.
func (forge *Forge) Leave() {
	forge.Carriage.Leaving.Store(true)
	forge.Stand.Leave()
	begun := watch.Now()
	end := begun.Plus(forge.Stand.Boot.Grace() - almanac.LeaveMargin)
	for watch.Now() < end {
		if watch.Now().Since(begun) > almanac.DrainLinger && forge.Carriage.Active() == 0 {
			break
		}
		watch.Sleep(almanac.PumpPeriod)
	}
	counts := &forge.Carriage.Counts
	forge.Stand.Log.Info("left", "served", counts.Served.Load(), "refused", counts.Refused.Load(), "failed", counts.Failed.Load(),
		"resumed", counts.Resumed.Load(), "cut", counts.CutOff.Load())
	forge.Stand.End()
	if forge.ingress != nil {
		forge.ingress.Close()
	}
}
