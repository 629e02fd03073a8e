package transport_test

import (
	"fmt"
	"net"
	"sync"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

const callTimeout = 5_000_000_000

// callContract checks the behaviour of calls that every transport has to implement.
func callContract(t *testing.T, make func() (transport.Transport, string)) {
	t.Helper()

	t.Run("responses go to their requests", func(t *testing.T) { checkResponsesMatch(t, make) })
	t.Run("unknown kinds are rejected and later calls succeed", func(t *testing.T) { checkUnknownKinds(t, make) })
	t.Run("an unreachable peer is distinguished from a timeout", func(t *testing.T) { checkUnreachable(t, make) })
}

func checkResponsesMatch(t *testing.T, make func() (transport.Transport, string)) {
	t.Helper()

	server, address := make()
	defer server.Close()
	release := [2]chan struct{}{}
	release[0], release[1] = newGate(), newGate()
	err := server.Serve(func(_ messages.Kind, body []byte) ([]byte, error) {
		// The response to the first request is sent last.
		i := int(body[0])
		if i == 0 {
			<-release[0]
		}
		return append([]byte("to "), body...), nil
	})
	if err != nil {
		t.Fatal(err)
	}
	client, _ := make()
	defer client.Close()
	var group sync.WaitGroup
	group.Add(1)
	go func() {
		defer group.Done()
		resp, err := client.Call(address, messages.KindShuffle, []byte{0}, callTimeout)
		if err != nil || string(resp) != "to \x00" {
			t.Errorf("first call: got response %q, err %v, want %q", resp, err, "to \x00")
		}
	}()
	resp, err := client.Call(address, messages.KindShuffle, []byte{1}, callTimeout)
	if err != nil || string(resp) != "to \x01" {
		t.Errorf("second call: got response %q, err %v, want %q", resp, err, "to \x01")
	}
	close(release[0])
	group.Wait()
}

func checkUnknownKinds(t *testing.T, make func() (transport.Transport, string)) {
	t.Helper()

	server, address := make()
	defer server.Close()
	_ = server.Serve(func(kind messages.Kind, _ []byte) ([]byte, error) {
		if kind == messages.KindShuffle {
			return []byte("known"), nil
		}
		return nil, nil
	})
	client, _ := make()
	defer client.Close()
	if _, err := client.Call(address, messages.Kind(9999), nil, callTimeout); !errs.Is(err, transport.ErrRejected) {
		t.Fatalf("call of an unknown kind: got %v, want ErrRejected", err)
	}
	if resp, err := client.Call(address, messages.KindShuffle, nil, callTimeout); err != nil || string(resp) != "known" {
		t.Fatalf("later call: got response %q, err %v, want \"known\"", resp, err)
	}
}

func checkUnreachable(t *testing.T, make func() (transport.Transport, string)) {
	t.Helper()

	client, address := make()
	defer client.Close()
	if _, err := client.Call(address, messages.KindShuffle, nil, callTimeout); !errs.Is(err, transport.ErrUnreachable) {
		t.Fatalf("call of an unused address: got %v, want ErrUnreachable", err)
	}
	server, busy := make()
	defer server.Close()
	wait := newGate()
	defer close(wait)
	_ = server.Serve(func(messages.Kind, []byte) ([]byte, error) {
		<-wait
		return []byte{}, nil
	})
	// Use another caller: the address of the first call may be assigned again, and the first caller
	// does not dial an address again for a short time after a failed dial.
	caller, _ := make()
	defer caller.Close()
	if _, err := caller.Call(busy, messages.KindShuffle, nil, clock.Milliseconds(500)); !errs.Is(err, transport.ErrTimeout) {
		t.Fatalf("call without a response: got %v, want ErrTimeout", err)
	}
}

func newGate() chan struct{} { return make(chan struct{}) }

func TestContractTCP(t *testing.T) {
	callContract(t, func() (transport.Transport, string) {
		address := freeAddress(t)
		return transport.NewTCP(address), address
	})
}

func TestContractMemory(t *testing.T) {
	network, count := transport.NewMemoryNetwork(), 0
	callContract(t, func() (transport.Transport, string) {
		count++
		address := fmt.Sprint("node", count)
		return network.Transport(address), address
	})
}

func TestDamagedFrameClosesTheConnection(t *testing.T) {
	address := freeAddress(t)
	server := transport.NewTCP(address)
	defer server.Close()
	_ = server.Serve(func(messages.Kind, []byte) ([]byte, error) { return []byte("yes"), nil })
	connection, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	_, _ = connection.Write([]byte("this is no frame of ours at all"))
	_ = connection.SetReadDeadline(clock.Deadline(callTimeout))
	var buffer [1]byte
	if _, err = connection.Read(buffer[:]); err == nil {
		t.Fatal("got a response to a malformed frame")
	}
	client := transport.NewTCP("")
	defer client.Close()
	if resp, err := client.Call(address, messages.KindShuffle, nil, callTimeout); err != nil || string(resp) != "yes" {
		t.Fatalf("call on a new connection: got response %q, err %v, want \"yes\"", resp, err)
	}
}

func TestTrailingBytesAreAllowed(t *testing.T) {
	announcement := &messages.LeaderAnnouncement{Leadership: messages.Leadership{Holder: "a", Epoch: 3}}
	body, _ := announcement.MarshalMsg(nil)
	resp := &messages.LeaderAnnouncement{}
	if err := transport.Decode(append(body, 1, 2, 3), resp); err != nil || resp.Leadership.Epoch != 3 {
		t.Fatalf("message with trailing bytes: decoded %+v, err %v, want epoch 3", resp, err)
	}
}
