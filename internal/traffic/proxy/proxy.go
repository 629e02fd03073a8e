// Package proxy forwards client requests to workers and relays the responses,
// with retries, resumption of event streams and preemption. A Proxy is the HTTP handler for clients; an
// exchange is one client request over all its attempts; a Sender makes a single attempt at a worker,
// also for the items of batch jobs.
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

// JobForwarder forwards a batch-job call to the leading store. The second result of Forward reports
// whether the call may have had an effect although the response is nil.
type JobForwarder interface {
	Forward(call *messages.JobCallRequest, timeout clock.Duration) (*messages.JobCallResponse, bool)
}

// Proxy is the HTTP handler that serves clients.
type Proxy struct {
	Sender    Sender
	Scheduler *admission.Scheduler
	Jobs      JobForwarder
	// JobCallMax is the maximum duration of a call on a batch job; 0 means no limit. It is set so that a
	// call that begins before a drain ends before the process exits.
	JobCallMax clock.Duration
	Log        hclog.Logger
	// Traffic records an observation of each request. It may be nil.
	Traffic   *trafficstats.Recorder
	draws     weightedDraws
	config    atomic.Pointer[routeconfig.Config]
	jobRouter *chi.Mux
	// Draining, once set, makes responses carry Connection: close. Requests are still served.
	Draining atomic.Bool
	active   atomic.Int64
	Counts   Counts
}

// Counts are the request counters shown to operators. Resumed counts attempts that continue a begun
// response, Aborted the responses that were truncated after they had begun. Retried is never
// incremented.
type Counts struct {
	Served, Rejected, Failed, Resumed, Retried, Aborted atomic.Int64
}

// New returns a proxy that sends requests by sender and batch-job calls by jobs.
func New(sender Sender, jobs JobForwarder, log hclog.Logger) *Proxy {
	proxy := &Proxy{Sender: sender, Scheduler: sender.Scheduler, Jobs: jobs, Log: log}
	proxy.jobRouter = proxy.jobRoutes()
	return proxy
}

// SetConfig applies a configuration if its generation is above the current one, and reports whether
// it did.
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

// Config returns the current configuration of this process, or nil if there is none yet.
func (p *Proxy) Config() *routeconfig.Config { return p.config.Load() }

// Active returns the number of requests in flight.
func (p *Proxy) Active() int64 { return p.active.Load() }

// ServeHTTP implements http.Handler.
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
		p.jobRouter.ServeHTTP(writer, request)
		return
	}
	config := p.Config()
	if config == nil {
		// Without a configuration there are no routes, so the request has not run and will not run:
		// a 503 with Retry-After is safe.
		httpreply.RetryAfter(writer, http.StatusServiceUnavailable, constants.GossipPeriod/2)
		return
	}
	route := config.Match(request.Host, path)
	if route == nil {
		httpreply.Text(writer, http.StatusNotFound, "no route")
		return
	}
	body, err := inboundBody(config, route, request.Header).Read(writer, request)
	if err != nil {
		p.rejectBody(writer, err)
		return
	}
	if route.Kind() == messages.RouteBulk {
		p.submitJob(writer, request, route, path, body)
		return
	}
	exchange := p.newExchange(writer, request, route, body, arrived)
	// Deferred because a truncated response ends in a panic with http.ErrAbortHandler, as net/http requires.
	defer exchange.recordTraffic()
	exchange.serve()
}

// The number of copies of a body in memory, the original included. A request is encoded once for its
// worker; a batch job is encoded into a message and the message into a frame.
const (
	requestCopies = 2
	jobCopies     = 3
)

// inboundBody returns the limits for reading the body of a request on a route. The read timeout is
// the shorter of the route's cutoff and the client's time left, but at least ClientBodyTimeoutMin: a body that
// is complete only after the client stopped waiting is of no use, since no response could reach the
// client in time.
func inboundBody(config *routeconfig.Config, route *routeconfig.Route, header http.Header) inbound.Body {
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
	body.Timeout = max(body.Timeout, constants.ClientBodyTimeoutMin)
	return body
}

func (p *Proxy) rejectBody(writer http.ResponseWriter, err error) {
	if errs.Is(err, inbound.ErrMemoryLimit) {
		p.Counts.Rejected.Add(1)
	}
	httpreply.RejectBody(writer, err)
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
		// Chosen once for all attempts: a weighted route must not change its service between them.
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

// PumpQueue grants capacity to requests in the admission queue and rejects those that have waited too long.
func (p *Proxy) PumpQueue() {
	now := clock.Now()
	p.Scheduler.Pump(now)
}

// SweepConnections closes connections that were idle for too long or whose worker has departed or
// is unknown, removes outdated workers and address histories, and ends expired trials.
func SweepConnections(pool *workerconn.Pool, scheduler *admission.Scheduler) {
	now := clock.Now()
	pool.Sweep(func(worker string) bool {
		departed := false
		scheduler.WithLock(func() {
			known, found := scheduler.Registry.Get(worker)
			departed = !found || known.Phase == messages.PhaseDeparted
		})
		return departed
	})
	scheduler.WithLock(func() {
		scheduler.Registry.Forget(now)
		scheduler.Tracker.Sweep(now)
	})
}
