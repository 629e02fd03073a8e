package store

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
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

const unlimitedConfig = `{"generation":1,"channels":[{"name":"b","host":"h","path-prefix":"/b/","route-kind":"bulk","backend":"s","tries":2,"retain-s":600,"result-setpoint-ms":9000,"backlog-cap":0}],"backends":[{"name":"s"}],"limits":{}}`

// recoveryFleet runs real store processes in simulated time. Machines lose power and disks and
// come back, links have a limited bandwidth, and set changes may reach the register late. It runs
// in a bubble of testing/synctest, so no code in it may hold a lock while it waits.
type recoveryFleet struct {
	t        *testing.T
	random   *rand.Rand
	budget   int
	network  *transport.MemoryNetwork
	register *fakeRegister
	// links is keyed by address, disks by name. Neither map changes after the fleet has started.
	links map[string]*link
	disks map[string]*simulation.Disk
	stop  chan struct{}

	lock          sync.Mutex
	poweredOff    map[string]bool
	running       map[string]*poweredServer
	acceptedNames []string
	logLines      []string
	starts        int
}

// poweredServer is one incarnation of a store process.
type poweredServer struct {
	*Server
	power *power
}

func newRecoveryFleet(t *testing.T, seed int64, stores, budget int) *recoveryFleet {
	t.Helper()
	// A bubble starts in the year 2000, long before the monotonic clock of this process.
	clock.Sleep(clock.Milliseconds(1000) - clock.Now().Sub(0))
	f := &recoveryFleet{t: t, random: rand.New(rand.NewSource(seed)), budget: budget, network: transport.NewMemoryNetwork(),
		links: map[string]*link{}, disks: map[string]*simulation.Disk{}, stop: make(chan struct{}),
		poweredOff: map[string]bool{}, running: map[string]*poweredServer{}}
	f.register = &fakeRegister{grantor: lease.NewGrantor(clock.Now(), true),
		value: messages.RegisterValue{Acceptors: []messages.Member{{Address: fakeRegisterAddress, Disk: "r"}}}}
	_ = f.network.Transport(fakeRegisterAddress).Serve(f.register.respond)
	const linkBytes = 7.5e6
	for number := 1; number <= stores; number++ {
		f.links[storeAddress(number)] = &link{bytesPerSecond: linkBytes * (0.3 + f.random.Float64())}
		f.disks[storeName(number)] = simulation.NewDisk(seed*100 + int64(number))
	}
	for number := 1; number <= stores; number++ {
		f.start(number)
	}
	f.exchangeMembers()
	go clock.Every(constants.TickPeriod*4, f.stop, f.exchangeMembers)
	return f
}

func storeName(number int) string    { return fmt.Sprint("s", number) }
func storeAddress(number int) string { return fmt.Sprint("10.0.0.", number, ":7002") }

// logf writes a line to the fleet's log.
func (f *recoveryFleet) logf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(f, format, arguments...)
}

// Write appends a log line of a process to the fleet's log.
func (f *recoveryFleet) Write(line []byte) (int, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.logLines = append(f.logLines, fmt.Sprintf("%8.3f %s", float64(clock.Now())/1e9, strings.TrimSpace(string(line))))
	return len(line), nil
}

func (f *recoveryFleet) isPoweredOff(address string) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.poweredOff[address]
}

// start starts a store process on the disk of its machine.
func (f *recoveryFleet) start(number int) {
	name, supply := storeName(number), &power{}
	f.lock.Lock()
	f.starts++
	identity := fmt.Sprint(name, "-", f.starts)
	f.lock.Unlock()
	replica, err := replicalog.Open(poweredDisk{f.disks[name], supply}, identity)
	if err != nil {
		f.t.Errorf("open the log of %s: %v", name, err)
		return
	}
	nodeSettings := &settings.Settings{NodeName: name, Address: fmt.Sprint("10.0.0.", number), Zone: fmt.Sprint("h", number%4), InternalPorts: []int{7000, 7010},
		Seeds: []string{"10.0.0.99:80"}, HeartbeatMs: 1200, FaultBudget: settings.FaultBudget{Machines: f.budget}, Tolerances: settings.Tolerances{StatusS: 120, CancelMs: 3000}}
	log := hclog.New(&hclog.LoggerOptions{Output: f, DisableTime: true, Name: name, Level: hclog.Info})
	runtime := agent.New(nodeSettings, membership.RoleStore, constants.PortStore, replica.Disk(), log)
	runtime.Transport = poweredTransport{f.network.Transport(runtime.Self.Address), f, supply, runtime.Self.Address}
	server := newServer(runtime, replica)
	server.registerHandlers()
	server.registerReports()
	runtime.ApplyConfig([]byte(unlimitedConfig))
	if err = runtime.Transport.Serve(runtime.Dispatch); err != nil {
		f.t.Errorf("serve requests at %s: %v", name, err)
		return
	}
	f.lock.Lock()
	delete(f.poweredOff, runtime.Self.Address)
	f.running[name] = &poweredServer{server, supply}
	f.lock.Unlock()
	go server.election.Run()
}

// powerOff cuts the power of a machine, which ends its process at any point of its work.
func (f *recoveryFleet) powerOff(number int, diskLost bool) {
	name := storeName(number)
	f.lock.Lock()
	server := f.running[name]
	delete(f.running, name)
	f.poweredOff[storeAddress(number)] = true
	f.lock.Unlock()
	if server != nil {
		server.power.lost.Store(true)
		if term := server.currentTerm(); term != nil {
			term.Close("power is lost")
		}
		server.Node.Shutdown()
		server.Node.Transport.Close()
	}
	f.disks[name].PowerLoss()
	if diskLost {
		f.disks[name].Wipe()
	}
}

func (f *recoveryFleet) servers() []*poweredServer {
	f.lock.Lock()
	defer f.lock.Unlock()
	var all []*poweredServer
	for _, name := range simulation.SortedKeys(f.running) {
		all = append(all, f.running[name])
	}
	return all
}

// exchangeMembers makes every process known to every other, as membership shuffles do.
func (f *recoveryFleet) exchangeMembers() {
	all := f.servers()
	for _, server := range all {
		for _, other := range all {
			if server != other {
				server.Node.Observe([]messages.NodeInfo{other.Node.Self})
			}
		}
	}
}

// storeSet returns the store set that the register names.
func (f *recoveryFleet) storeSet() []messages.Member {
	f.register.lock.Lock()
	defer f.register.lock.Unlock()
	return slices.Clone(f.register.value.Stores)
}

// leader returns the process that serves as the leader, or nil if there is none.
func (f *recoveryFleet) leader() *poweredServer {
	for _, server := range f.servers() {
		if term := server.currentTerm(); term != nil && server.election.HoldsLease() && term.Serving() {
			return server
		}
	}
	return nil
}

// shutDown cuts the power of all machines and waits until no operation is pending.
func (f *recoveryFleet) shutDown() {
	close(f.stop)
	for number := 1; number <= len(f.disks); number++ {
		f.powerOff(number, false)
	}
	clock.Sleep(2 * constants.SetChangeTimeout)
	if f.t.Failed() {
		f.lock.Lock()
		defer f.lock.Unlock()
		f.t.Log("\n" + strings.Join(f.logLines, "\n"))
	}
}
