// Package proxy forwards requests: a request's way from the client to a worker
// and back.
package proxy

import (
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/go-chi/chi/v5"
	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/httpreply"
	"lemonarch/internal/platform/inbound"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/traffic/admission"
	"lemonarch/internal/traffic/prefixindex"
	"lemonarch/internal/traffic/trafficstats"
	"lemonarch/internal/traffic/workerconn"
)

// JobForwarder forwards a call on a batch job to the store that leads.
type JobForwarder interface {
	Forward(call *messages.JobCallRequest, timeout clock.Duration) (*messages.JobCallResponse, bool)
}

// Proxy serves clients.
type Proxy struct {
	Sender    Sender
	Scheduler *admission.Scheduler
	Jobs      JobForwarder
	Log       hclog.Logger
	// Traffic, where not nil, takes what was seen of each request.
	Traffic  *trafficstats.Recorder
	draws    draws
	config   atomic.Pointer[routeconfig.Config]
	calls    *chi.Mux
	Draining atomic.Bool
	active   atomic.Int64
	Counts   Counts
}

// Counts are what an operator follows.
type Counts struct {
	Served, Rejected, Failed, Resumed, Retried, CutOff atomic.Int64
}

// New makes the proxy.
func New(sender Sender, jobs JobForwarder, log hclog.Logger) *Proxy {
	proxy := &Proxy{Sender: sender, Scheduler: sender.Scheduler, Jobs: jobs, Log: log}
	proxy.calls = proxy.jobRoutes()
	return proxy
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
	if p.Draining.Load() {
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
	body, err := bodyOf(config, route, request.Header).Read(writer, request)
	if err != nil {
		p.refuseBody(writer, err)
		return
	}
	if route.Kind() == messages.RouteBulk {
		p.submitJob(writer, request, route, path, body)
		return
	}
	exchange := p.newExchange(writer, request, route, body, arrived)
	// A broken response ends in a panic, by the rules of net/http.
	defer exchange.recordTraffic()
	exchange.serve()
}

// Copies of a body, its own included: a request is written out once for its worker, a job is put
// into a message and that into a frame.
const (
	requestCopies = 2
	jobCopies     = 3
)

// bodyOf says how the body of a request on a route is read. What is not whole when the client's
// time is over could not be answered any more.
func bodyOf(config *routeconfig.Config, route *routeconfig.Route, header http.Header) inbound.Body {
	body := inbound.Body{Limit: config.Limits.BodyBytes, Copies: requestCopies, Timeout: route.Cutoff()}
	if body.Limit <= 0 {
		body.Limit = constants.RequestLimit
	}
	if route.Kind() == messages.RouteBulk {
		body.Copies = jobCopies
	}
	if left, stated := timeLeft(header); stated {
		body.Timeout = min(body.Timeout, left)
	}
	body.Timeout = max(body.Timeout, constants.ClientBodyMin)
	return body
}

func (p *Proxy) refuseBody(writer http.ResponseWriter, err error) {
	if errs.Is(err, inbound.ErrNoRoom) {
		p.Counts.Rejected.Add(1)
	}
	httpreply.RefuseBody(writer, err)
}

func (p *Proxy) newExchange(writer http.ResponseWriter, request *http.Request, route *routeconfig.Route, body []byte, arrived clock.Instant) *exchange {
	e := &exchange{proxyServer: p, writer: writer, request: request, route: route, body: body, arrivedAt: arrived}
	timeout := route.Cutoff()
	if left, stated := timeLeft(request.Header); stated {
		timeout = min(timeout, left)
		e.hasTimeLeft = true
	}
	e.deadline = arrived.Add(timeout)
	e.attempt = request.Header.Get(headerAttempt)
	e.method = request.Method
	e.header = ForwardedHeader(request.Header)
	e.hasLength = request.ContentLength != 0 || len(body) > 0 || request.Header.Get("Content-Length") != ""
	e.admission = admission.Request{
		// One draw for all attempts: a split route must not move between them.
		Service:  p.draws.choose(route),
		Affine:   route.Affine,
		Priority: route.Priority,
		Setpoint: route.Setpoint(),
		Deadline: e.deadline,
	}
	e.admission.Retryable = e.retryable()
	if route.Affine {
		e.model = request.Header.Get(headerModel)
		e.admission.Prompt = prefixindex.ParsePrompt(e.model, request.Header.Get(headerTokens), request.Header.Get(headerPrefix))
	}
	return e
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
		departed := false
		scheduler.Locked(func() {
			known, found := scheduler.Registry.Get(worker)
			departed = !found || known.Phase == messages.PhaseDeparted
		})
		return departed
	})
	scheduler.Locked(func() {
		scheduler.Registry.Forget(now)
		scheduler.Tracker.Sweep(now)
	})
}
