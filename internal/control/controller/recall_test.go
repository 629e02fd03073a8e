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

// phaseNames are the phases as workers say them.
var phaseNames = map[messages.Phase]string{messages.PhaseSteady: "steady", messages.PhaseDraining: "draining"}

// power is three controllers on simulated disks that lose power.
type power struct {
	test        *testing.T
	seed        int64
	random      *rand.Rand
	room        *transport.Room
	lock        sync.Mutex
	disks       map[int]*simulation.Disk
	mounts      map[int]*mounted
	controllers map[int]*Controller
	// phases are the furthest phases that were acknowledged.
	phases map[string]messages.Phase
	count  int64
}

func (one *power) start(number int, first bool) *Controller {
	nodeSettings := &settings.Settings{NodeName: fmt.Sprint("m", number), Address: fmt.Sprint("10.0.0.", number), Zone: fmt.Sprint("h", number),
		InternalPorts: []int{7000, 7010}, Seeds: []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"}, Bootstrap: first, InQuorum: true,
		HeartbeatMs: 1200, FaultBudget: settings.FaultBudget{Machines: 1}}
	one.mounts[number] = &mounted{lock: &one.lock, disk: one.disks[number]}
	controller, err := newOn(one.mounts[number], nodeSettings, hclog.NewNullLogger())
	if err != nil {
		one.test.Fatal(err)
	}
	controller.Node.Wire = one.room.Transport(controller.Node.Own.Address)
	if err = controller.Node.Wire.Serve(controller.Node.Handle); err != nil {
		one.test.Fatal(err)
	}
	one.controllers[number] = controller
	return controller
}

// lose ends a life as a loss of power does.
func (one *power) lose(number int) {
	controller := one.controllers[number]
	if controller == nil {
		return
	}
	one.lock.Lock()
	one.mounts[number].dead = true
	one.lock.Unlock()
	controller.Node.End()
	controller.Node.Wire.(*transport.Twin).Close()
	one.disks[number].PowerLoss()
	delete(one.controllers, number)
}

// join has a started controller learn what it can't know.
func (one *power) join(controller *Controller) {
	if len(controller.Register.Known().Acceptors) == 0 {
		controller.learnSets()
	}
	meet(one.test, controller)
	acquaint(one.controllers)
}

// say makes a worker's call at a controller, and tells whether it was acknowledged.
func (one *power) say(number int, id string, phase messages.Phase) bool {
	one.count++
	path, body := "/-/Workers.Heartbeat/"+id, fmt.Sprintf(`{"backend":"s","address":"a:1","zone":"h1","capacity":4,"phase":"%s","call-count":%d}`, phaseNames[phase], one.count)
	if phase == messages.PhaseGone {
		path = "/-/Workers.Depart/" + id
	}
	controller := one.controllers[number]
	controller.contactRound()
	writer := httptest.NewRecorder()
	controller.calls().ServeHTTP(writer, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	return writer.Code == http.StatusOK
}

// step makes one random step: a call of a worker, a cut, or a restart.
func (one *power) step() {
	number := 1 + one.random.Intn(3)
	switch one.random.Intn(10) {
	case 0:
		for other := 1; other <= 3; other++ {
			one.room.Cut(one.controllers[other].Node.Own.Address, false)
		}
		if one.random.Intn(2) == 0 {
			one.room.Cut(one.controllers[number].Node.Own.Address, true)
		}
	case 1:
		for other := 1; other <= 3; other++ {
			one.room.Cut(one.controllers[other].Node.Own.Address, false)
		}
		one.lose(number)
		one.join(one.start(number, false))
	default:
		id := fmt.Sprint("w", one.random.Intn(6))
		phase := one.phases[id] + messages.Phase(one.random.Intn(2))
		if phase <= messages.PhaseGone && one.say(number, id, phase) {
			one.phases[id] = phase
		}
	}
}

// loseAll has all lose power, one perhaps its disk besides, and starts them again; where
// no disk was lost, one may stay down.
func (one *power) loseAll() {
	for number := 1; number <= 3; number++ {
		one.room.Cut(one.controllers[number].Node.Own.Address, false)
		one.lose(number)
	}
	hit, wiped := 1+one.random.Intn(3), one.random.Intn(2) == 0
	if wiped {
		one.disks[hit].Wipe()
	}
	for _, place := range one.random.Perm(3) {
		if number := place + 1; wiped || number != hit {
			controller := one.start(number, false)
			if _, err := controller.Node.Handle(messages.KindRosterPull, packed(one.test, &messages.RosterPull{})); err == nil {
				one.test.Fatalf("seed %d: m%d vouches for workers before it has heard anybody", one.seed, number)
			}
		}
	}
	for _, controller := range one.controllers {
		one.join(controller)
	}
}

func packed(test *testing.T, message transport.Writable) []byte {
	body, err := message.MarshalMsg(nil)
	if err != nil {
		test.Fatal(err)
	}
	return body
}

func (one *power) check() {
	for number, controller := range one.controllers {
		controller.lock.Lock()
		for id, phase := range one.phases {
			if worker, known := controller.registry.Get(id); known && worker.Phase < phase {
				one.test.Errorf("seed %d: m%d takes %s for %s, %s was acknowledged", one.seed, number, id, worker.Phase, phase)
			}
		}
		controller.lock.Unlock()
	}
}

// TestAcknowledgedDrainsOutlastALossOfPower: after any cuts and restarts, and a loss of
// power of all with one disk lost or one machine down, no controller that vouches for the
// workers takes one for steady whose drain or departure was acknowledged.
func TestAcknowledgedDrainsOutlastALossOfPower(test *testing.T) {
	seeds, acknowledged := 60, 0
	if many, err := strconv.Atoi(os.Getenv("LEMONARCH_SEEDS")); err == nil {
		seeds = many
	}
	for seed := int64(1); seed <= int64(seeds) && !test.Failed(); seed++ {
		one := &power{test: test, seed: seed, random: rand.New(rand.NewSource(seed)), room: transport.NewRoom(),
			disks: map[int]*simulation.Disk{}, mounts: map[int]*mounted{}, controllers: map[int]*Controller{}, phases: map[string]messages.Phase{}}
		for number := 1; number <= 3; number++ {
			one.disks[number] = simulation.NewDisk(10*seed + int64(number))
			one.start(number, true)
		}
		for number := 1; number <= 3; number++ {
			one.join(one.controllers[number])
		}
		for steps := 0; steps < 25; steps++ {
			one.step()
		}
		one.loseAll()
		one.check()
		for _, phase := range one.phases {
			if phase > messages.PhaseSteady {
				acknowledged++
			}
		}
		for number := 1; number <= 3; number++ {
			one.lose(number)
		}
	}
	if acknowledged == 0 {
		test.Fatal("no drain was acknowledged")
	}
	test.Logf("%d drains and departures were acknowledged", acknowledged)
}
