package tongs_test

import (
	"fmt"
	"testing"

	"lemonarch/internal/mishap"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/watch"
)

// toldContract is what every transport keeps for what nobody answers.
func toldContract(test *testing.T, make func() (tongs.Transport, string)) {
	server, address := make()
	defer server.Close()
	heard := newHeard()
	failure := server.Serve(func(kind pattern.Kind, body []byte) ([]byte, error) {
		if kind == pattern.KindGossip {
			heard <- string(body)
		}
		return []byte("answer"), nil
	})
	if failure != nil {
		test.Fatal(failure)
	}
	client, nobody := make()
	defer client.Close()
	teller := client.(tongs.Teller)
	if failure = teller.Tell(address, pattern.KindGossip, []byte("word")); failure != nil {
		test.Fatal(failure)
	}
	select {
	case word := <-heard:
		if word != "word" {
			test.Fatal(word)
		}
	case <-watch.After(enough):
		test.Fatal("what was told never arrived")
	}
	// The line carries calls as before, and no answer of the told one comes between.
	if answer, failure := client.Call(address, pattern.KindShuffle, nil, enough); failure != nil || string(answer) != "answer" {
		test.Fatalf("%q %v", answer, failure)
	}
	if failure = teller.Tell(nobody, pattern.KindGossip, nil); !mishap.Of(failure, tongs.Unreached) {
		test.Fatalf("told nobody: %v", failure)
	}
}

func newHeard() chan string { return make(chan string, 8) }

func TestToldContractWire(test *testing.T) {
	toldContract(test, func() (tongs.Transport, string) {
		address := freeAddress(test)
		return tongs.NewWire(address), address
	})
}

func TestToldContractMemory(test *testing.T) {
	room, count := tongs.NewRoom(), 0
	toldContract(test, func() (tongs.Transport, string) {
		count++
		address := fmt.Sprint("node", count)
		return room.Transport(address), address
	})
}

// plain is a transport that knows calls only.
type plain struct{ tongs.Transport }

// Over a transport without one-way messages a word is a call like any other.
func TestToldAsACall(test *testing.T) {
	room := tongs.NewRoom()
	server := room.Transport("a")
	heard := newHeard()
	_ = server.Serve(func(_ pattern.Kind, body []byte) ([]byte, error) {
		heard <- "called"
		return []byte{}, nil
	})
	if failure := tongs.Tell(plain{room.Transport("b")}, "a", pattern.KindGossip, &pattern.Nothing{}); failure != nil || len(heard) != 1 {
		test.Fatal(failure, len(heard))
	}
}
