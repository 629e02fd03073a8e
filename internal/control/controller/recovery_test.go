package controller

import (
	"fmt"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/settings"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/tooling/simulation"
)

// phaseNames are the names of the phases in workers' calls.
var phaseNames = map[messages.Phase]string{messages.PhaseSteady: "steady", messages.PhaseDraining: "draining"}

// powerFleet is three controllers on simulated disks that lose power.
type powerFleet struct {
	test        *testing.T
	seed        int64
	random      *rand.Rand
	network     *transport.MemoryNetwork
	lock        sync.Mutex
	disks       map[int]*simulation.Disk
	mounts      map[int]*mountedDisk
	controllers map[int]*Controller
	// phases are the latest phases that were acknowledged, by worker.
	phases map[string]messages.Phase
	// count is the call count in the last call of any worker.
	count int64
}

// start starts a controller on its disk. first marks the system's first start.
func (p *powerFleet) start(number int, first bool) *Controller {
	nodeSettings := &settings.Settings{NodeName: fmt.Sprint("m", number), Address: fmt.Sprint("10.0.0.", number), Zone: fmt.Sprint("h", number),
		InternalPorts: []int{7000, 7010}, Seeds: []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"}, Bootstrap: first, InQuorum: true,
		HeartbeatMs: 1200, FaultBudget: settings.FaultBudget{Machines: 1}}
	p.mounts[number] = &mountedDisk{lock: &p.lock, disk: p.disks[number]}
	controller, err := newOnDisk(p.mounts[number], nodeSettings, hclog.NewNullLogger())
	if err != nil {
		p.test.Fatal(err)
	}
	controller.Node.Transport = p.network.Transport(controller.Node.Self.Address)
	if err = controller.Node.Transport.Serve(controller.Node.Dispatch); err != nil {
		p.test.Fatal(err)
	}
	p.controllers[number] = controller
	return controller
}

// losePower ends an incarnation with a loss of power, which also loses what was not synced to disk.
func (p *powerFleet) losePower(number int) {
	controller := p.controllers[number]
	if controller == nil {
		return
	}
	p.lock.Lock()
	p.mounts[number].powerLost = true
	p.lock.Unlock()
	controller.Node.Shutdown()
	controller.Node.Transport.(*transport.Memory).Close()
	p.disks[number].PowerLoss()
	delete(p.controllers, number)
}

// join makes a started controller read the acceptor sets and recover the workers.
func (p *powerFleet) join(controller *Controller) {
	if len(controller.Register.Known().Acceptors) == 0 {
		controller.Register.SyncSets()
	}
	startUp(p.test, controller)
	exchangeMembership(p.controllers)
}

// callWorker sends a worker's call to a controller, and reports whether it was acknowledged.
func (p *powerFleet) callWorker(number int, id string, phase messages.Phase) bool {
	p.count++
	path, body := "/-/Workers.Heartbeat/"+id, fmt.Sprintf(`{"backend":"s","address":"a:1","zone":"h1","capacity":4,"phase":"%s","call-count":%d}`, phaseNames[phase], p.count)
	if phase == messages.PhaseDeparted {
		path = "/-/Workers.Depart/" + id
	}
	controller := p.controllers[number]
	controller.contact().Round()
	writer := httptest.NewRecorder()
	controller.handler().ServeHTTP(writer, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	return writer.Code == http.StatusOK
}

// step makes one random step: a call of a worker, a network partition, or a restart.
func (p *powerFleet) step() {
	number := 1 + p.random.Intn(3)
	switch p.random.Intn(10) {
	case 0:
		for other := 1; other <= 3; other++ {
			p.network.SetPartitioned(p.controllers[other].Node.Self.Address, false)
		}
		if p.random.Intn(2) == 0 {
			p.network.SetPartitioned(p.controllers[number].Node.Self.Address, true)
		}
	case 1:
		for other := 1; other <= 3; other++ {
			p.network.SetPartitioned(p.controllers[other].Node.Self.Address, false)
		}
		p.losePower(number)
		p.join(p.start(number, false))
	default:
		id := fmt.Sprint("w", p.random.Intn(6))
		phase := p.phases[id] + messages.Phase(p.random.Intn(2))
		if phase <= messages.PhaseDeparted && p.callWorker(number, id, phase) {
			p.phases[id] = phase
		}
	}
}

// loseAllPower ends all controllers with a loss of power, which wipes one disk in half of the runs, and
// restarts them. If no disk was wiped, one controller stays down.
func (p *powerFleet) loseAllPower() {
	for number := 1; number <= 3; number++ {
		p.network.SetPartitioned(p.controllers[number].Node.Self.Address, false)
		p.losePower(number)
	}
	target, wiped := 1+p.random.Intn(3), p.random.Intn(2) == 0
	if wiped {
		p.disks[target].Wipe()
	}
	for _, i := range p.random.Perm(3) {
		if number := i + 1; wiped || number != target {
			controller := p.start(number, false)
			if _, err := controller.Node.Dispatch(messages.KindWorkersPull, encode(p.test, &messages.WorkersPullRequest{})); err == nil {
				p.test.Fatalf("seed %d: m%d responded with workers before it recovered them from a majority", p.seed, number)
			}
		}
	}
	for _, controller := range p.controllers {
		p.join(controller)
	}
}

// encode returns the encoded message.
func encode(t *testing.T, message transport.Marshaler) []byte {
	t.Helper()

	body, err := message.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// check checks that no controller has a worker in an earlier phase than was acknowledged.
func (p *powerFleet) check() {
	for number, controller := range p.controllers {
		for id, phase := range p.phases {
			if worker, known := controller.workers.Get(id); known && worker.Phase < phase {
				p.test.Errorf("seed %d: m%d has worker %s as %s after %s was acknowledged", p.seed, number, id, worker.Phase, phase)
			}
		}
	}
}

// TestAcknowledgedDrainsSurviveALossOfPower checks that no acknowledged drain or departure is lost by
// random partitions and restarts, followed by a power loss of all controllers with one disk lost or one
// machine down. A controller that has recovered must not have such a worker as steady.
func TestAcknowledgedDrainsSurviveALossOfPower(t *testing.T) {
	seeds, acknowledged := 60, 0
	if count, err := strconv.Atoi(os.Getenv("LEMONARCH_SEEDS")); err == nil {
		seeds = count
	}
	for seed := int64(1); seed <= int64(seeds) && !t.Failed(); seed++ {
		p := &powerFleet{test: t, seed: seed, random: rand.New(rand.NewSource(seed)), network: transport.NewMemoryNetwork(),
			disks: map[int]*simulation.Disk{}, mounts: map[int]*mountedDisk{}, controllers: map[int]*Controller{}, phases: map[string]messages.Phase{}}
		for number := 1; number <= 3; number++ {
			p.disks[number] = simulation.NewDisk(10*seed + int64(number))
			p.start(number, true)
		}
		for number := 1; number <= 3; number++ {
			p.join(p.controllers[number])
		}
		for steps := 0; steps < 25; steps++ {
			p.step()
		}
		p.loseAllPower()
		p.check()
		for _, phase := range p.phases {
			if phase > messages.PhaseSteady {
				acknowledged++
			}
		}
		for number := 1; number <= 3; number++ {
			p.losePower(number)
		}
	}
	if acknowledged == 0 {
		t.Fatal("no drain was acknowledged")
	}
	t.Logf("%d drains and departures were acknowledged", acknowledged)
}
