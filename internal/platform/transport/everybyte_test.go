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
	wire *transport.Wire
	lock sync.Mutex
	runs map[string]int
}

func newLedger(t *testing.T, address, life string) *ledger {
	one := &ledger{wire: transport.NewWire(address), runs: map[string]int{}}
	err := one.wire.Serve(func(_ messages.Kind, body []byte) ([]byte, error) {
		one.lock.Lock()
		defer one.lock.Unlock()
		one.runs[string(body)]++
		return []byte(life + " to " + string(body)), nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return one
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
func TestTroubleAtEveryByteOfAFrame(t *testing.T) {
	for _, trouble := range faultrelay.Troubles() {
		for place := 0; place < 2*frameLength; place++ {
			struck := faultrelay.Strike{Trouble: trouble, Answer: place >= frameLength, At: place % frameLength}
			t.Run(fmt.Sprint(trouble, struck.Answer, struck.At), func(t *testing.T) {
				t.Parallel()
				playFrames(t, struck)
			})
		}
	}
}

func playFrames(t *testing.T, struck faultrelay.Strike) {
	server := newLedger(t, "127.0.0.1:0", "one")
	defer server.wire.Close()
	relay, err := faultrelay.New(server.wire.Address())
	if err != nil {
		t.Fatal(err)
	}
	client := transport.NewWire("")
	defer client.Close()
	call := func(body string) {
		answer, err := client.Call(relay.Address(), messages.KindShuffle, []byte(body), clock.Milliseconds(60))
		if err == nil && string(answer) != "one to "+body {
			t.Errorf("%q got %q", body, answer)
		}
		if errs.Of(err, transport.Unreached) && server.ran(body) > 0 {
			t.Errorf("%q was told as unreached, and ran", body)
		}
	}
	call("rest")
	relay.Arm(&struck)
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

// A call that waits for one life of a process is not answered by the next one at the same
// address, and later calls are answered by that one alone.
func TestNewLifeAtTheSameAddress(t *testing.T) {
	address, hold, asked := freeAddress(t), newGate(), newGate()
	first := transport.NewWire(address)
	_ = first.Serve(func(messages.Kind, []byte) ([]byte, error) {
		close(asked)
		<-hold
		return []byte("old"), nil
	})
	client := transport.NewWire("")
	defer client.Close()
	ended := make(chan error, 1)
	go func() {
		_, err := client.Call(address, messages.KindShuffle, []byte("pending"), enough)
		ended <- err
	}()
	<-asked
	first.Close()
	close(hold)
	if err := <-ended; !errs.Of(err, transport.Unanswered) {
		t.Fatal("the pending call ended with ", err)
	}
	second := newLedger(t, address, "new")
	defer second.wire.Close()
	for {
		answer, err := client.Call(address, messages.KindShuffle, []byte("later"), enough)
		if errs.Of(err, transport.Unreached) {
			// The caller remembers for a moment that nobody was there.
			continue
		}
		if err != nil || string(answer) != "new to later" {
			t.Fatalf("%q %v", answer, err)
		}
		break
	}
	if second.ran("pending") != 0 {
		t.Fatal("the call came to the new life")
	}
}
