package store

import (
	"sync"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// forwarder passes records on to other stores, in their order, and tells the leader what each
// of them answered. It is safe for concurrent use.
type forwarder struct {
	transport func() transport.Transport
	stop      <-chan struct{}

	lock sync.Mutex
	// queues are the orders that wait, by the address they go to. Each has a goroutine that
	// ends once it was idle for constants.SuspectAfter.
	queues map[string]chan *messages.AppendRequest
}

func newForwarder(wire func() transport.Transport, stop <-chan struct{}) *forwarder {
	return &forwarder{transport: wire, stop: stop, queues: map[string]chan *messages.AppendRequest{}}
}

// pass queues an order for the store that it names; an order that finds the queue full is
// dropped.
func (f *forwarder) pass(req *messages.AppendRequest) {
	f.lock.Lock()
	defer f.lock.Unlock()
	queue := f.queues[req.Forward.Address]
	if queue == nil {
		queue = make(chan *messages.AppendRequest, constants.ForwardQueue)
		f.queues[req.Forward.Address] = queue
		go f.run(req.Forward.Address, queue)
	}
	select {
	case queue <- req:
	default:
	}
}

// run makes the calls of one queue.
func (f *forwarder) run(address string, queue chan *messages.AppendRequest) {
	for {
		select {
		case req := <-queue:
			f.forward(req)
		case <-f.stop:
			return
		case <-clock.After(constants.SuspectAfter):
			f.lock.Lock()
			if len(queue) == 0 {
				delete(f.queues, address)
				f.lock.Unlock()
				return
			}
			f.lock.Unlock()
		}
	}
}

// forward makes one call and reports its outcome; without an answer there is nothing to
// report, and the leader sees to it itself.
func (f *forwarder) forward(req *messages.AppendRequest) {
	target := req.Forward
	onward := *req
	onward.Disk, onward.Forward = target.Disk, nil
	forwarded := &messages.AppendForwarded{Epoch: req.Epoch, Address: target.Address, Disk: target.Disk}
	wire := f.transport()
	if transport.Call(wire, target.Address, messages.KindAppend, &onward, &forwarded.Response, constants.CallTimeout) != nil {
		return
	}
	_ = transport.Notify(wire, target.ReportTo, messages.KindAppendForwarded, forwarded)
}
