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

// Unable is the error of a process that can't do what it was asked.
var Unable = errs.Define("process unable")

// Answerer answers one kind of call.
type Answerer func(body []byte) ([]byte, error)

// Node is the runtime of one process.
type Node struct {
	Settings *settings.Settings
	Own      messages.Entry
	Wire     transport.Transport
	Log      hclog.Logger
	Stop     chan struct{}

	lock      sync.Mutex
	view      *membership.View
	answerers map[messages.Kind]Answerer
	config    *routeconfig.Config
	onConfig  []func(*routeconfig.Config)
	pulling   bool
	reports   map[string]func() *messages.Status
	onAnswer  func(answer *messages.Shuffle)
	onWord    func(address string, answer *messages.Shuffle)
	rounds    int
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
	own := messages.Entry{Name: nodeSettings.NodeName, Life: clock.Wall(), Role: role, Zone: nodeSettings.Zone,
		Address: nodeSettings.InternalAddress(nodeSettings.Address, port), Disk: disk}
	runtime := &Node{Settings: nodeSettings, Own: own, Wire: transport.NewWire(own.Address), Log: log, Stop: make(chan struct{}),
		view: membership.NewView(own, own.Life), answerers: map[messages.Kind]Answerer{},
		reports: map[string]func() *messages.Status{}}
	runtime.Answer(messages.KindShuffle, runtime.shuffled)
	runtime.Answer(messages.KindConfigPush, runtime.pushed)
	runtime.Answer(messages.KindConfigPull, runtime.pulled)
	runtime.Answer(messages.KindStatus, runtime.reported)
	runtime.Report("nodes", runtime.reportNodes)
	runtime.Report("zones", runtime.reportZones)
	runtime.Report("config", runtime.reportSelf)
	runtime.Report("traffic", runtime.reportTraffic)
	runtime.Report("assignments", runtime.reportAssigned)
	runtime.learnPlaces([]messages.Entry{own})
	return runtime
}

// Answer registers who answers a kind of call.
func (runtime *Node) Answer(kind messages.Kind, answerer Answerer) {
	runtime.answerers[kind] = answerer
}

// Handle answers one call; what nobody answers is a later version's, skipped and
// counted by the transport.
func (runtime *Node) Handle(kind messages.Kind, body []byte) ([]byte, error) {
	answerer := runtime.answerers[kind]
	if answerer == nil {
		return nil, nil
	}
	return answerer(body)
}

// Start serves calls and begins the loops.
func (runtime *Node) Start() error {
	err := runtime.Wire.Serve(runtime.Handle)
	if err != nil {
		return Unable.Wrap(err, "serve")
	}
	go runtime.meet()
	go runtime.countTraffic()
	return nil
}

// End stops the loops.
func (runtime *Node) End() { runtime.ended.Do(func() { close(runtime.Stop) }) }

// Touched notes a direct message from a process.
func (runtime *Node) Touched(key string) {
	runtime.lock.Lock()
	defer runtime.lock.Unlock()
	runtime.view.Touched(key, clock.Now())
}

// Live gives the processes of a role that were heard lately.
func (runtime *Node) Live(role string) []messages.Entry {
	runtime.lock.Lock()
	defer runtime.lock.Unlock()
	return runtime.view.Live(role, clock.Now())
}

// All gives every known process of a role.
func (runtime *Node) All(role string) []messages.Entry {
	runtime.lock.Lock()
	defer runtime.lock.Unlock()
	return runtime.view.All(role, clock.Now())
}

// Leave marks this process as going away, and tells a controller at once.
func (runtime *Node) Leave() {
	runtime.logTraffic(hclog.Info)
	runtime.lock.Lock()
	runtime.view.SetLeaving()
	runtime.lock.Unlock()
	if runtime.Own.Role != membership.RoleController {
		go runtime.exchange()
	}
}

// Spread sends one message to each process of the list at the same time and
// waits for all answers or for the span.
func (runtime *Node) Spread(entries []messages.Entry, kind messages.Kind, message transport.Writable, span clock.Span, failed func(messages.Entry)) {
	body, err := message.MarshalMsg(nil)
	if err != nil {
		return
	}
	var group sync.WaitGroup
	for _, entry := range entries {
		group.Add(1)
		go func() {
			defer group.Done()
			if _, err := runtime.Wire.Call(entry.Address, kind, body, span); err == nil {
				runtime.Touched(membership.Key(entry))
			} else if failed != nil {
				failed(entry)
			}
		}()
	}
	group.Wait()
}
