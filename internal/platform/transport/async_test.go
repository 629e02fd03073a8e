package transport_test

import (
	"fmt"
	"sync"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/tooling/simulation"
)

// frameCounter counts frames; the contract tests call it from several goroutines.
type frameCounter struct {
	lock             sync.Mutex
	calls, responses int
	bytes            int
}

func (c *frameCounter) observe(frame transport.ObservedFrame) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if frame.Response {
		c.responses++
	} else {
		c.calls++
	}
	c.bytes += frame.Bytes
}

func TestContractCountingMemory(t *testing.T) {
	network, count, counted := transport.NewMemoryNetwork(), 0, &frameCounter{}
	network.OnFrame(counted.observe)
	callContract(t, func() (transport.Transport, string) {
		count++
		address := fmt.Sprint("node", count)
		return network.Transport(address), address
	})
	counted.lock.Lock()
	defer counted.lock.Unlock()
	// Five calls of the contract reach a handler. The last of them has no response before its
	// timeout, although its response may be sent before this check.
	if counted.calls != 5 || counted.responses < 4 {
		t.Fatalf("got %d calls and %d responses, want 5 calls and at least 4 responses", counted.calls, counted.responses)
	}
}

// newSimulatedNetwork returns a network on a simulated clock with a delay of 1 ms in each direction.
// Addresses in the returned map are unreachable.
func newSimulatedNetwork() (*transport.MemoryNetwork, *simulation.World, *frameCounter, map[string]bool) {
	network, world, counted, unreachable := transport.NewMemoryNetwork(), simulation.NewWorld(1), &frameCounter{}, map[string]bool{}
	network.OnFrame(counted.observe)
	network.Simulate(transport.Environment{Clock: world,
		Delay:     func(string, string) clock.Duration { return clock.Milliseconds(1) },
		Reachable: func(from, to string) bool { return !unreachable[from] && !unreachable[to] }})
	return network, world, counted, unreachable
}

func TestCallAsyncDelayAndCounts(t *testing.T) {
	network, world, counted, _ := newSimulatedNetwork()
	_ = network.Transport("server").Serve(func(_ messages.Kind, body []byte) ([]byte, error) { return append([]byte("to "), body...), nil })
	var resp string
	at := clock.Instant(0)
	network.Transport("client").CallAsync("server", messages.KindShuffle, []byte("one"), callTimeout, func(body []byte, err error) {
		if err != nil {
			t.Error(err)
		}
		resp, at = string(body), world.Now
	})
	world.Run(clock.Instant(callTimeout))
	// The frame header is 17 bytes, as the frame format defines.
	if resp != "to one" || at != clock.Instant(clock.Milliseconds(2)) || counted.calls != 1 || counted.responses != 1 || counted.bytes != 17+3+17+6 {
		t.Fatalf("got response %q at %d ns with %d calls, %d responses and %d bytes; want \"to one\" after 2 ms, 1 call, 1 response and 43 bytes",
			resp, at, counted.calls, counted.responses, counted.bytes)
	}
}

func TestCallAsyncDistinguishesTimeoutRejectionAndAbsence(t *testing.T) {
	network, world, _, unreachable := newSimulatedNetwork()
	_ = network.Transport("server").Serve(func(kind messages.Kind, _ []byte) ([]byte, error) {
		if kind == messages.KindGossip {
			unreachable["server"] = true
			return []byte("lost on its way"), nil
		}
		return nil, nil
	})
	type result struct {
		err error
		at  clock.Instant
	}
	var results []result
	call := func(address string, kind messages.Kind) {
		start := world.Now
		network.Transport("client").CallAsync(address, kind, nil, clock.Milliseconds(30), func(_ []byte, err error) {
			results = append(results, result{err, world.Now - start})
		})
		world.Run(world.Now + clock.Instant(callTimeout))
	}
	call("server", messages.Kind(9999))
	call("nobody", messages.KindShuffle)
	call("server", messages.KindGossip)
	call("server", messages.KindShuffle)
	timeout := clock.Instant(clock.Milliseconds(30))
	if len(results) != 4 || !errs.Is(results[0].err, transport.ErrRejected) || !errs.Is(results[1].err, transport.ErrUnreachable) ||
		!errs.Is(results[2].err, transport.ErrTimeout) || results[2].at != timeout ||
		!errs.Is(results[3].err, transport.ErrTimeout) || results[3].at != timeout {
		t.Fatalf("got results %+v, want a rejection, an unreachable peer, and two timeouts after %d ns", results, timeout)
	}
}
