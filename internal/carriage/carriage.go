// Package carriage is the data plane: a request's way from the client to a worker
// and back.
package carriage

import (
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/go-chi/chi/v5"
	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/almanac"
	"lemonarch/internal/chisel"
	"lemonarch/internal/jig"
	"lemonarch/internal/pattern"
	"lemonarch/internal/plumbline"
	"lemonarch/internal/reply"
	"lemonarch/internal/watch"
	"lemonarch/internal/workbench"
)

// LotGate passes a call on a lot to whoever holds it.
type LotGate interface {
	Pass(call *pattern.LotCall, span watch.Span) (*pattern.LotAnswer, bool)
}

// Carriage serves clients.
type Carriage struct {
	Courier Courier
	Bench   *workbench.Workbench
	Lots    LotGate
	Log     hclog.Logger
	config  atomic.Pointer[jig.Config]
	calls   *chi.Mux
	Leaving atomic.Bool
	active  atomic.Int64
	Counts  Counts
}

// Counts are what an operator follows.
type Counts struct {
	Served, Refused, Failed, Resumed, Repeated, CutOff atomic.Int64
}

// New makes the data plane.
func New(courier Courier, lots LotGate, log hclog.Logger) *Carriage {
	carriage := &Carriage{Courier: courier, Bench: courier.Bench, Lots: lots, Log: log}
	carriage.calls = carriage.lotCalls()
	return carriage
}

// SetConfig takes a newer configuration; an older one never replaces it.
func (carriage *Carriage) SetConfig(config *jig.Config) bool {
	for {
		current := carriage.config.Load()
		if current != nil && current.Generation >= config.Generation {
			return false
		}
		if carriage.config.CompareAndSwap(current, config) {
			carriage.Bench.SetConfig(config)
			return true
		}
	}
}

// Config gives the configuration in force here, or nil.
func (carriage *Carriage) Config() *jig.Config { return carriage.config.Load() }

// Active is the number of requests under way.
func (carriage *Carriage) Active() int64 { return carriage.active.Load() }

// ServeHTTP takes one request.
func (carriage *Carriage) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	arrived := watch.Now()
	carriage.active.Add(1)
	defer carriage.active.Add(-1)
	if carriage.Leaving.Load() {
		writer.Header().Set("Connection", "close")
	}
	target := request.RequestURI
	path, _, _ := strings.Cut(target, "?")
	if strings.HasPrefix(path, "/-/") {
		carriage.calls.ServeHTTP(writer, request)
		return
	}
	config := carriage.Config()
	if config == nil {
		// Nothing ran and nothing will: a node without a configuration knows no route.
		reply.Later(writer, http.StatusServiceUnavailable, almanac.GossipPeriod/2)
		return
	}
	route := config.Match(request.Host, path)
	if route == nil {
		reply.Text(writer, http.StatusNotFound, "no route")
		return
	}
	limit := config.Limits.BodyBytes
	if limit <= 0 {
		limit = almanac.RequestLimit
	}
	body, failure := io.ReadAll(http.MaxBytesReader(writer, request.Body, limit))
	if failure != nil {
		carriage.refuseBody(writer, failure)
		return
	}
	if route.Kind() == pattern.RouteBulk {
		carriage.handIn(writer, request, route, path, body)
		return
	}
	journey := carriage.begin(writer, request, route, body, arrived)
	journey.travel()
}

func (carriage *Carriage) refuseBody(writer http.ResponseWriter, failure error) {
	var tooLarge *http.MaxBytesError
	if asTooLarge(failure, &tooLarge) {
		reply.Text(writer, http.StatusRequestEntityTooLarge, "body too large")
		return
	}
	writer.Header().Set("Connection", "close")
	reply.Text(writer, http.StatusBadRequest, "body can't be read")
}

func (carriage *Carriage) begin(writer http.ResponseWriter, request *http.Request, route *jig.Route, body []byte, arrived watch.Moment) *journey {
	one := &journey{carriage: carriage, writer: writer, request: request, route: route, body: body, arrived: arrived}
	span := route.Cutoff()
	if left, stated := timeLeft(request.Header); stated {
		span = min(span, left)
		one.stated = true
	}
	one.deadline = arrived.Plus(span)
	one.attempt = request.Header.Get(headerAttempt)
	one.method = request.Method
	one.passed = Passed(request.Header)
	one.sized = request.ContentLength != 0 || len(body) > 0 || request.Header.Get("Content-Length") != ""
	one.ask = workbench.Ask{
		// One draw for the whole request: a split route must not move between tries.
		Service:  route.Nominate(rand.Float64()),
		Affine:   route.Affine,
		Priority: route.Priority,
		Setpoint: route.Setpoint(),
		Deadline: one.deadline,
	}
	one.ask.Repeatable = one.repeatable()
	if route.Affine {
		one.ask.Prompt = plumbline.ParsePrompt(request.Header.Get(headerModel), request.Header.Get(headerTokens), request.Header.Get(headerPrefix))
	}
	return one
}

// Sweep does the upkeep of pipes and queues.
func (carriage *Carriage) Sweep() {
	now := watch.Now()
	carriage.Bench.Pump(now)
}

// SweepPipes drops idle pipes past their time.
func SweepPipes(chest *chisel.Chest, bench *workbench.Workbench) {
	now := watch.Now()
	chest.Sweep(func(worker string) bool {
		gone := false
		bench.Locked(func() {
			known, found := bench.Roster.Get(worker)
			gone = !found || known.Phase == pattern.PhaseGone
		})
		return gone
	})
	bench.Locked(func() {
		bench.Roster.Forget(now)
		bench.Gauge.SweepTrust(now)
	})
}
