package transport_test

import (
	"fmt"
	"sync"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/tooling/faultrelay"
)

// ledger is a server that keeps count of the calls that it worked on.
type ledger struct {
	wire *transport.TCP
	lock sync.Mutex
	runs map[string]int
}

func newLedger(t *testing.T, address, incarnation string) *ledger {
	t.Helper()

	l := &ledger{wire: transport.NewTCP(address), runs: map[string]int{}}
	err := l.wire.Serve(func(_ messages.Kind, body []byte) ([]byte, error) {
		l.lock.Lock()
		defer l.lock.Unlock()
		l.runs[string(body)]++
		return []byte(incarnation + " to " + string(body)), nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func (l *ledger) ran(body string) int {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.runs[body]
}

// frameLength is more than a call or an answer of this test has.
const frameLength = 17 + 12

// Whatever befalls the connection at whichever byte of a call or of its answer: each call
// is worked on once at most, is never told as unreached where it was worked on, and each
// answer is that of its own call.
func TestFaultAtEveryByteOfAFrame(t *testing.T) {
	for _, fault := range faultrelay.Faults() {
		for i := 0; i < 2*frameLength; i++ {
			strike := faultrelay.Strike{Fault: fault, Response: i >= frameLength, At: i % frameLength}
			t.Run(fmt.Sprint(fault, strike.Response, strike.At), func(t *testing.T) {
				t.Parallel()
				playFrames(t, strike)
			})
		}
	}
}

func playFrames(t *testing.T, strike faultrelay.Strike) {
	t.Helper()

	server := newLedger(t, "127.0.0.1:0", "one")
	defer server.wire.Close()
	relay, err := faultrelay.New(server.wire.Address())
	if err != nil {
		t.Fatal(err)
	}
	client := transport.NewTCP("")
	defer client.Close()
	call := func(body string) {
		resp, err := client.Call(relay.Address(), messages.KindShuffle, []byte(body), clock.Milliseconds(60))
		if err == nil && string(resp) != "one to "+body {
			t.Errorf("%q got %q", body, resp)
		}
		if errs.Is(err, transport.ErrUnreachable) && server.ran(body) > 0 {
			t.Errorf("%q was told as unreached, and ran", body)
		}
	}
	call("rest")
	relay.Arm(&strike)
	var group sync.WaitGroup
	for _, body := range []string{"left", "right"} {
		group.Add(1)
		go func() {
			defer group.Done()
			call(body)
		}()
	}
	group.Wait()
	relay.Thaw()
	call("next")
	relay.End()
	for _, body := range []string{"rest", "left", "right", "next"} {
		if ran := server.ran(body); ran > 1 {
			t.Errorf("%q ran %d times", body, ran)
		}
	}
}

// A call that waits for one incarnation of a process is not answered by the next one at the same
// address, and later calls are answered by that one alone.
func TestNewIncarnationAtTheSameAddress(t *testing.T) {
	address, wait, requested := freeAddress(t), newGate(), newGate()
	first := transport.NewTCP(address)
	_ = first.Serve(func(messages.Kind, []byte) ([]byte, error) {
		close(requested)
		<-wait
		return []byte("old"), nil
	})
	client := transport.NewTCP("")
	defer client.Close()
	ended := make(chan error, 1)
	go func() {
		_, err := client.Call(address, messages.KindShuffle, []byte("pending"), enough)
		ended <- err
	}()
	<-requested
	first.Close()
	close(wait)
	if err := <-ended; !errs.Is(err, transport.ErrTimeout) {
		t.Fatal("the pending call ended with ", err)
	}
	second := newLedger(t, address, "new")
	defer second.wire.Close()
	for {
		resp, err := client.Call(address, messages.KindShuffle, []byte("later"), enough)
		if errs.Is(err, transport.ErrUnreachable) {
			// The caller remembers for an instant that nobody was there.
			continue
		}
		if err != nil || string(resp) != "new to later" {
			t.Fatalf("%q %v", resp, err)
		}
		break
	}
	if second.ran("pending") != 0 {
		t.Fatal("the call came to the new life")
	}
}
