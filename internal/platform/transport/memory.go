package transport

import (
	"sync"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// MemoryNetwork joins in-memory transports, in tests and hollow fleets.
type MemoryNetwork struct {
	lock        sync.Mutex
	handlers    map[string]Handler
	partitioned map[string]bool
	// onFrame is told of every frame; environment is what CallAsync and NotifyAsync work in.
	onFrame       func(ObservedFrame)
	environment   Environment
	meters        map[string]*Meter
	asyncHandlers map[string]AsyncHandler
}

// NewMemoryNetwork makes an empty network.
func NewMemoryNetwork() *MemoryNetwork {
	return &MemoryNetwork{handlers: map[string]Handler{}, partitioned: map[string]bool{}, meters: map[string]*Meter{}, asyncHandlers: map[string]AsyncHandler{}}
}

// SetPartitioned cuts an address off or ends that.
func (r *MemoryNetwork) SetPartitioned(address string, partitioned bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.partitioned[address] = partitioned
}

// Transport gives the transport that serves at an address.
func (r *MemoryNetwork) Transport(address string) *Memory {
	return &Memory{network: r, ownAddress: address, meter: r.meter(address)}
}

// meter gives the meter of an address: it counts on when a process there starts anew.
func (r *MemoryNetwork) meter(address string) *Meter {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.meters[address] == nil {
		r.meters[address] = NewMeter()
	}
	return r.meters[address]
}

// Memory is a transport in memory.
type Memory struct {
	network    *MemoryNetwork
	ownAddress string
	meter      *Meter
}

// Meter counts what this process sends and receives.
func (t *Memory) Meter() *Meter { return t.meter }

// Serve registers the handler.
func (t *Memory) Serve(handler Handler) error {
	t.network.lock.Lock()
	defer t.network.lock.Unlock()
	if t.network.handlers[t.ownAddress] != nil {
		return ErrUnreachable.New("address taken: " + t.ownAddress)
	}
	t.network.handlers[t.ownAddress] = handler
	return nil
}

// Call runs the other side's handler at once.
func (t *Memory) Call(address string, kind messages.Kind, body []byte, timeout clock.Duration) ([]byte, error) {
	handler, partitioned := t.handlerAt(address)
	if handler == nil {
		return nil, ErrUnreachable.New(address)
	}
	t.meter.sent(kind, address, len(body))
	if partitioned {
		return nil, ErrTimeout.New(address + " silent")
	}
	type result struct {
		body []byte
		err  error
	}
	answered := make(chan result, 1)
	other := t.network.meter(address)
	other.received(kind, t.ownAddress, len(body))
	t.network.observe(t.ownAddress, address, kind, false, body)
	go func() {
		resp, err := handler(kind, body)
		other.sent(kind, t.ownAddress, len(resp))
		t.network.observe(address, t.ownAddress, kind, true, resp)
		answered <- result{resp, err}
	}()
	timer := clock.NewTimer(timeout)
	defer timer.Stop()
	select {
	case r := <-answered:
		t.meter.received(kind, address, len(r.body))
		if r.err != nil || r.body == nil {
			return nil, ErrRejected.New(address)
		}
		return r.body, nil
	case <-timer.C:
		return nil, ErrTimeout.New(address + " silent")
	}
}

func (t *Memory) handlerAt(address string) (handler Handler, partitioned bool) {
	t.network.lock.Lock()
	defer t.network.lock.Unlock()
	return t.network.handlers[address], t.network.partitioned[address] || t.network.partitioned[t.ownAddress]
}

// Close takes the handler off the network.
func (t *Memory) Close() {
	t.network.lock.Lock()
	defer t.network.lock.Unlock()
	delete(t.network.handlers, t.ownAddress)
	delete(t.network.asyncHandlers, t.ownAddress)
}
