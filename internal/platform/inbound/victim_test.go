package inbound

import (
	"fmt"
	"net"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/settings"
)

// TestEvictionOrder checks the order of eviction: for memory the slowest request first, then the largest if
// it is charged more than twice what is needed; for connections the one idle for the longest time first,
// then the one with the slowest request. A complete request is not evicted for memory, and its connection
// is closed, last of all, only if its client has not read the response for long.
func TestEvictionOrder(t *testing.T) {
	second := clock.Instant(clock.Milliseconds(1000))
	now := 100 * second
	connections := make([]Conn, 8)
	list := []candidate{
		{connection: &connections[0], phase: phaseServing, waitingSince: 1, charged: 900},
		{connection: &connections[1], phase: phaseBody, waitingSince: now - 5*second, recent: 500, charged: 50},
		{connection: &connections[2], phase: phaseHead, waitingSince: now - 3*second, recent: 20, charged: 10},
		{connection: &connections[3], phase: phaseBody, waitingSince: now, recent: 0, charged: 800},
		{connection: &connections[4], phase: phaseServing, waitingSince: 1, writingSince: now - 4*second},
		{connection: &connections[5], phase: phaseServing, waitingSince: 1, writingSince: now},
		{connection: &connections[6], phase: phaseIdle, waitingSince: now - 2*second},
		{connection: &connections[7], phase: phaseIdle, waitingSince: now - 1*second},
	}
	evicted, closed := []int{}, []int{}
	remaining := append([]candidate{}, list...)
	for chosen := chooseRequest(remaining, 100, now); chosen != nil; chosen = chooseRequest(remaining, 100, now) {
		evicted = append(evicted, indexOf(connections, chosen.connection))
		chosen.charged = 0
	}
	remaining = append([]candidate{}, list...)
	for chosen := chooseConnection(remaining, now); chosen != nil; chosen = chooseConnection(remaining, now) {
		closed = append(closed, indexOf(connections, chosen.connection))
		*chosen = candidate{phase: phaseServing}
	}
	if fmt.Sprint(evicted) != "[2 1 3]" {
		t.Errorf("requests are evicted for memory in the order %v, want [2 1 3]", evicted)
	}
	if fmt.Sprint(closed) != "[6 7 2 1 4]" {
		t.Errorf("connections are closed in the order %v, want [6 7 2 1 4]", closed)
	}
	if chooseRequest(list[3:4], 500, now) != nil {
		t.Error("a request charged 800 bytes was evicted for one that needs 500; want none, since it is charged less than twice that")
	}
}

func indexOf(connections []Conn, target *Conn) int {
	for i := range connections {
		if &connections[i] == target {
			return i
		}
	}
	return -1
}

func TestRateExpires(t *testing.T) {
	window := clock.Instant(constants.ClientRateWindow)
	r := rate{}
	r.add(100, window)
	r.add(50, window+window/2)
	if got := r.recent(2*window + 1); got != 150 {
		t.Errorf("bytes counted within two windows: got %d, want 150", got)
	}
	if got := r.recent(5 * window); got != 0 {
		t.Errorf("bytes counted after two windows: got %d, want 0", got)
	}
}

func TestLimitsGrowWithTheMachine(t *testing.T) {
	small := LimitsOf(settings.Limits{MemoryMB: 96, FileHandles: 600})
	large := LimitsOf(settings.Limits{MemoryMB: 284, FileHandles: 4100})
	if small.Connections > 200 || small.Connections < 100 || large.Connections < 500 || large.Connections > 1950 || small.Memory >= large.Memory {
		t.Errorf("limits of a small machine %+v, want 100 to 200 connections; of a large one %+v, want 500 to 1950 and more memory", small, large)
	}
	if none := LimitsOf(settings.Limits{MemoryMB: 17}); none.Connections < constants.ClientConnectionsMin {
		t.Errorf("limits of a machine with little memory: %+v, want at least %d connections", none, constants.ClientConnectionsMin)
	}
}

// TestCompleteRequestsAreNotEvicted checks that a request which was received completely after it was
// chosen is not evicted, and that the bytes an evicted request will release are counted once.
func TestCompleteRequestsAreNotEvicted(t *testing.T) {
	memory := NewMemory(1000)
	listener := NewListener(nil, 0, memory)
	server, client := net.Pipe()
	defer client.Close()
	connection := newConn(server, listener)
	listener.open[connection] = struct{}{}
	connection.phase = phaseBody
	if done, _, _ := memory.tryReserve(connection, 600); !done {
		t.Fatal("could not reserve memory below the limit")
	}
	chosen := listener.candidates(clock.Now())[0]
	if connection.endBody() != nil || connection.evict(&chosen) {
		t.Fatal("a complete request was evicted")
	}
	connection.phase = phaseBody
	if !connection.evict(&chosen) || connection.evict(&chosen) {
		t.Fatal("a request must be evicted exactly once")
	}
	for range 2 {
		memory.markReleasing(connection)
	}
	if memory.releasing != 600 {
		t.Errorf("%d bytes are marked as releasing, want 600", memory.releasing)
	}
	connection.end()
	memory.markReleasing(connection)
	if memory.releasing != 0 || memory.used != 0 {
		t.Errorf("after the end of the request: %d bytes releasing, %d used, want 0 and 0", memory.releasing, memory.used)
	}
}

// TestChargedBytesUntilClose checks that the bytes of a request stay charged until the server calls
// Close, even if its connection was aborted before.
func TestChargedBytesUntilClose(t *testing.T) {
	for _, at := range []phase{phaseHead, phaseBody, phaseDraining} {
		memory := NewMemory(1000)
		listener := NewListener(nil, 0, memory)
		server, client := net.Pipe()
		defer client.Close()
		connection := newConn(server, listener)
		listener.open[connection] = struct{}{}
		connection.phase = at
		memory.tryReserve(connection, 600)
		chosen := listener.candidates(clock.Now())[0]
		if !connection.evict(&chosen) {
			t.Fatalf("connection in phase %d was not evicted", at)
		}
		_ = connection.abort()
		if memory.Used() != 600 || listener.Open() != 0 {
			t.Errorf("phase %d, after abort: %d bytes charged, %d connections open, want 600 and 0", at, memory.Used(), listener.Open())
		}
		if err := connection.Close(); memory.Used() != 0 {
			t.Errorf("phase %d, after Close (err %v): %d bytes charged, want 0", at, err, memory.Used())
		}
	}
}
