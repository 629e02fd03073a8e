package transport_test

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
)

// Ports that the system gives nobody of its own accord.
const (
	firstFreePort = 10_000
	lastFreePort  = 30_000
)

// claim is a loopback address that this process of tests has to itself as long as it runs:
// no other run of the tests, and no outgoing connection, takes a port of it.
type claim struct {
	lock sync.Mutex
	host string
	// held keeps others off: whoever listens at the first port of a host has it.
	held net.Listener
	next int
}

var ownAddresses = claim{next: firstFreePort}

// freeAddress gives an address where nobody listens, and that it gives nobody else.
func freeAddress(t *testing.T) string {
	t.Helper()

	ownAddresses.lock.Lock()
	defer ownAddresses.lock.Unlock()
	if ownAddresses.held == nil {
		ownAddresses.take(t)
	}
	for ownAddresses.next < lastFreePort {
		ownAddresses.next++
		address := fmt.Sprintf("%s:%d", ownAddresses.host, ownAddresses.next)
		// Somebody may listen at this port of every address.
		listener, err := net.Listen("tcp4", address)
		if err == nil {
			listener.Close()
			return address
		}
	}
	t.Fatal("no free port is left")
	return ""
}

// take finds a host that no other process has.
func (c *claim) take(t *testing.T) {
	t.Helper()

	const tries = 1000
	for number := os.Getpid(); number < os.Getpid()+tries; number++ {
		host := fmt.Sprintf("127.%d.%d.253", 1+number/256%250, number%256)
		if listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", host, firstFreePort)); err == nil {
			c.host, c.held = host, listener
			return
		}
	}
	t.Fatal("no loopback address is free")
}
