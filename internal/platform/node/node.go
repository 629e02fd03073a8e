// Package node is what every process of ours stands on: its transport, its
// view of the others, the newest configuration, and the loops that keep them.
package node

import (
	"os"
	"runtime"
	"runtime/debug"
	"sync"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/settings"
	"lemonarch/internal/platform/transport"
)

// ErrUnavailable is the error of a process that can't do what it was asked.
var ErrUnavailable = errs.Define("process unable")

// Handler answers one kind of call.
type Handler func(body []byte) ([]byte, error)

// Node is the runtime of one process.
type Node struct {
	Settings  *settings.Settings
	Self      messages.NodeInfo
	Transport transport.Transport
	Log       hclog.Logger
	Stop      chan struct{}

	lock               sync.Mutex
	view               *membership.View
	handlers           map[messages.Kind]Handler
	config             *routeconfig.Config
	onConfig           []func(*routeconfig.Config)
	pulling            bool
	reports            map[string]func() *messages.StatusResponse
	onReportResponse   func(resp *messages.Shuffle)
	onControllerReport func(address string, resp *messages.Shuffle)
	rounds             int
	// firstController is the address of the controller that took the last full report.
	firstController string
	assigned        assigned
	ended           sync.Once
}

// Prepare sets the limits that the machine gives, before anything is allocated.
func Prepare(nodeSettings *settings.Settings) {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(constants.CollectPercent)
	debug.SetMemoryLimit(int64(constants.MemoryShare * float64(nodeSettings.Limits.MemoryMB) * (1 << 20)))
}

// NewLog makes the log: one line of key=value pairs for each event.
func NewLog(name string) hclog.Logger {
	level := hclog.Info
	if os.Getenv("LEMONARCH_LOG") == "debug" {
		level = hclog.Debug
	}
	return hclog.New(&hclog.LoggerOptions{Name: name, Level: level, Output: os.Stdout, DisableTime: true})
}

// New makes the runtime of a process of a role.
func New(nodeSettings *settings.Settings, role string, port int, disk string, log hclog.Logger) *Node {
	own := messages.NodeInfo{Name: nodeSettings.NodeName, Incarnation: clock.WallNanos(), Role: role, Zone: nodeSettings.Zone,
		Address: nodeSettings.InternalAddress(nodeSettings.Address, port), Disk: disk}
	runtime := &Node{Settings: nodeSettings, Self: own, Transport: transport.NewTCP(own.Address), Log: log, Stop: make(chan struct{}),
		view: membership.NewView(own, own.Incarnation), handlers: map[messages.Kind]Handler{},
		reports: map[string]func() *messages.StatusResponse{}}
	runtime.Handle(messages.KindShuffle, runtime.shuffled)
	runtime.Handle(messages.KindConfigPush, runtime.handleConfigPush)
	runtime.Handle(messages.KindConfigPull, runtime.handleConfigPull)
	runtime.Handle(messages.KindStatus, runtime.handleStatus)
	runtime.Report("nodes", runtime.reportNodes)
	runtime.Report("zones", runtime.reportZones)
	runtime.Report("config", runtime.reportSelf)
	runtime.Report("traffic", runtime.reportTraffic)
	runtime.Report("assignments", runtime.reportAssigned)
	runtime.recordLocalities([]messages.NodeInfo{own})
	return runtime
}

// Handle registers who answers a kind of call.
func (n *Node) Handle(kind messages.Kind, answerer Handler) {
	n.handlers[kind] = answerer
}

// Dispatch answers one call; what nobody answers is a later version's, skipped and
// counted by the transport.
func (n *Node) Dispatch(kind messages.Kind, body []byte) ([]byte, error) {
	answerer := n.handlers[kind]
	if answerer == nil {
		return nil, nil
	}
	return answerer(body)
}

// Start serves calls and begins the loops.
func (n *Node) Start() error {
	err := n.Transport.Serve(n.Dispatch)
	if err != nil {
		return ErrUnavailable.Wrap(err, "serve")
	}
	go n.meet()
	go n.countTraffic()
	return nil
}

// Shutdown stops the loops.
func (n *Node) Shutdown() { n.ended.Do(func() { close(n.Stop) }) }

// MarkContacted notes a direct message from a process.
func (n *Node) MarkContacted(key string) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.view.MarkContacted(key, clock.Now())
}

// Live gives the processes of a role that were heard lately.
func (n *Node) Live(role string) []messages.NodeInfo {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.view.Live(role, clock.Now())
}

// All gives every known process of a role.
func (n *Node) All(role string) []messages.NodeInfo {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.view.All(role, clock.Now())
}

// Drain marks this process as going away, and tells a controller at once.
func (n *Node) Drain() {
	n.logTraffic(hclog.Info)
	n.lock.Lock()
	n.view.SetDraining()
	n.lock.Unlock()
	if n.Self.Role != membership.RoleController {
		go n.exchange()
	}
}

// Multicast sends one message to each process of the list at the same time and
// waits for all answers or for the span.
func (n *Node) Multicast(entries []messages.NodeInfo, kind messages.Kind, message transport.Marshaler, timeout clock.Duration, failed func(messages.NodeInfo)) {
	body, err := message.MarshalMsg(nil)
	if err != nil {
		return
	}
	var group sync.WaitGroup
	for _, entry := range entries {
		group.Add(1)
		go func() {
			defer group.Done()
			if _, err := n.Transport.Call(entry.Address, kind, body, timeout); err == nil {
				n.MarkContacted(membership.Key(entry))
			} else if failed != nil {
				failed(entry)
			}
		}()
	}
	group.Wait()
}
