// Package process is the runtime of every lemonarch process: its settings, its transport with the
// request handlers, its log, its status reports, and its incarnation from start to shutdown. It
// has no knowledge of other processes; package agent adds what a process knows about the fleet.
// A process is also called a node, except in the placement of adapters; see adapterplan.Node.
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

// ErrUnavailable means that the process can't perform a requested operation.
var ErrUnavailable = errs.Define("process unavailable")

// Runtime is the runtime of one process. Its exported fields are set before Start and only read
// after it.
type Runtime struct {
	Settings *settings.Settings
	// Self describes this process to others.
	Self      messages.NodeInfo
	Transport transport.Transport
	Log       hclog.Logger
	// StartedAt is when this incarnation began. A process that has just started knows too little
	// about the others to judge whether they have failed.
	StartedAt clock.Instant
	// Stop is closed by Shutdown; background loops end when it closes.
	Stop chan struct{}

	handlers map[messages.Kind]handler
	reports  map[string]func() *messages.StatusResponse
	started  atomic.Bool
	shutdown sync.Once
}

// handler serves one kind of request; the request and the response are encoded.
type handler func(body []byte) ([]byte, error)

// Prepare applies the machine's resource limits to the Go runtime. Main calls it before it creates the
// process, so that the limits are in force when the process allocates its memory.
func Prepare(nodeSettings *settings.Settings) {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(constants.GCPercent)
	debug.SetMemoryLimit(nodeSettings.Limits.MemoryShare(constants.MemoryShare))
}

// NewLog returns the logger, which writes one line of key=value pairs for each event.
func NewLog(name string) hclog.Logger {
	level := hclog.Info
	if os.Getenv("LEMONARCH_LOG") == "debug" {
		level = hclog.Debug
	}
	return hclog.New(&hclog.LoggerOptions{Name: name, Level: level, Output: os.Stdout, DisableTime: true})
}

// New returns the runtime of a process with a role. port is the offset of the role's internal
// port, disk the identity of the process's disk, empty if it has none.
func New(nodeSettings *settings.Settings, role string, port int, disk string, log hclog.Logger) *Runtime {
	self := messages.NodeInfo{Name: nodeSettings.NodeName, Incarnation: clock.WallNanos(), Role: role, Zone: nodeSettings.Zone,
		Address: nodeSettings.InternalAddress(nodeSettings.Address, port), Disk: disk}
	r := &Runtime{Settings: nodeSettings, Self: self, Transport: transport.NewTCP(self.Address), Log: log, StartedAt: clock.Now(), Stop: make(chan struct{}),
		handlers: map[messages.Kind]handler{}, reports: map[string]func() *messages.StatusResponse{}}
	Handle(r, messages.KindStatus, r.handleStatus)
	r.Report("traffic", r.reportTraffic)
	return r
}

// Handle registers the function that serves a kind of request. The registered handler decodes the
// request and encodes the response. A later registration replaces an earlier one. Handle panics after
// Start, since requests are dispatched without a lock.
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

// Dispatch serves one request. Kinds introduced by later versions have no handler here; for those
// Dispatch returns nil without an error, which the transport counts as an unknown frame.
func (r *Runtime) Dispatch(kind messages.Kind, body []byte) ([]byte, error) {
	serve := r.handlers[kind]
	if serve == nil {
		return nil, nil
	}
	return serve(body)
}

// Start begins to serve requests and starts the background loops.
func (r *Runtime) Start() error {
	r.started.Store(true)
	if err := r.Transport.Serve(r.Dispatch); err != nil {
		return ErrUnavailable.Wrap(err, "serve")
	}
	go r.logTrafficPeriodically()
	return nil
}

// Shutdown stops the background loops by closing Stop.
func (r *Runtime) Shutdown() { r.shutdown.Do(func() { close(r.Stop) }) }
