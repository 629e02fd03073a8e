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

const enough = 5_000_000_000

// callContract is what every transport has to keep.
func callContract(t *testing.T, make func() (transport.Transport, string)) {
	t.Helper()

	t.Run("responses go to their requests", func(t *testing.T) { checkResponsesMatch(t, make) })
	t.Run("unknown kinds are rejected and the rest goes on", func(t *testing.T) { checkUnknownKinds(t, make) })
	t.Run("nobody there is told apart from no response", func(t *testing.T) { checkUnreachable(t, make) })
}

func checkResponsesMatch(t *testing.T, make func() (transport.Transport, string)) {
	t.Helper()

	server, address := make()
	defer server.Close()
	release := [2]chan struct{}{}
	release[0], release[1] = newGate(), newGate()
	err := server.Serve(func(_ messages.Kind, body []byte) ([]byte, error) {
		// The first request is answered last.
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
		resp, err := client.Call(address, messages.KindShuffle, []byte{0}, enough)
		if err != nil || string(resp) != "to \x00" {
			t.Errorf("%q %v", resp, err)
		}
	}()
	resp, err := client.Call(address, messages.KindShuffle, []byte{1}, enough)
	if err != nil || string(resp) != "to \x01" {
		t.Errorf("%q %v", resp, err)
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
	if _, err := client.Call(address, messages.Kind(9999), nil, enough); !errs.Is(err, transport.ErrRejected) {
		t.Fatalf("got %v", err)
	}
	if resp, err := client.Call(address, messages.KindShuffle, nil, enough); err != nil || string(resp) != "known" {
		t.Fatalf("%q %v", resp, err)
	}
}

func checkUnreachable(t *testing.T, make func() (transport.Transport, string)) {
	t.Helper()

	client, address := make()
	defer client.Close()
	if _, err := client.Call(address, messages.KindShuffle, nil, enough); !errs.Is(err, transport.ErrUnreachable) {
		t.Fatalf("got %v", err)
	}
	server, busy := make()
	defer server.Close()
	wait := newGate()
	defer close(wait)
	_ = server.Serve(func(messages.Kind, []byte) ([]byte, error) {
		<-wait
		return []byte{}, nil
	})
	// Another caller: the system may hand the first address out again, where the first
	// caller remembers for an instant that nobody was.
	caller, _ := make()
	defer caller.Close()
	if _, err := caller.Call(busy, messages.KindShuffle, nil, clock.Milliseconds(500)); !errs.Is(err, transport.ErrTimeout) {
		t.Fatalf("got %v", err)
	}
}

func newGate() chan struct{} { return make(chan struct{}) }

func TestContractWire(t *testing.T) {
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
	_ = connection.SetReadDeadline(clock.Deadline(enough))
	var buffer [1]byte
	if _, err = connection.Read(buffer[:]); err == nil {
		t.Fatal("a damaged frame was answered")
	}
	client := transport.NewTCP("")
	defer client.Close()
	if resp, err := client.Call(address, messages.KindShuffle, nil, enough); err != nil || string(resp) != "yes" {
		t.Fatalf("%q %v", resp, err)
	}
}

func TestTrailingBytesAreAllowed(t *testing.T) {
	announcement := &messages.LeaderAnnouncement{Leadership: messages.Leadership{Holder: "a", Epoch: 3}}
	body, _ := announcement.MarshalMsg(nil)
	resp := &messages.LeaderAnnouncement{}
	if err := transport.Decode(append(body, 1, 2, 3), resp); err != nil || resp.Leadership.Epoch != 3 {
		t.Fatal(resp, err)
	}
}
