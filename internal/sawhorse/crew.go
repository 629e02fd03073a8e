package sawhorse

import (
	"fmt"
	"net"
	"strconv"
	"sync"

	"lemonarch/internal/almanac"
	"lemonarch/internal/anvil"
	"lemonarch/internal/errand"
	"lemonarch/internal/watch"
)

// shape is the engine of the fleet's model workers.
func (plan *Plan) shape() anvil.Shape {
	return anvil.Shape{Capacity: plan.Capacity, Queue: plan.Capacity / 2, CacheTokens: plan.CacheTokens, ReadPerMs: almanac.LabReadPerMs,
		Step: almanac.LabStep, StepEach: almanac.LabStepEach, Stride: almanac.LabStride}
}

// place is where one emulated worker stands; its lives follow each other there.
type place struct {
	name, address string
	settings      anvil.Settings
	seed          int64

	lock   sync.Mutex
	life   int
	worker *anvil.Worker
	beater *anvil.Beater
	halt   func()
	faults anvil.Faults
}

func (plan *Plan) places() []*place {
	var all []*place
	add := func(kind string, count int, settings anvil.Settings) {
		for number := 0; number < count; number++ {
			one := settings
			one.Hall = plan.hall(number)
			all = append(all, &place{name: kind + "-" + strconv.Itoa(number+1), settings: one, seed: plan.Seed*1000 + int64(len(all)),
				address: plan.host(almanac.LabWorkerHost, len(all), almanac.LabWorkerPort)})
		}
	}
	add("worker", plan.Workers, anvil.Settings{Service: ModelService, Model: ModelName, Shape: plan.shape(), ConnLimit: almanac.LabConnLimit, Probe: ProbePath, Revision: 1, Warmup: almanac.LabWarmup})
	add("plain", plan.Plain, anvil.Settings{Service: PlainService, Work: almanac.LabPlainWork, ConnLimit: almanac.LabConnLimit, Probe: ProbePath,
		Shape: anvil.Shape{Capacity: almanac.LabPlainSlots, Queue: almanac.LabPlainSlots}})
	return all
}

// begin starts a new life: a new id, at the same address.
func (one *place) begin(record *anvil.Record, controls []string) error {
	one.lock.Lock()
	defer one.lock.Unlock()
	if one.worker != nil {
		return nil
	}
	listener, failure := net.Listen("tcp4", one.address)
	if failure != nil {
		return Unfit.New(one.name + " can't listen at " + one.address + ": " + lastWords(failure))
	}
	one.life++
	settings := one.settings
	settings.ID = fmt.Sprintf("%s-life%d", one.name, one.life)
	one.worker = anvil.NewWorker(settings, record, anvil.RealClock{}, one.seed+int64(one.life)*100_000)
	one.worker.SetFaults(one.faults)
	one.beater = anvil.NewBeater(one.worker, one.address, controls)
	until, halt := errand.Stoppable(errand.Background())
	one.halt = halt
	go one.worker.Serve(listener)
	go one.beater.Keep(until, almanac.LabBeat)
	return nil
}

// take gives the present life away, so that somebody ends it.
func (one *place) take() (*anvil.Worker, *anvil.Beater) {
	one.lock.Lock()
	defer one.lock.Unlock()
	worker, beater := one.worker, one.beater
	if one.halt != nil {
		one.halt()
	}
	one.worker, one.beater, one.halt = nil, nil, nil
	return worker, beater
}

// crash ends the present life without a word.
func (one *place) crash() {
	if worker, _ := one.take(); worker != nil {
		worker.Crash()
	}
}

// leave ends the present life in order.
func (one *place) leave() {
	if worker, beater := one.take(); worker != nil {
		beater.LeaveInOrder(watch.Milliseconds(almanac.LabDrainMs))
	}
}

// trouble switches faults on and off; they outlast the present life.
func (one *place) trouble(faults anvil.Faults) {
	one.lock.Lock()
	defer one.lock.Unlock()
	one.faults = faults
	if one.worker != nil {
		one.worker.SetFaults(faults)
	}
}
