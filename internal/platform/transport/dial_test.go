package transport

import (
	"net"
	"sync/atomic"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
)

// dialling is a wire whose dials last until they are released, and are counted.
func dialling() (client *TCP, release chan struct{}, dials *atomic.Int64) {
	client, release, dials = NewTCP(""), make(chan struct{}), &atomic.Int64{}
	client.dial = func(string) (net.Conn, error) {
		dials.Add(1)
		<-release
		return nil, net.ErrClosed
	}
	return client, release, dials
}

// callAtOnce makes many calls to one peer and hands over how each ended.
func callAtOnce(client *TCP, count int, timeout clock.Duration) <-chan error {
	ended := make(chan error, count)
	for range count {
		go func() {
			_, err := client.Call("there", messages.KindShuffle, nil, timeout)
			ended <- err
		}()
	}
	return ended
}

// A peer that is out of reach holds no caller past its span, however many call it.
func TestCallersDoNotQueueForDials(t *testing.T) {
	client, release, dials := dialling()
	defer close(release)
	const callers = 20
	ended := callAtOnce(client, callers, clock.Milliseconds(50))
	for range callers {
		// The dial never ends before them.
		if err := <-ended; !errs.Is(err, ErrUnreachable) {
			t.Fatal(err)
		}
	}
	if dials.Load() != 1 {
		t.Error("dials under way: ", dials.Load())
	}
}
