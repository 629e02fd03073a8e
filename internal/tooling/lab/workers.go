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
func (p *Plan) shape() workeremulator.Shape {
	return workeremulator.Shape{Capacity: p.Capacity, Queue: p.Capacity / 2, CacheTokens: p.CacheTokens, ReadPerMs: constants.LabReadPerMs,
		Step: constants.LabStep, StepEach: constants.LabStepEach, Stride: constants.LabStride}
}

// place is where one emulated worker stands; its lives follow each other there.
type place struct {
	// restarting is held while a trouble ends the worker and begins its next life.
	restarting sync.Mutex

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

func (p *Plan) places() []*place {
	if len(p.Families) > 0 {
		return p.familyPlaces()
	}
	var all []*place
	add := func(kind string, count int, nodeSettings workeremulator.Settings) {
		for number := 0; number < count; number++ {
			entry := nodeSettings
			entry.Zone = p.zone(number)
			all = append(all, &place{name: kind + "-" + strconv.Itoa(number+1), nodeSettings: entry, seed: p.Seed*1000 + int64(len(all)),
				address: p.host(constants.LabWorkerHost, len(all), constants.LabWorkerPort)})
		}
	}
	add("worker", p.Workers, workeremulator.Settings{Service: ModelService, Model: ModelName, Shape: p.shape(), ConnLimit: constants.LabConnLimit, Probe: ProbePath, Revision: 1, Warmup: constants.LabWarmup})
	add("plain", p.Plain, workeremulator.Settings{Service: PlainService, Work: constants.LabPlainWork, ConnLimit: constants.LabConnLimit, Probe: ProbePath,
		Shape: workeremulator.Shape{Capacity: constants.LabPlainSlots, Queue: constants.LabPlainSlots}})
	return all
}

// begin starts a new life: a new id, at the same address.
func (p *place) begin(record *workeremulator.Record, controls []string) error {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.worker != nil {
		return nil
	}
	listener, err := net.Listen("tcp4", p.address)
	if err != nil {
		return ErrInvalidLab.New(p.name + " can't listen at " + p.address + ": " + lastWords(err))
	}
	p.life++
	nodeSettings := p.nodeSettings
	nodeSettings.ID = fmt.Sprintf("%s-life%d", p.name, p.life)
	p.worker = workeremulator.NewWorker(nodeSettings, record, workeremulator.RealClock{}, p.seed+int64(p.life)*100_000)
	p.worker.SetFaults(p.faults)
	p.beater = workeremulator.NewBeater(p.worker, p.address, controls)
	until, halt := contexts.WithCancel(contexts.Background())
	p.halt = halt
	worker, served := p.worker, make(chan struct{})
	p.served = served
	go func() {
		defer close(served)
		worker.Serve(listener)
	}()
	go p.beater.Keep(until, constants.LabHeartbeat)
	return nil
}

// emulated is one life of a worker.
type emulated struct {
	worker *workeremulator.Worker
	beater *workeremulator.Beater
	served chan struct{}
}

// take gives the present life away, so that somebody ends it.
func (p *place) take() (incarnation emulated, found bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	incarnation = emulated{p.worker, p.beater, p.served}
	if p.halt != nil {
		p.halt()
	}
	p.worker, p.beater, p.halt = nil, nil, nil
	return incarnation, incarnation.worker != nil
}

// crash ends the present life without a word; its address is free then.
func (p *place) crash() {
	if incarnation, found := p.take(); found {
		incarnation.worker.Crash()
		<-incarnation.served
	}
}

// leave ends the present life in order; its address is free then.
func (p *place) leave() {
	if incarnation, found := p.take(); found {
		incarnation.beater.LeaveInOrder(clock.Milliseconds(constants.LabDrainMs))
		<-incarnation.served
	}
}

// trouble switches faults on and off; they outlast the present life.
func (p *place) trouble(faults workeremulator.Faults) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.faults = faults
	if p.worker != nil {
		p.worker.SetFaults(faults)
	}
}
