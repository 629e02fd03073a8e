package store

import (
	"sync"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// forwarder sends a leader's append requests on to other stores, in order for each store, and
// reports the response of each store to the leader. It is safe for concurrent use.
type forwarder struct {
	transport func() transport.Transport
	stop      <-chan struct{}

	lock sync.Mutex
	// queues contains the pending requests by target address. Each queue has a goroutine that
	// ends once it has been idle for constants.SuspectAfter.
	queues map[string]chan *messages.AppendRequest
}

func newForwarder(currentTransport func() transport.Transport, stop <-chan struct{}) *forwarder {
	return &forwarder{transport: currentTransport, stop: stop, queues: map[string]chan *messages.AppendRequest{}}
}

// enqueue queues a request for the store that it names. The request is dropped if the queue is
// full.
func (f *forwarder) enqueue(req *messages.AppendRequest) {
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

// run sends the requests of one queue, one at a time.
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

// forward sends one request and reports the response to the leader. If the target does not
// respond, nothing is reported, and the leader sends the records itself.
func (f *forwarder) forward(req *messages.AppendRequest) {
	target := req.Forward
	targetReq := *req
	targetReq.Disk, targetReq.Forward = target.Disk, nil
	forwarded := &messages.AppendForwarded{Epoch: req.Epoch, Address: target.Address, Disk: target.Disk}
	sender := f.transport()
	if transport.Call(sender, target.Address, messages.KindAppend, &targetReq, &forwarded.Response, constants.CallTimeout) != nil {
		return
	}
	_ = transport.Notify(sender, target.ReportTo, messages.KindAppendForwarded, forwarded)
}
