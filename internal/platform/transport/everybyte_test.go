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

// countingServer is a server that counts the calls it handled, by their body.
type countingServer struct {
	transport *transport.TCP
	lock      sync.Mutex
	calls     map[string]int
}

func newCountingServer(t *testing.T, address, incarnation string) *countingServer {
	t.Helper()

	s := &countingServer{transport: transport.NewTCP(address), calls: map[string]int{}}
	err := s.transport.Serve(func(_ messages.Kind, body []byte) ([]byte, error) {
		s.lock.Lock()
		defer s.lock.Unlock()
		s.calls[string(body)]++
		return []byte(incarnation + " to " + string(body)), nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *countingServer) callCount(body string) int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.calls[body]
}

// frameLength is the length in bytes of the longest frame of this test: a header and "one to right".
const frameLength = 17 + 12

// TestFaultAtEveryByteOfAFrame injects each fault at every byte of a request and of its response. Each
// call must be handled at most once, must not fail with ErrUnreachable if it was handled, and must get
// only its own response.
func TestFaultAtEveryByteOfAFrame(t *testing.T) {
	for _, fault := range faultrelay.Faults() {
		for i := 0; i < 2*frameLength; i++ {
			injection := faultrelay.Injection{Fault: fault, Response: i >= frameLength, At: i % frameLength}
			t.Run(fmt.Sprint(fault, injection.Response, injection.At), func(t *testing.T) {
				t.Parallel()
				checkFault(t, injection)
			})
		}
	}
}

func checkFault(t *testing.T, injection faultrelay.Injection) {
	t.Helper()

	server := newCountingServer(t, "127.0.0.1:0", "one")
	defer server.transport.Close()
	relay, err := faultrelay.New(server.transport.Address())
	if err != nil {
		t.Fatal(err)
	}
	client := transport.NewTCP("")
	defer client.Close()
	call := func(body string) {
		resp, err := client.Call(relay.Address(), messages.KindShuffle, []byte(body), clock.Milliseconds(60))
		if err == nil && string(resp) != "one to "+body {
			t.Errorf("call %q got response %q", body, resp)
		}
		if errs.Is(err, transport.ErrUnreachable) && server.callCount(body) > 0 {
			t.Errorf("call %q failed with ErrUnreachable, but was handled", body)
		}
	}
	call("rest")
	relay.Arm(&injection)
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
	relay.Close()
	for _, body := range []string{"rest", "left", "right", "next"} {
		if calls := server.callCount(body); calls > 1 {
			t.Errorf("call %q was handled %d times, want at most once", body, calls)
		}
	}
}

// TestNewIncarnationAtTheSameAddress checks that a call pending at one incarnation of a process gets no
// response from the next one at the same address, and that later calls get theirs from the new one.
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
		_, err := client.Call(address, messages.KindShuffle, []byte("pending"), callTimeout)
		ended <- err
	}()
	<-requested
	first.Close()
	close(wait)
	if err := <-ended; !errs.Is(err, transport.ErrTimeout) {
		t.Fatalf("pending call: got %v, want ErrTimeout", err)
	}
	second := newCountingServer(t, address, "new")
	defer second.transport.Close()
	for {
		resp, err := client.Call(address, messages.KindShuffle, []byte("later"), callTimeout)
		if errs.Is(err, transport.ErrUnreachable) {
			// After a failed dial the client does not dial the peer again for a short time.
			continue
		}
		if err != nil || string(resp) != "new to later" {
			t.Fatalf("later call: got response %q, err %v, want \"new to later\"", resp, err)
		}
		break
	}
	if second.callCount("pending") != 0 {
		t.Fatal("the pending call was handled by the new incarnation")
	}
}
