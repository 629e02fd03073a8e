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

// shape returns the engine parameters of the model workers.
func (p *Plan) shape() workeremulator.Shape {
	return workeremulator.Shape{Capacity: p.Capacity, Queue: p.Capacity / 2, CacheTokens: p.CacheTokens, ReadPerMs: constants.LabReadPerMs,
		Step: constants.LabStep, StepEach: constants.LabStepEach, Stride: constants.LabStride}
}

// workerSlot is the address of one emulated worker, at which its incarnations follow each other.
type workerSlot struct {
	// restarting is locked while a trouble stops the worker and starts its next incarnation.
	restarting sync.Mutex

	name, address  string
	workerSettings workeremulator.Settings
	seed           int64

	// lock guards the fields after it.
	lock        sync.Mutex
	incarnation int
	worker      *workeremulator.Worker
	heartbeats  *workeremulator.HeartbeatSender
	cancel      func()
	// serveDone is closed once the listener of the current incarnation is closed.
	serveDone chan struct{}
	faults    workeremulator.Faults
}

func (p *Plan) workerSlots() []*workerSlot {
	if len(p.Families) > 0 {
		return p.familyWorkerSlots()
	}
	var all []*workerSlot
	add := func(kind string, count int, workerSettings workeremulator.Settings) {
		for number := 0; number < count; number++ {
			slotSettings := workerSettings
			slotSettings.Zone = p.zone(number)
			all = append(all, &workerSlot{name: kind + "-" + strconv.Itoa(number+1), workerSettings: slotSettings, seed: p.Seed*1000 + int64(len(all)),
				address: p.host(constants.LabWorkerHost, len(all), constants.LabWorkerPort)})
		}
	}
	add("worker", p.Workers, workeremulator.Settings{Service: ModelService, Model: ModelName, Shape: p.shape(), ConnLimit: constants.LabConnLimit, Probe: ProbePath, Revision: 1, Warmup: constants.LabWarmup})
	add("plain", p.Plain, workeremulator.Settings{Service: PlainService, Work: constants.LabPlainWork, ConnLimit: constants.LabConnLimit, Probe: ProbePath,
		Shape: workeremulator.Shape{Capacity: constants.LabPlainSlots, Queue: constants.LabPlainSlots}})
	return all
}

// start starts a new incarnation, with a new id at the same address, unless one is running.
func (s *workerSlot) start(record *workeremulator.Record, controls []string) error {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.worker != nil {
		return nil
	}
	listener, err := net.Listen("tcp4", s.address)
	if err != nil {
		return ErrInvalidLab.New(s.name + " can't listen at " + s.address + ": " + rootCause(err))
	}
	s.incarnation++
	workerSettings := s.workerSettings
	workerSettings.ID = fmt.Sprintf("%s-life%d", s.name, s.incarnation)
	s.worker = workeremulator.NewWorker(workerSettings, record, workeremulator.RealClock{}, s.seed+int64(s.incarnation)*100_000)
	s.worker.SetFaults(s.faults)
	s.heartbeats = workeremulator.NewHeartbeatSender(s.worker, s.address, controls)
	ctx, cancel := contexts.WithCancel(contexts.Background())
	s.cancel = cancel
	worker, serveDone := s.worker, make(chan struct{})
	s.serveDone = serveDone
	go func() {
		defer close(serveDone)
		worker.Serve(listener)
	}()
	go s.heartbeats.SendUntil(ctx, constants.LabHeartbeat)
	return nil
}

// workerIncarnation is one incarnation of an emulated worker.
type workerIncarnation struct {
	worker     *workeremulator.Worker
	heartbeats *workeremulator.HeartbeatSender
	serveDone  chan struct{}
}

// detach removes the current incarnation from the slot, stops its heartbeats and returns it; the
// caller must stop the worker. It returns false if none is running.
func (s *workerSlot) detach() (incarnation workerIncarnation, running bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	incarnation = workerIncarnation{s.worker, s.heartbeats, s.serveDone}
	if s.cancel != nil {
		s.cancel()
	}
	s.worker, s.heartbeats, s.cancel = nil, nil, nil
	return incarnation, incarnation.worker != nil
}

// crash ends the current incarnation abruptly, without deregistering it, and waits until its
// address is free.
func (s *workerSlot) crash() {
	if incarnation, running := s.detach(); running {
		incarnation.worker.Crash()
		<-incarnation.serveDone
	}
}

// leave stops the current incarnation gracefully and waits until its address is free.
func (s *workerSlot) leave() {
	if incarnation, running := s.detach(); running {
		incarnation.heartbeats.DrainAndShutDown(clock.Milliseconds(constants.LabDrainMs))
		<-incarnation.serveDone
	}
}

// setFaults sets the faults of the worker. They also apply to later incarnations.
func (s *workerSlot) setFaults(faults workeremulator.Faults) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.faults = faults
	if s.worker != nil {
		s.worker.SetFaults(faults)
	}
}
