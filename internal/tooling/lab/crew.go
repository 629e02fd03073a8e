package lab

import (
	"fmt"
	"net"
	"strconv"
	"sync"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/contexts"
	"lemonarch/internal/tooling/workeremulator"
)

// shape is the engine of the fleet's model workers.
func (plan *Plan) shape() workeremulator.Shape {
	return workeremulator.Shape{Capacity: plan.Capacity, Queue: plan.Capacity / 2, CacheTokens: plan.CacheTokens, ReadPerMs: constants.LabReadPerMs,
		Step: constants.LabStep, StepEach: constants.LabStepEach, Stride: constants.LabStride}
}

// place is where one emulated worker stands; its lives follow each other there.
type place struct {
	name, address string
	nodeSettings  workeremulator.Settings
	seed          int64

	lock   sync.Mutex
	life   int
	worker *workeremulator.Worker
	beater *workeremulator.Beater
	halt   func()
	faults workeremulator.Faults
}

func (plan *Plan) places() []*place {
	var all []*place
	add := func(kind string, count int, nodeSettings workeremulator.Settings) {
		for number := 0; number < count; number++ {
			one := nodeSettings
			one.Zone = plan.zone(number)
			all = append(all, &place{name: kind + "-" + strconv.Itoa(number+1), nodeSettings: one, seed: plan.Seed*1000 + int64(len(all)),
				address: plan.host(constants.LabWorkerHost, len(all), constants.LabWorkerPort)})
		}
	}
	add("worker", plan.Workers, workeremulator.Settings{Service: ModelService, Model: ModelName, Shape: plan.shape(), ConnLimit: constants.LabConnLimit, Probe: ProbePath, Revision: 1, Warmup: constants.LabWarmup})
	add("plain", plan.Plain, workeremulator.Settings{Service: PlainService, Work: constants.LabPlainWork, ConnLimit: constants.LabConnLimit, Probe: ProbePath,
		Shape: workeremulator.Shape{Capacity: constants.LabPlainSlots, Queue: constants.LabPlainSlots}})
	return all
}

// begin starts a new life: a new id, at the same address.
func (one *place) begin(record *workeremulator.Record, controls []string) error {
	one.lock.Lock()
	defer one.lock.Unlock()
	if one.worker != nil {
		return nil
	}
	listener, err := net.Listen("tcp4", one.address)
	if err != nil {
		return Unfit.New(one.name + " can't listen at " + one.address + ": " + lastWords(err))
	}
	one.life++
	nodeSettings := one.nodeSettings
	nodeSettings.ID = fmt.Sprintf("%s-life%d", one.name, one.life)
	one.worker = workeremulator.NewWorker(nodeSettings, record, workeremulator.RealClock{}, one.seed+int64(one.life)*100_000)
	one.worker.SetFaults(one.faults)
	one.beater = workeremulator.NewBeater(one.worker, one.address, controls)
	until, halt := contexts.Stoppable(contexts.Background())
	one.halt = halt
	go one.worker.Serve(listener)
	go one.beater.Keep(until, constants.LabBeat)
	return nil
}

// take gives the present life away, so that somebody ends it.
func (one *place) take() (*workeremulator.Worker, *workeremulator.Beater) {
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
		beater.LeaveInOrder(clock.Milliseconds(constants.LabDrainMs))
	}
}

// trouble switches faults on and off; they outlast the present life.
func (one *place) trouble(faults workeremulator.Faults) {
	one.lock.Lock()
	defer one.lock.Unlock()
	one.faults = faults
	if one.worker != nil {
		one.worker.SetFaults(faults)
	}
}
