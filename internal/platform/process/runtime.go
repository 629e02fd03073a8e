// Package process is the runtime that every process of ours stands on: its settings, its
// transport with the handlers of requests, its log, its status reports, and its incarnation from
// start to shutdown. It knows nothing of other processes: package agent adds what a
// process knows of the fleet.
package process

import (
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/settings"
	"lemonarch/internal/platform/transport"
)

// ErrUnavailable is the error of a process that can't do what it was asked.
var ErrUnavailable = errs.Define("process unable")

// Runtime is what one process runs on. Its exported fields are set before Start and only
// read after it.
type Runtime struct {
	Settings *settings.Settings
	// Self is how this process is known to others.
	Self      messages.NodeInfo
	Transport transport.Transport
	Log       hclog.Logger
	// StartedAt is when this incarnation began: who has just started knows too little of the
	// others to judge them.
	StartedAt clock.Instant
	// Stop is closed by Shutdown; loops end with it.
	Stop chan struct{}

	handlers map[messages.Kind]handler
	reports  map[string]func() *messages.StatusResponse
	started  atomic.Bool
	shutdown sync.Once
}

// handler serves one kind of request, encoded.
type handler func(body []byte) ([]byte, error)

// Prepare sets the limits that the machine gives, before anything is allocated.
func Prepare(nodeSettings *settings.Settings) {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(constants.CollectPercent)
	debug.SetMemoryLimit(nodeSettings.Limits.MemoryShare(constants.MemoryShare))
}

// NewLog makes the log: one line of key=value pairs for each event.
func NewLog(name string) hclog.Logger {
	level := hclog.Info
	if os.Getenv("LEMONARCH_LOG") == "debug" {
		level = hclog.Debug
	}
	return hclog.New(&hclog.LoggerOptions{Name: name, Level: level, Output: os.Stdout, DisableTime: true})
}

// New makes the runtime of a process of a role. port is the offset of the role's internal
// port, disk the identity of the process's disk, empty where it has none.
func New(nodeSettings *settings.Settings, role string, port int, disk string, log hclog.Logger) *Runtime {
	self := messages.NodeInfo{Name: nodeSettings.NodeName, Incarnation: clock.WallNanos(), Role: role, Zone: nodeSettings.Zone,
		Address: nodeSettings.InternalAddress(nodeSettings.Address, port), Disk: disk}
	r := &Runtime{Settings: nodeSettings, Self: self, Transport: transport.NewTCP(self.Address), Log: log, StartedAt: clock.Now(), Stop: make(chan struct{}),
		handlers: map[messages.Kind]handler{}, reports: map[string]func() *messages.StatusResponse{}}
	Handle(r, messages.KindStatus, r.handleStatus)
	r.Report("traffic", r.reportTraffic)
	return r
}

// Handle registers who serves a kind of request: the request is decoded and the response
// encoded here. A later registration replaces an earlier one. It panics after Start, since
// requests are dispatched without a lock.
func Handle[Request, Response any, RequestPointer interface {
	*Request
	transport.Unmarshaler
}, ResponsePointer interface {
	*Response
	transport.Marshaler
}](r *Runtime, kind messages.Kind, serve func(req RequestPointer) (ResponsePointer, error)) {
	if r.started.Load() {
		panic("process: handler of " + kind.String() + " registered after Start")
	}
	r.handlers[kind] = func(body []byte) ([]byte, error) {
		req := RequestPointer(new(Request))
		if err := transport.Decode(body, req); err != nil {
			return nil, err
		}
		resp, err := serve(req)
		if err != nil {
			return nil, err
		}
		return transport.Encode(resp)
	}
}

// Dispatch serves one request. The kinds of later versions have no handler; nil without an
// error has the transport count them as unknown.
func (r *Runtime) Dispatch(kind messages.Kind, body []byte) ([]byte, error) {
	serve := r.handlers[kind]
	if serve == nil {
		return nil, nil
	}
	return serve(body)
}

// Start serves requests and begins the loops.
func (r *Runtime) Start() error {
	r.started.Store(true)
	if err := r.Transport.Serve(r.Dispatch); err != nil {
		return ErrUnavailable.Wrap(err, "serve")
	}
	go r.logTrafficPeriodically()
	return nil
}

// Shutdown stops the loops.
func (r *Runtime) Shutdown() { r.shutdown.Do(func() { close(r.Stop) }) }
