// Package proxy is the data plane: a request's way from the client to a worker
// and back.
package proxy

import (
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/go-chi/chi/v5"
	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/httpreply"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/traffic/admission"
	"lemonarch/internal/traffic/prefixindex"
	"lemonarch/internal/traffic/workerconn"
)

// JobForwarder passes a call on a lot to whoever holds it.
type JobForwarder interface {
	Forward(call *messages.JobCallRequest, span clock.Duration) (*messages.JobCallResponse, bool)
}

// Proxy serves clients.
type Proxy struct {
	Sender    Sender
	Scheduler *admission.Scheduler
	Lots      JobForwarder
	Log       hclog.Logger
	config    atomic.Pointer[routeconfig.Config]
	calls     *chi.Mux
	Leaving   atomic.Bool
	active    atomic.Int64
	Counts    Counts
}

// Counts are what an operator follows.
type Counts struct {
	Served, Refused, Failed, Resumed, Repeated, CutOff atomic.Int64
}

// New makes the data plane.
func New(sender Sender, lotList JobForwarder, log hclog.Logger) *Proxy {
	proxyServer := &Proxy{Sender: sender, Scheduler: sender.Scheduler, Lots: lotList, Log: log}
	proxyServer.calls = proxyServer.lotCalls()
	return proxyServer
}

// SetConfig takes a newer configuration; an older one never replaces it.
func (p *Proxy) SetConfig(config *routeconfig.Config) bool {
	for {
		current := p.config.Load()
		if current != nil && current.Generation >= config.Generation {
			return false
		}
		if p.config.CompareAndSwap(current, config) {
			p.Scheduler.SetConfig(config)
			return true
		}
	}
}

// Config gives the configuration in force here, or nil.
func (p *Proxy) Config() *routeconfig.Config { return p.config.Load() }

// Active is the number of requests under way.
func (p *Proxy) Active() int64 { return p.active.Load() }

// ServeHTTP takes one request.
func (p *Proxy) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	arrived := clock.Now()
	p.active.Add(1)
	defer p.active.Add(-1)
	if p.Leaving.Load() {
		writer.Header().Set("Connection", "close")
	}
	target := request.RequestURI
	path, _, _ := strings.Cut(target, "?")
	if strings.HasPrefix(path, "/-/") {
		p.calls.ServeHTTP(writer, request)
		return
	}
	config := p.Config()
	if config == nil {
		// Nothing ran and nothing will: a node without a configuration knows no route.
		httpreply.RetryAfter(writer, http.StatusServiceUnavailable, constants.GossipPeriod/2)
		return
	}
	route := config.Match(request.Host, path)
	if route == nil {
		httpreply.Text(writer, http.StatusNotFound, "no route")
		return
	}
	limit := config.Limits.BodyBytes
	if limit <= 0 {
		limit = constants.RequestLimit
	}
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, limit))
	if err != nil {
		p.refuseBody(writer, err)
		return
	}
	if route.Kind() == messages.RouteBulk {
		p.handIn(writer, request, route, path, body)
		return
	}
	exchange := p.begin(writer, request, route, body, arrived)
	exchange.travel()
}

func (p *Proxy) refuseBody(writer http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	if asTooLarge(err, &tooLarge) {
		httpreply.Text(writer, http.StatusRequestEntityTooLarge, "body too large")
		return
	}
	writer.Header().Set("Connection", "close")
	httpreply.Text(writer, http.StatusBadRequest, "body can't be read")
}

func (p *Proxy) begin(writer http.ResponseWriter, request *http.Request, route *routeconfig.Route, body []byte, arrived clock.Instant) *exchange {
	one := &exchange{proxyServer: p, writer: writer, request: request, route: route, body: body, arrived: arrived}
	span := route.Cutoff()
	if left, stated := timeLeft(request.Header); stated {
		span = min(span, left)
		one.stated = true
	}
	one.deadline = arrived.Add(span)
	one.attempt = request.Header.Get(headerAttempt)
	one.method = request.Method
	one.passed = Passed(request.Header)
	one.sized = request.ContentLength != 0 || len(body) > 0 || request.Header.Get("Content-Length") != ""
	one.ask = admission.Ask{
		// One draw for the whole request: a split route must not move between tries.
		Service:  route.Choose(rand.Float64()),
		Affine:   route.Affine,
		Priority: route.Priority,
		Setpoint: route.Setpoint(),
		Deadline: one.deadline,
	}
	one.ask.Repeatable = one.repeatable()
	if route.Affine {
		one.ask.Prompt = prefixindex.ParsePrompt(request.Header.Get(headerModel), request.Header.Get(headerTokens), request.Header.Get(headerPrefix))
	}
	return one
}

// Sweep does the upkeep of connections and queues.
func (p *Proxy) Sweep() {
	now := clock.Now()
	p.Scheduler.Pump(now)
}

// SweepConnections drops idle connections past their time.
func SweepConnections(pool *workerconn.Pool, scheduler *admission.Scheduler) {
	now := clock.Now()
	pool.Sweep(func(worker string) bool {
		gone := false
		scheduler.Locked(func() {
			known, found := scheduler.Registry.Get(worker)
			gone = !found || known.Phase == messages.PhaseDeparted
		})
		return gone
	})
	scheduler.Locked(func() {
		scheduler.Registry.Forget(now)
		scheduler.Tracker.Sweep(now)
	})
}
