package transport

import (
	"sync"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// MemoryNetwork connects in-memory transports in tests and hollow fleets.
type MemoryNetwork struct {
	lock        sync.Mutex
	handlers    map[string]Handler
	partitioned map[string]bool
	// onFrame, set by OnFrame, observes the frames; environment configures CallAsync and NotifyAsync.
	onFrame       func(ObservedFrame)
	environment   Environment
	meters        map[string]*Meter
	asyncHandlers map[string]AsyncHandler
}

// NewMemoryNetwork returns an empty network.
func NewMemoryNetwork() *MemoryNetwork {
	return &MemoryNetwork{handlers: map[string]Handler{}, partitioned: map[string]bool{}, meters: map[string]*Meter{}, asyncHandlers: map[string]AsyncHandler{}}
}

// SetPartitioned starts or ends the partition of an address from all others.
func (r *MemoryNetwork) SetPartitioned(address string, partitioned bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.partitioned[address] = partitioned
}

// Transport returns a transport with the given address.
func (r *MemoryNetwork) Transport(address string) *Memory {
	return &Memory{network: r, ownAddress: address, meter: r.meter(address)}
}

// meter returns the meter of an address. It keeps its counts when the process at the address restarts.
func (r *MemoryNetwork) meter(address string) *Meter {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.meters[address] == nil {
		r.meters[address] = NewMeter()
	}
	return r.meters[address]
}

// Memory is the in-memory Transport.
type Memory struct {
	network    *MemoryNetwork
	ownAddress string
	meter      *Meter
}

// Meter returns the meter of the traffic that this process sends and receives.
func (t *Memory) Meter() *Meter { return t.meter }

// Serve registers the handler for calls to this address.
func (t *Memory) Serve(handler Handler) error {
	t.network.lock.Lock()
	defer t.network.lock.Unlock()
	if t.network.handlers[t.ownAddress] != nil {
		return ErrUnreachable.New("address already in use: " + t.ownAddress)
	}
	t.network.handlers[t.ownAddress] = handler
	return nil
}

// Call runs the handler of the called address and waits for its response until the timeout.
func (t *Memory) Call(address string, kind messages.Kind, body []byte, timeout clock.Duration) ([]byte, error) {
	handler, partitioned := t.handlerAt(address)
	if handler == nil {
		return nil, ErrUnreachable.New(address)
	}
	t.meter.sent(kind, address, len(body))
	if partitioned {
		return nil, ErrTimeout.New(address + " did not respond")
	}
	type result struct {
		body []byte
		err  error
	}
	responses := make(chan result, 1)
	other := t.network.meter(address)
	other.received(kind, t.ownAddress, len(body))
	t.network.observe(t.ownAddress, address, kind, false, body)
	go func() {
		resp, err := handler(kind, body)
		other.sent(kind, t.ownAddress, len(resp))
		t.network.observe(address, t.ownAddress, kind, true, resp)
		responses <- result{resp, err}
	}()
	timer := clock.NewTimer(timeout)
	defer timer.Stop()
	select {
	case r := <-responses:
		t.meter.received(kind, address, len(r.body))
		if r.err != nil || r.body == nil {
			return nil, ErrRejected.New(address)
		}
		return r.body, nil
	case <-timer.C:
		return nil, ErrTimeout.New(address + " did not respond")
	}
}

func (t *Memory) handlerAt(address string) (handler Handler, partitioned bool) {
	t.network.lock.Lock()
	defer t.network.lock.Unlock()
	return t.network.handlers[address], t.network.partitioned[address] || t.network.partitioned[t.ownAddress]
}

// Close removes the handlers of this address from the network.
func (t *Memory) Close() {
	t.network.lock.Lock()
	defer t.network.lock.Unlock()
	delete(t.network.handlers, t.ownAddress)
	delete(t.network.asyncHandlers, t.ownAddress)
}
