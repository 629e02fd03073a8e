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

// counters counts frames; calls come from several threads in the contract.
type counters struct {
	lock           sync.Mutex
	calls, answers int
	bytes          int
}

func (c *counters) seen(frame transport.ObservedFrame) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if frame.Response {
		c.answers++
	} else {
		c.calls++
	}
	c.bytes += frame.Bytes
}

func TestContractCountingMemory(t *testing.T) {
	network, count, counted := transport.NewMemoryNetwork(), 0, &counters{}
	network.OnFrame(counted.seen)
	callContract(t, func() (transport.Transport, string) {
		count++
		address := fmt.Sprint("node", count)
		return network.Transport(address), address
	})
	counted.lock.Lock()
	defer counted.lock.Unlock()
	// Five calls of the contract find somebody; the last of them is never answered in
	// time, though its answer may come before we look.
	if counted.calls != 5 || counted.answers < 4 {
		t.Fatalf("counted %d calls and %d answers", counted.calls, counted.answers)
	}
}

// simulated makes a network on a fake clock with a millisecond each way.
func simulated() (*transport.MemoryNetwork, *simulation.World, *counters, map[string]bool) {
	network, world, counted, departed := transport.NewMemoryNetwork(), simulation.NewWorld(1), &counters{}, map[string]bool{}
	network.OnFrame(counted.seen)
	network.Simulate(transport.Environment{Clock: world,
		Delay:     func(string, string) clock.Duration { return clock.Milliseconds(1) },
		Reachable: func(from, to string) bool { return !departed[from] && !departed[to] }})
	return network, world, counted, departed
}

func TestPostTakesItsTimeAndCounts(t *testing.T) {
	network, world, counted, _ := simulated()
	_ = network.Transport("server").Serve(func(_ messages.Kind, body []byte) ([]byte, error) { return append([]byte("to "), body...), nil })
	var resp string
	at := clock.Instant(0)
	network.Transport("client").CallAsync("server", messages.KindShuffle, []byte("one"), enough, func(body []byte, err error) {
		if err != nil {
			t.Error(err)
		}
		resp, at = string(body), world.Now
	})
	world.Run(clock.Instant(enough))
	// The head is 17 bytes: the frame format's contract.
	if resp != "to one" || at != clock.Instant(clock.Milliseconds(2)) || counted.calls != 1 || counted.answers != 1 || counted.bytes != 17+3+17+6 {
		t.Fatalf("%q at %d, %+v", resp, at, counted)
	}
}

func TestCallAsyncDistinguishesTimeoutRejectionAndAbsence(t *testing.T) {
	network, world, _, departed := simulated()
	_ = network.Transport("server").Serve(func(kind messages.Kind, _ []byte) ([]byte, error) {
		if kind == messages.KindGossip {
			departed["server"] = true
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
		world.Run(world.Now + clock.Instant(enough))
	}
	call("server", messages.Kind(9999))
	call("nobody", messages.KindShuffle)
	call("server", messages.KindGossip)
	call("server", messages.KindShuffle)
	timeout := clock.Instant(clock.Milliseconds(30))
	if len(results) != 4 || !errs.Is(results[0].err, transport.ErrRejected) || !errs.Is(results[1].err, transport.ErrUnreachable) ||
		!errs.Is(results[2].err, transport.ErrTimeout) || results[2].at != timeout ||
		!errs.Is(results[3].err, transport.ErrTimeout) || results[3].at != timeout {
		t.Fatalf("%+v", results)
	}
}
