// Package trestle is what every process of ours stands on: its transport, its
// view of the others, the newest configuration, and the loops that keep them.
package trestle

import (
	"os"
	"runtime"
	"runtime/debug"
	"sync"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/boot"
	"lemonarch/internal/jig"
	"lemonarch/internal/mishap"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/watch"
)

// Unable is the mishap of a process that can't do what it was asked.
var Unable = mishap.Define("process unable")

// Answerer answers one kind of call.
type Answerer func(body []byte) ([]byte, error)

// Trestle is the stand of one process.
type Trestle struct {
	Boot *boot.Boot
	Own  pattern.Entry
	Wire tongs.Transport
	Log  hclog.Logger
	Stop chan struct{}

	lock      sync.Mutex
	view      *bellows.View
	answerers map[pattern.Kind]Answerer
	config    *jig.Config
	onConfig  []func(*jig.Config)
	pulling   bool
	reports   map[string]func() *pattern.Status
	onAnswer  func(answer *pattern.Shuffle)
	onWord    func(address string, answer *pattern.Shuffle)
	rounds    int
	pegs      pegs
	ended     sync.Once
}

// Prepare sets the limits that the machine gives, before anything is allocated.
func Prepare(settings *boot.Boot) {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(almanac.CollectPercent)
	debug.SetMemoryLimit(int64(almanac.MemoryShare * float64(settings.Limits.MemoryMB) * (1 << 20)))
}

// NewLog makes the log: one line of key=value pairs for each event.
func NewLog(name string) hclog.Logger {
	level := hclog.Info
	if os.Getenv("LEMONARCH_LOG") == "debug" {
		level = hclog.Debug
	}
	return hclog.New(&hclog.LoggerOptions{Name: name, Level: level, Output: os.Stdout, DisableTime: true})
}

// New makes a stand for a process of a role.
func New(settings *boot.Boot, role string, port int, disk string, log hclog.Logger) *Trestle {
	own := pattern.Entry{Name: settings.NodeName, Life: watch.Wall(), Role: role, Hall: settings.Hall,
		Address: settings.InternalAddress(settings.Address, port), Disk: disk}
	trestle := &Trestle{Boot: settings, Own: own, Wire: tongs.NewWire(own.Address), Log: log, Stop: make(chan struct{}),
		view: bellows.NewView(own, own.Life), answerers: map[pattern.Kind]Answerer{},
		reports: map[string]func() *pattern.Status{}}
	trestle.Answer(pattern.KindShuffle, trestle.shuffled)
	trestle.Answer(pattern.KindConfigPush, trestle.pushed)
	trestle.Answer(pattern.KindStatus, trestle.reported)
	trestle.Report("nodes", trestle.reportNodes)
	trestle.Report("halls", trestle.reportHalls)
	trestle.Report("config", trestle.reportSelf)
	trestle.Report("traffic", trestle.reportTraffic)
	trestle.Report("assignments", trestle.reportPegs)
	trestle.learnPlaces([]pattern.Entry{own})
	return trestle
}

// Answer registers who answers a kind of call.
func (trestle *Trestle) Answer(kind pattern.Kind, answerer Answerer) {
	trestle.answerers[kind] = answerer
}

// Handle answers one call; what nobody answers is a later version's, skipped and
// counted by the transport.
func (trestle *Trestle) Handle(kind pattern.Kind, body []byte) ([]byte, error) {
	answerer := trestle.answerers[kind]
	if answerer == nil {
		return nil, nil
	}
	return answerer(body)
}

// Start serves calls and begins the loops.
func (trestle *Trestle) Start() error {
	failure := trestle.Wire.Serve(trestle.Handle)
	if failure != nil {
		return Unable.Wrap(failure, "serve")
	}
	go trestle.meet()
	go trestle.countTraffic()
	return nil
}

// End stops the loops.
func (trestle *Trestle) End() { trestle.ended.Do(func() { close(trestle.Stop) }) }

// Touched notes direct word from a process.
func (trestle *Trestle) Touched(key string) {
	trestle.lock.Lock()
	defer trestle.lock.Unlock()
	trestle.view.Touched(key, watch.Now())
}

// Live gives the processes of a role that were heard lately.
func (trestle *Trestle) Live(role string) []pattern.Entry {
	trestle.lock.Lock()
	defer trestle.lock.Unlock()
	return trestle.view.Live(role, watch.Now())
}

// All gives every known process of a role.
func (trestle *Trestle) All(role string) []pattern.Entry {
	trestle.lock.Lock()
	defer trestle.lock.Unlock()
	return trestle.view.All(role, watch.Now())
}

// Leave marks this process as going away, and tells a foreman at once.
func (trestle *Trestle) Leave() {
	trestle.logTraffic(hclog.Info)
	trestle.lock.Lock()
	trestle.view.SetLeaving()
	trestle.lock.Unlock()
	if trestle.Own.Role != bellows.RoleForeman {
		go trestle.exchange()
	}
}

// Spread sends one message to each process of the list at the same time and
// waits for all answers or for the span.
func (trestle *Trestle) Spread(entries []pattern.Entry, kind pattern.Kind, message tongs.Writable, span watch.Span, failed func(pattern.Entry)) {
	body, failure := message.MarshalMsg(nil)
	if failure != nil {
		return
	}
	var group sync.WaitGroup
	for _, entry := range entries {
		group.Add(1)
		go func() {
			defer group.Done()
			if _, failure := trestle.Wire.Call(entry.Address, kind, body, span); failure == nil {
				trestle.Touched(bellows.Key(entry))
			} else if failed != nil {
				failed(entry)
			}
		}()
	}
	group.Wait()
}
