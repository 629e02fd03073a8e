package transport

import (
	"net"
	"sync/atomic"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
)

// newBlockedDialer returns a transport whose dials are counted and block until release is closed.
func newBlockedDialer() (client *TCP, release chan struct{}, dials *atomic.Int64) {
	client, release, dials = NewTCP(""), make(chan struct{}), &atomic.Int64{}
	client.dial = func(string) (net.Conn, error) {
		dials.Add(1)
		<-release
		return nil, net.ErrClosed
	}
	return client, release, dials
}

// callConcurrently makes many calls to one peer and returns a channel with the error of each.
func callConcurrently(client *TCP, count int, timeout clock.Duration) <-chan error {
	ended := make(chan error, count)
	for range count {
		go func() {
			_, err := client.Call("there", messages.KindShuffle, nil, timeout)
			ended <- err
		}()
	}
	return ended
}

// TestCallersDoNotQueueForDials checks that an unreachable peer blocks no caller beyond its timeout,
// however many call at once. Callers that each waited for a dial of their own would queue.
func TestCallersDoNotQueueForDials(t *testing.T) {
	client, release, dials := newBlockedDialer()
	defer close(release)
	const callers = 20
	ended := callConcurrently(client, callers, clock.Milliseconds(50))
	for range callers {
		// The dial is released only after all calls have ended.
		if err := <-ended; !errs.Is(err, ErrUnreachable) {
			t.Fatalf("call ended with %v, want ErrUnreachable", err)
		}
	}
	if dials.Load() != 1 {
		t.Errorf("got %d dials, want 1", dials.Load())
	}
}
