package transport_test

import (
	"fmt"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// toldContract is what every transport keeps for what nobody answers.
func toldContract(t *testing.T, make func() (transport.Transport, string)) {
	server, address := make()
	defer server.Close()
	heard := newHeard()
	err := server.Serve(func(kind messages.Kind, body []byte) ([]byte, error) {
		if kind == messages.KindGossip {
			heard <- string(body)
		}
		return []byte("answer"), nil
	})
	if err != nil {
		t.Fatal(err)
	}
	client, nobody := make()
	defer client.Close()
	teller := client.(transport.Notifier)
	if err = teller.Notify(address, messages.KindGossip, []byte("word")); err != nil {
		t.Fatal(err)
	}
	select {
	case word := <-heard:
		if word != "word" {
			t.Fatal(word)
		}
	case <-clock.After(enough):
		t.Fatal("what was told never arrived")
	}
	// The line carries calls as before, and no answer of the told one comes between.
	if resp, err := client.Call(address, messages.KindShuffle, nil, enough); err != nil || string(resp) != "answer" {
		t.Fatalf("%q %v", resp, err)
	}
	if err = teller.Notify(nobody, messages.KindGossip, nil); !errs.Is(err, transport.ErrUnreachable) {
		t.Fatalf("told nobody: %v", err)
	}
}

func newHeard() chan string { return make(chan string, 8) }

func TestToldContractWire(t *testing.T) {
	toldContract(t, func() (transport.Transport, string) {
		address := freeAddress(t)
		return transport.NewTCP(address), address
	})
}

func TestToldContractMemory(t *testing.T) {
	room, count := transport.NewMemoryNetwork(), 0
	toldContract(t, func() (transport.Transport, string) {
		count++
		address := fmt.Sprint("node", count)
		return room.Transport(address), address
	})
}

// plain is a transport that knows calls only.
type plain struct{ transport.Transport }

// Over a transport without one-way messages a word is a call like any other.
func TestToldAsACall(t *testing.T) {
	room := transport.NewMemoryNetwork()
	server := room.Transport("a")
	heard := newHeard()
	_ = server.Serve(func(_ messages.Kind, body []byte) ([]byte, error) {
		heard <- "called"
		return []byte{}, nil
	})
	if err := transport.Notify(plain{room.Transport("b")}, "a", messages.KindGossip, &messages.Ack{}); err != nil || len(heard) != 1 {
		t.Fatal(err, len(heard))
	}
}
