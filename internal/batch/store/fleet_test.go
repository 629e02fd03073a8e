package store

import (
	"fmt"
	"math/rand"
	"sync"
	"testing"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/batch/replicalog"
	"lemonarch/internal/control/agent"
	"lemonarch/internal/control/lease"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/settings"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/tooling/simulation"
)

// storeFleet is a set of real stores on fake disks. They choose the first store set among
// themselves (three of five for a fault budget of one) and compete for the leadership.
type storeFleet struct {
	t *testing.T
	// budget is the number of stores that may be lost at once.
	budget       int
	random       *rand.Rand
	network      *transport.MemoryNetwork
	register     *fakeRegister
	disks        map[string]*simulation.Disk
	lock         sync.Mutex
	stores       map[string]*Server
	client       *transport.Memory
	acceptedJobs []string
	endedJobs    map[string]bool
}

func newStoreFleet(t *testing.T, seed int64) *storeFleet {
	t.Helper()

	return newStoreFleetOf(t, seed, 5, 1)
}

// newStoreFleetOf starts count stores with a fault budget.
func newStoreFleetOf(t *testing.T, seed int64, count, budget int) *storeFleet {
	t.Helper()

	fleet := &storeFleet{budget: budget, t: t, random: rand.New(rand.NewSource(seed)), network: transport.NewMemoryNetwork(), disks: map[string]*simulation.Disk{}, stores: map[string]*Server{}, endedJobs: map[string]bool{}}
	fleet.register = &fakeRegister{grantor: lease.NewGrantor(clock.Now(), true),
		value: messages.RegisterValue{Acceptors: []messages.Member{{Address: fakeRegisterAddress, Disk: "r"}}}}
	_ = fleet.network.Transport(fakeRegisterAddress).Serve(fleet.register.respond)
	fleet.client = fleet.network.Transport("client")
	for number := 1; number <= count; number++ {
		name := fmt.Sprint("s", number)
		fleet.disks[name] = simulation.NewDisk(seed*10 + int64(number))
		fleet.start(number, name+"-0")
	}
	stop := make(chan struct{})
	go clock.Every(constants.TickPeriod*4, stop, fleet.exchangeMembers)
	fleet.exchangeMembers()
	for _, name := range simulation.SortedKeys(fleet.stores) {
		go fleet.stores[name].election.Run()
	}
	t.Cleanup(func() {
		close(stop)
		for _, server := range fleet.servers() {
			fleet.stopServer(server)
		}
	})
	return fleet
}

// start starts a store process on the disk of its machine.
func (f *storeFleet) start(number int, identity string) *Server {
	name := fmt.Sprint("s", number)
	replica, err := replicalog.Open(f.disks[name], identity)
	if err != nil {
		f.t.Fatal(err)
	}
	nodeSettings := &settings.Settings{NodeName: name, Address: fmt.Sprint("10.0.0.", number), Zone: fmt.Sprint("h", number%3), InternalPorts: []int{7000, 7010},
		Seeds: []string{"10.0.0.99:80"}, HeartbeatMs: 1200, FaultBudget: settings.FaultBudget{Machines: f.budget}, Tolerances: settings.Tolerances{StatusS: 120, CancelMs: 3000}}
	runtime := agent.New(nodeSettings, membership.RoleStore, constants.PortStore, replica.Disk(), hclog.NewNullLogger())
	runtime.Transport = f.network.Transport(runtime.Self.Address)
	server := newServer(runtime, replica)
	server.registerHandlers()
	server.registerReports()
	runtime.ApplyConfig([]byte(quotaConfig))
	if err = runtime.Transport.Serve(runtime.Dispatch); err != nil {
		f.t.Fatal(err)
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	f.stores[name] = server
	return server
}

func (f *storeFleet) stopServer(server *Server) {
	if term := server.currentTerm(); term != nil {
		term.Close("stopped")
	}
	server.Node.Shutdown()
	server.Node.Transport.Close()
}

func (f *storeFleet) servers() []*Server {
	f.lock.Lock()
	defer f.lock.Unlock()
	var all []*Server
	for _, name := range simulation.SortedKeys(f.stores) {
		all = append(all, f.stores[name])
	}
	return all
}

// exchangeMembers makes every process known to every other, as membership shuffles do.
func (f *storeFleet) exchangeMembers() {
	all := f.servers()
	for _, server := range all {
		for _, other := range all {
			if server != other {
				server.Node.Observe([]messages.NodeInfo{other.Node.Self})
			}
		}
	}
}

// waitFor polls in real time until a condition is met, for up to 20 s.
func (f *storeFleet) waitFor(description string, condition func() bool) {
	for end := clock.Now().Add(clock.Milliseconds(20_000)); !condition(); {
		if clock.Now() > end {
			f.t.Fatal("condition not met within 20 s: ", description)
		}
		<-clock.After(constants.TickPeriod / 2)
	}
}

// call sends a call to one store after the other until the leader responds, and checks the status of the
// response.
func (f *storeFleet) call(call *messages.JobCallRequest, want int) {
	f.waitFor(fmt.Sprint(call.Method, " ", call.Job, " returns status ", want), func() bool {
		for _, server := range f.servers() {
			resp := &messages.JobCallResponse{}
			if transport.Call(f.client, server.Node.Self.Address, messages.KindJobCall, call, resp, clock.Milliseconds(700)) != nil || resp.NotLeader || resp.Status >= 500 {
				continue
			}
			if resp.Status != want {
				f.t.Fatalf("%s %s: status %d from %s, want %d", call.Method, call.Job, resp.Status, server.Node.Self.Name, want)
			}
			return true
		}
		return false
	})
}

// leaderStore waits until a store leads and serves, and returns it.
func (f *storeFleet) leaderStore() *Server {
	var leader *Server
	f.waitFor("a store leads and serves", func() bool {
		for _, server := range f.servers() {
			if term := server.currentTerm(); term != nil && server.election.HoldsLease() && term.Serving() {
				leader = server
			}
		}
		return leader != nil
	})
	return leader
}

// submitAndCheck submits a job, ends an older one, and checks that every acknowledged submission
// and end is still in effect.
func (f *storeFleet) submitAndCheck() {
	jobID := fmt.Sprint("lot", len(f.acceptedJobs))
	f.call(submitCall(jobID, 1), 202)
	f.acceptedJobs = append(f.acceptedJobs, jobID)
	// Few jobs stay open, so that each new one fits into the backlog.
	if len(f.acceptedJobs) > 2 {
		old := f.acceptedJobs[len(f.acceptedJobs)-3]
		f.call(&messages.JobCallRequest{Method: "DELETE", Job: old}, 200)
		f.endedJobs[old] = true
	}
	for _, accepted := range f.acceptedJobs {
		f.call(&messages.JobCallRequest{Method: "GET", Job: accepted}, 200)
	}
	term := f.leaderStore().currentTerm()
	if term == nil {
		return
	}
	for _, row := range term.ReportJobs().Rows {
		if jobID, state := row[0], row[len(row)-1]; f.endedJobs[jobID] && state != "ended" {
			f.t.Fatal("an ended job is open again: ", jobID)
		}
	}
}

// storeSetDisks returns the disk of each member of the store set, by the member's name.
func (f *storeFleet) storeSetDisks() map[string]string {
	f.register.lock.Lock()
	defer f.register.lock.Unlock()
	disks := map[string]string{}
	for _, member := range f.register.value.Stores {
		disks[member.Name] = member.Disk
	}
	return disks
}
