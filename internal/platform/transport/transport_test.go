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

// contract is what every transport has to keep.
func contract(t *testing.T, make func() (transport.Transport, string)) {
	t.Run("answers go to their questions", func(t *testing.T) {
		server, address := make()
		defer server.Close()
		release := [2]chan struct{}{}
		release[0], release[1] = newGate(), newGate()
		err := server.Serve(func(_ messages.Kind, body []byte) ([]byte, error) {
			// The first question is answered last.
			place := int(body[0])
			if place == 0 {
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
			answer, err := client.Call(address, messages.KindShuffle, []byte{0}, enough)
			if err != nil || string(answer) != "to \x00" {
				t.Errorf("%q %v", answer, err)
			}
		}()
		answer, err := client.Call(address, messages.KindShuffle, []byte{1}, enough)
		if err != nil || string(answer) != "to \x01" {
			t.Errorf("%q %v", answer, err)
		}
		close(release[0])
		group.Wait()
	})
	t.Run("unknown kinds are refused and the rest goes on", func(t *testing.T) {
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
		if _, err := client.Call(address, messages.Kind(9999), nil, enough); !errs.Of(err, transport.Refused) {
			t.Fatalf("got %v", err)
		}
		if answer, err := client.Call(address, messages.KindShuffle, nil, enough); err != nil || string(answer) != "known" {
			t.Fatalf("%q %v", answer, err)
		}
	})
	t.Run("nobody there is told apart from no answer", func(t *testing.T) {
		client, address := make()
		defer client.Close()
		if _, err := client.Call(address, messages.KindShuffle, nil, enough); !errs.Of(err, transport.Unreached) {
			t.Fatalf("got %v", err)
		}
		server, busy := make()
		defer server.Close()
		hold := newGate()
		defer close(hold)
		_ = server.Serve(func(messages.Kind, []byte) ([]byte, error) {
			<-hold
			return []byte{}, nil
		})
		// Another caller: the system may hand the first address out again, where the first
		// caller remembers for a moment that nobody was.
		caller, _ := make()
		defer caller.Close()
		if _, err := caller.Call(busy, messages.KindShuffle, nil, clock.Milliseconds(500)); !errs.Of(err, transport.Unanswered) {
			t.Fatalf("got %v", err)
		}
	})
}

func newGate() chan struct{} { return make(chan struct{}) }

func TestContractWire(t *testing.T) {
	contract(t, func() (transport.Transport, string) {
		address := freeAddress(t)
		return transport.NewWire(address), address
	})
}

func TestContractMemory(t *testing.T) {
	room, count := transport.NewRoom(), 0
	contract(t, func() (transport.Transport, string) {
		count++
		address := fmt.Sprint("node", count)
		return room.Transport(address), address
	})
}

func TestDamagedFrameClosesTheConnection(t *testing.T) {
	address := freeAddress(t)
	server := transport.NewWire(address)
	defer server.Close()
	_ = server.Serve(func(messages.Kind, []byte) ([]byte, error) { return []byte("yes"), nil })
	connection, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	_, _ = connection.Write([]byte("this is no frame of ours at all"))
	_ = connection.SetReadDeadline(clock.Deadline(enough))
	var one [1]byte
	if _, err = connection.Read(one[:]); err == nil {
		t.Fatal("a damaged frame was answered")
	}
	client := transport.NewWire("")
	defer client.Close()
	if answer, err := client.Call(address, messages.KindShuffle, nil, enough); err != nil || string(answer) != "yes" {
		t.Fatalf("%q %v", answer, err)
	}
}

func TestTrailingBytesAreAllowed(t *testing.T) {
	told := &messages.HolderTold{Duty: messages.Duty{Holder: "a", Epoch: 3}}
	body, _ := told.MarshalMsg(nil)
	back := &messages.HolderTold{}
	if err := transport.Read(append(body, 1, 2, 3), back); err != nil || back.Duty.Epoch != 3 {
		t.Fatal(back, err)
	}
}
