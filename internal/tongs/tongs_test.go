package tongs_test

import (
	"fmt"
	"net"
	"sync"
	"testing"

	"lemonarch/internal/mishap"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/watch"
)

func freeAddress(test *testing.T) string {
	listener, failure := net.Listen("tcp4", "127.0.0.1:0")
	if failure != nil {
		test.Fatal(failure)
	}
	defer listener.Close()
	return listener.Addr().String()
}

const enough = 5_000_000_000

// contract is what every transport has to keep.
func contract(test *testing.T, make func() (tongs.Transport, string)) {
	test.Run("answers go to their questions", func(test *testing.T) {
		server, address := make()
		defer server.Close()
		release := [2]chan struct{}{}
		release[0], release[1] = newGate(), newGate()
		failure := server.Serve(func(_ pattern.Kind, body []byte) ([]byte, error) {
			// The first question is answered last.
			place := int(body[0])
			if place == 0 {
				<-release[0]
			}
			return append([]byte("to "), body...), nil
		})
		if failure != nil {
			test.Fatal(failure)
		}
		client, _ := make()
		defer client.Close()
		var group sync.WaitGroup
		group.Add(1)
		go func() {
			defer group.Done()
			answer, failure := client.Call(address, pattern.KindShuffle, []byte{0}, enough)
			if failure != nil || string(answer) != "to \x00" {
				test.Errorf("%q %v", answer, failure)
			}
		}()
		answer, failure := client.Call(address, pattern.KindShuffle, []byte{1}, enough)
		if failure != nil || string(answer) != "to \x01" {
			test.Errorf("%q %v", answer, failure)
		}
		close(release[0])
		group.Wait()
	})
	test.Run("unknown kinds are refused and the rest goes on", func(test *testing.T) {
		server, address := make()
		defer server.Close()
		_ = server.Serve(func(kind pattern.Kind, _ []byte) ([]byte, error) {
			if kind == pattern.KindShuffle {
				return []byte("known"), nil
			}
			return nil, nil
		})
		client, _ := make()
		defer client.Close()
		if _, failure := client.Call(address, pattern.Kind(9999), nil, enough); !mishap.Of(failure, tongs.Refused) {
			test.Fatalf("got %v", failure)
		}
		if answer, failure := client.Call(address, pattern.KindShuffle, nil, enough); failure != nil || string(answer) != "known" {
			test.Fatalf("%q %v", answer, failure)
		}
	})
	test.Run("nobody there is told apart from no answer", func(test *testing.T) {
		client, address := make()
		defer client.Close()
		if _, failure := client.Call(address, pattern.KindShuffle, nil, enough); !mishap.Of(failure, tongs.Unreached) {
			test.Fatalf("got %v", failure)
		}
		server, busy := make()
		defer server.Close()
		hold := newGate()
		defer close(hold)
		_ = server.Serve(func(pattern.Kind, []byte) ([]byte, error) {
			<-hold
			return []byte{}, nil
		})
		if _, failure := client.Call(busy, pattern.KindShuffle, nil, watch.Milliseconds(30)); !mishap.Of(failure, tongs.Unanswered) {
			test.Fatalf("got %v", failure)
		}
	})
}

func newGate() chan struct{} { return make(chan struct{}) }

func TestContractWire(test *testing.T) {
	contract(test, func() (tongs.Transport, string) {
		address := freeAddress(test)
		return tongs.NewWire(address), address
	})
}

func TestContractMemory(test *testing.T) {
	room, count := tongs.NewRoom(), 0
	contract(test, func() (tongs.Transport, string) {
		count++
		address := fmt.Sprint("node", count)
		return room.Transport(address), address
	})
}

func TestDamagedFrameClosesTheConnection(test *testing.T) {
	address := freeAddress(test)
	server := tongs.NewWire(address)
	defer server.Close()
	_ = server.Serve(func(pattern.Kind, []byte) ([]byte, error) { return []byte("yes"), nil })
	connection, failure := net.Dial("tcp4", address)
	if failure != nil {
		test.Fatal(failure)
	}
	defer connection.Close()
	_, _ = connection.Write([]byte("this is no frame of ours at all"))
	_ = connection.SetReadDeadline(watch.Deadline(enough))
	var one [1]byte
	if _, failure = connection.Read(one[:]); failure == nil {
		test.Fatal("a damaged frame was answered")
	}
	client := tongs.NewWire("")
	defer client.Close()
	if answer, failure := client.Call(address, pattern.KindShuffle, nil, enough); failure != nil || string(answer) != "yes" {
		test.Fatalf("%q %v", answer, failure)
	}
}

func TestTrailingBytesAreAllowed(test *testing.T) {
	told := &pattern.HolderTold{Duty: pattern.Duty{Holder: "a", Epoch: 3}}
	body, _ := told.MarshalMsg(nil)
	back := &pattern.HolderTold{}
	if failure := tongs.Read(append(body, 1, 2, 3), back); failure != nil || back.Duty.Epoch != 3 {
		test.Fatal(back, failure)
	}
}
