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
	// served closes once the present life's listener is closed.
	served chan struct{}
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
	worker, served := one.worker, make(chan struct{})
	one.served = served
	go func() {
		defer close(served)
		worker.Serve(listener)
	}()
	go one.beater.Keep(until, constants.LabBeat)
	return nil
}

// emulated is one life of a worker.
type emulated struct {
	worker *workeremulator.Worker
	beater *workeremulator.Beater
	served chan struct{}
}

// take gives the present life away, so that somebody ends it.
func (one *place) take() (life emulated, found bool) {
	one.lock.Lock()
	defer one.lock.Unlock()
	life = emulated{one.worker, one.beater, one.served}
	if one.halt != nil {
		one.halt()
	}
	one.worker, one.beater, one.halt = nil, nil, nil
	return life, life.worker != nil
}

// crash ends the present life without a word; its address is free then.
func (one *place) crash() {
	if life, found := one.take(); found {
		life.worker.Crash()
		<-life.served
	}
}

// leave ends the present life in order; its address is free then.
func (one *place) leave() {
	if life, found := one.take(); found {
		life.beater.LeaveInOrder(clock.Milliseconds(constants.LabDrainMs))
		<-life.served
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
