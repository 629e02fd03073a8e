package transport_test

import (
	"fmt"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// notifyContract checks the behaviour of notifications that every Notifier has to implement.
func notifyContract(t *testing.T, make func() (transport.Transport, string)) {
	t.Helper()

	server, address := make()
	defer server.Close()
	deliveries := newDeliveries()
	err := server.Serve(func(kind messages.Kind, body []byte) ([]byte, error) {
		if kind == messages.KindGossip {
			deliveries <- string(body)
		}
		return []byte("answer"), nil
	})
	if err != nil {
		t.Fatal(err)
	}
	client, unusedAddress := make()
	defer client.Close()
	notifier := client.(transport.Notifier)
	if err = notifier.Notify(address, messages.KindGossip, []byte("word")); err != nil {
		t.Fatal(err)
	}
	select {
	case notification := <-deliveries:
		if notification != "word" {
			t.Fatalf("got notification %q, want \"word\"", notification)
		}
	case <-clock.After(callTimeout):
		t.Fatal("the notification did not arrive")
	}
	// The connection carries calls as before, and no response to the notification is mistaken for theirs.
	if resp, err := client.Call(address, messages.KindShuffle, nil, callTimeout); err != nil || string(resp) != "answer" {
		t.Fatalf("call after the notification: got response %q, err %v, want \"answer\"", resp, err)
	}
	if err = notifier.Notify(unusedAddress, messages.KindGossip, nil); !errs.Is(err, transport.ErrUnreachable) {
		t.Fatalf("notify an unused address: got %v, want ErrUnreachable", err)
	}
}

func newDeliveries() chan string { return make(chan string, 8) }

func TestNotifyContractTCP(t *testing.T) {
	notifyContract(t, func() (transport.Transport, string) {
		address := freeAddress(t)
		return transport.NewTCP(address), address
	})
}

func TestNotifyContractMemory(t *testing.T) {
	network, count := transport.NewMemoryNetwork(), 0
	notifyContract(t, func() (transport.Transport, string) {
		count++
		address := fmt.Sprint("node", count)
		return network.Transport(address), address
	})
}

// callOnly is a transport that does not implement Notifier.
type callOnly struct{ transport.Transport }

// TestNotifyFallsBackToCall checks that Notify sends a call over a transport without notifications.
func TestNotifyFallsBackToCall(t *testing.T) {
	network := transport.NewMemoryNetwork()
	server := network.Transport("a")
	deliveries := newDeliveries()
	_ = server.Serve(func(_ messages.Kind, body []byte) ([]byte, error) {
		deliveries <- "called"
		return []byte{}, nil
	})
	if err := transport.Notify(callOnly{network.Transport("b")}, "a", messages.KindGossip, &messages.Ack{}); err != nil || len(deliveries) != 1 {
		t.Fatalf("got err %v and %d calls, want nil and 1", err, len(deliveries))
	}
}
