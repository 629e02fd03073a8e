package transport_test

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
)

// The ports used by the tests, which are below the range that the system assigns automatically. The
// first one is reserved to claim a host.
const (
	reservedPort = 10_000
	highestPort  = 30_000
)

// hostClaim is a loopback host that only this test process uses as long as it runs: neither another
// run of the tests nor an outgoing connection takes one of its ports.
type hostClaim struct {
	lock sync.Mutex
	host string
	// listener claims the host: the process that listens on the reserved port of a host owns it.
	listener net.Listener
	lastPort int
}

var claimedHost = hostClaim{lastPort: reservedPort}

// freeAddress returns an address on which no process listens and which it returns only once.
func freeAddress(t *testing.T) string {
	t.Helper()

	claimedHost.lock.Lock()
	defer claimedHost.lock.Unlock()
	if claimedHost.listener == nil {
		claimedHost.take(t)
	}
	for claimedHost.lastPort < highestPort {
		claimedHost.lastPort++
		address := fmt.Sprintf("%s:%d", claimedHost.host, claimedHost.lastPort)
		// Another process may listen on this port of all addresses.
		listener, err := net.Listen("tcp4", address)
		if err == nil {
			listener.Close()
			return address
		}
	}
	t.Fatal("no free port left")
	return ""
}

// take claims a host that no other process has claimed.
func (c *hostClaim) take(t *testing.T) {
	t.Helper()

	const attempts = 1000
	for number := os.Getpid(); number < os.Getpid()+attempts; number++ {
		host := fmt.Sprintf("127.%d.%d.253", 1+number/256%250, number%256)
		if listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", host, reservedPort)); err == nil {
			c.host, c.listener = host, listener
			return
		}
	}
	t.Fatal("no free loopback address")
}
