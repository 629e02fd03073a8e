// Package agent makes a process a member of the fleet. It maintains a view of the other processes by
// reporting to controllers, follows the newest configuration and the process's share of the
// adapter assignments, and forwards configurations. Every gateway, store and controller runs
// one agent on top of its process.Runtime. The view, which does no I/O, is in package membership.
package agent

import (
	"sync"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/process"
	"lemonarch/internal/platform/settings"
	"lemonarch/internal/platform/transport"
)

// Agent connects one process to the fleet.
type Agent struct {
	*process.Runtime

	// lock guards the fields below. It is not held while a request is in flight.
	lock     sync.Mutex
	view     *membership.View
	reporter reporter
	config   *routeconfig.Config
	// pulling is set while a newer configuration is being pulled.
	pulling bool
	plan    planFollower

	// onConfig are called with each newer configuration. Set before Start.
	onConfig []func(*routeconfig.Config)
	// notifyLock is held while onConfig are called. It guards notifiedGeneration and is acquired
	// before lock.
	notifyLock         sync.Mutex
	notifiedGeneration int64
}

// New creates the agent of a process and its runtime; see process.New.
func New(nodeSettings *settings.Settings, role string, port int, disk string, log hclog.Logger) *Agent {
	runtime := process.New(nodeSettings, role, port, disk, log)
	a := &Agent{Runtime: runtime, view: membership.NewView(runtime.Self, runtime.Self.Incarnation)}
	process.Handle(runtime, messages.KindShuffle, a.handleShuffle)
	process.Handle(runtime, messages.KindConfigPush, a.handleConfigPush)
	process.Handle(runtime, messages.KindConfigPull, a.handleConfigPull)
	a.Report("nodes", a.reportNodes)
	a.Report("zones", a.reportZones)
	a.Report("config", a.reportConfig)
	a.Report("assignments", a.reportAssigned)
	a.RecordLocalities([]messages.NodeInfo{runtime.Self})
	return a
}

// Start starts serving requests and starts the periodic reports.
func (a *Agent) Start() error {
	if err := a.Runtime.Start(); err != nil {
		return err
	}
	go a.join()
	return nil
}

// Drain marks this process as draining and, unless it is a controller, reports that to a controller
// immediately.
func (a *Agent) Drain() {
	a.LogTraffic(hclog.Info)
	a.lock.Lock()
	a.view.SetDraining()
	a.lock.Unlock()
	if a.Self.Role != membership.RoleController {
		go a.exchange()
	}
}

// WithView calls a function with the view under the lock. The function must not retain the view.
func (a *Agent) WithView(function func(view *membership.View)) {
	a.lock.Lock()
	defer a.lock.Unlock()
	function(a.view)
}

// NoteContact records a direct message from a process.
func (a *Agent) NoteContact(key string) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.view.NoteContact(key, clock.Now())
}

// Live returns the processes of a role, or of all roles if it is empty, that were in contact within
// constants.SuspectAfter; see membership.View.Live.
func (a *Agent) Live(role string) []messages.NodeInfo {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.view.Live(role, clock.Now())
}

// All returns every known process of a role, or of all roles if it is empty.
func (a *Agent) All(role string) []messages.NodeInfo {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.view.All(role, clock.Now())
}

// Neighbours returns up to count live processes of a role that are not draining: one in another zone
// if there is one, and the rest in this zone. More processes of other zones are included only if
// this zone has too few. The selection stays the same while the set of these processes does.
func (a *Agent) Neighbours(role string, count int) []messages.NodeInfo {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.view.Neighbours(role, count, clock.Now())
}

// Population returns the number of live processes of a role in the fleet, including this one: the
// number that a controller last reported, or the number in the view if there is no such report or
// this process is a controller.
func (a *Agent) Population(role string) int {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.view.Population(role, clock.Now())
}

// Multicast sends one message to each process of the list at the same time, and returns once each
// call has returned, after the timeout at the latest. onFailure, if not nil, is called for each
// process whose call failed or timed out, each time from a separate goroutine.
func (a *Agent) Multicast(entries []messages.NodeInfo, kind messages.Kind, message transport.Marshaler, timeout clock.Duration, onFailure func(messages.NodeInfo)) {
	body, err := message.MarshalMsg(nil)
	if err != nil {
		a.Log.Error("failed to encode multicast message", "kind", kind.String(), "err", err.Error())
		return
	}
	var group sync.WaitGroup
	for _, entry := range entries {
		group.Add(1)
		go func() {
			defer group.Done()
			if _, err := a.Transport.Call(entry.Address, kind, body, timeout); err == nil {
				a.NoteContact(membership.Key(entry))
			} else if onFailure != nil {
				onFailure(entry)
			}
		}()
	}
	group.Wait()
}

// ForEachController calls a function concurrently with the address of each seed and each live
// controller except this process, and returns once all calls have returned.
func (a *Agent) ForEachController(function func(address string)) {
	addresses := map[string]bool{}
	for _, address := range a.Settings.SeedAddresses(constants.PortController) {
		addresses[address] = true
	}
	for _, entry := range a.Live(membership.RoleController) {
		addresses[entry.Address] = true
	}
	delete(addresses, a.Self.Address)
	var group sync.WaitGroup
	for address := range addresses {
		group.Add(1)
		go func() {
			defer group.Done()
			function(address)
		}()
	}
	group.Wait()
}
