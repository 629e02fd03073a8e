// Package agent is a process's part in the fleet: it keeps a view of the other processes by
// reports to controllers, follows the newest configuration and its part of the adapter
// assignments, and passes configurations on. Every gateway, store and controller has one
// on top of its process.Runtime. The view itself is package membership, without I/O.
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

// Agent is one process as a member of the fleet.
type Agent struct {
	*process.Runtime

	// lock guards the fields below. It is not held while a request is under way.
	lock     sync.Mutex
	view     *membership.View
	reporter reporter
	config   *routeconfig.Config
	// pulling is set while a newer configuration is being pulled.
	pulling bool
	plan    planFollower

	// onConfig are notified of each newer configuration. Set before Start.
	onConfig []func(*routeconfig.Config)
	// notifying is held while they are; it guards notifiedGeneration, and is taken before lock.
	notifyLock         sync.Mutex
	notifiedGeneration int64
}

// New makes the agent of a process of a role on a runtime of its own; see process.New.
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

// Start serves requests and begins the loops.
func (a *Agent) Start() error {
	if err := a.Runtime.Start(); err != nil {
		return err
	}
	go a.join()
	return nil
}

// Drain marks this process as going away, and reports it to a controller at once.
func (a *Agent) Drain() {
	a.LogTraffic(hclog.Info)
	a.lock.Lock()
	a.view.SetDraining()
	a.lock.Unlock()
	if a.Self.Role != membership.RoleController {
		go a.exchange()
	}
}

// WithView runs a function on the view, which must not be kept.
func (a *Agent) WithView(function func(view *membership.View)) {
	a.lock.Lock()
	defer a.lock.Unlock()
	function(a.view)
}

// NoteContact notes a direct message from a process.
func (a *Agent) NoteContact(key string) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.view.NoteContact(key, clock.Now())
}

// Live gives the processes of a role that were in contact lately.
func (a *Agent) Live(role string) []messages.NodeInfo {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.view.Live(role, clock.Now())
}

// All gives every known process of a role, or of all where it is empty.
func (a *Agent) All(role string) []messages.NodeInfo {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.view.All(role, clock.Now())
}

// Neighbours gives up to count live processes of a role: the same ones as long as they
// live, one of them in another zone where there is one, the rest in this zone as far as it
// has them.
func (a *Agent) Neighbours(role string, count int) []messages.NodeInfo {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.view.Neighbours(role, count, clock.Now())
}

// Population is how many live processes of a role the whole fleet has, this one included:
// counted from the view where that is complete, else as a controller last reported.
func (a *Agent) Population(role string) int {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.view.Population(role, clock.Now())
}

// Multicast sends one message to each process of the list at the same time and waits for
// all responses or for the timeout. failed, where set, is called for each that did not
// respond, from a goroutine of its own.
func (a *Agent) Multicast(entries []messages.NodeInfo, kind messages.Kind, message transport.Marshaler, timeout clock.Duration, onFailure func(messages.NodeInfo)) {
	body, err := message.MarshalMsg(nil)
	if err != nil {
		a.Log.Error("message not encoded", "kind", kind.String(), "err", err.Error())
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

// ForEachController calls a function with the address of each seed and each live controller
// but this process, all at the same time, and returns once every call has.
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
