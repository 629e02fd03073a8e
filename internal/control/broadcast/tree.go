// Package broadcast distributes an update to the fleet along a tree: the controller that starts the
// broadcast sends the update to the processes of its own zone and to one relay controller of each
// other zone, which sends it to the processes of that zone. A Tree is the state of one broadcast; a
// Backlog stores the updates that processes have not confirmed.
//
// The package does no I/O: each method takes an event and returns the calls to make. Neither type is
// safe for concurrent use.
package broadcast

import (
	"sort"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Step is the kind of request that a Send makes.
type Step int

// The steps of a broadcast.
const (
	// StepDeliver delivers the update; the receiver forwards it to the addresses in ForwardTo.
	StepDeliver Step = iota
	// StepRelay delivers the update to a controller, which distributes it in its zone and responds
	// immediately.
	StepRelay
	// StepWait requests the list of processes that the relay could not reach in its zone. The relay
	// responds once its distribution has ended or constants.ZoneBroadcastTimeout has passed.
	StepWait
)

// Send is one call to make.
type Send struct {
	Step    Step
	Address string
	// Zone is the zone of the relay, empty for StepDeliver.
	Zone string
	// ForwardTo lists the addresses to which the receiver forwards the update.
	ForwardTo []string
	// Expect lists the hashes of the processes that the sender knows in the zone and that were in
	// contact recently.
	Expect []uint32
}

// branch is the part of a tree that covers one zone.
type branch struct {
	// controllers are the relay candidates that have not been tried yet.
	controllers []messages.NodeInfo
	processes   []messages.NodeInfo
	// relay is the address of the controller that currently relays, empty if there is none.
	relay string
	// requestedAt is the time from which constants.RelayTimeout counts. It is in the future while an
	// accepted relay may take constants.ZoneBroadcastTimeout.
	requestedAt clock.Instant
	// complete is set once no further response from the zone's controllers is awaited.
	complete bool
}

// Tree is the state of one update that is being broadcast.
type Tree struct {
	self     messages.NodeInfo
	fanout   int
	branches map[string]*branch
	// pending is the set of receiver addresses whose response is awaited.
	pending map[string]bool
	// missing is the set of hashes of the processes that failed, and of those that another controller
	// expects in this zone and that the directory lacks.
	missing map[uint32]bool
	// hashes and nodes are keyed by address.
	hashes map[string]uint32
	nodes  map[string]messages.NodeInfo
}

// NewTree begins an update for all processes of a directory except self. fanout is the number of
// processes in a zone that receive the update directly, each forwarding it to its share of the
// others; with 0 every process receives it directly.
func NewTree(self messages.NodeInfo, directory []messages.NodeInfo, fanout int, now clock.Instant) (*Tree, []Send) {
	t := &Tree{self: self, fanout: fanout, branches: map[string]*branch{}, pending: map[string]bool{}, missing: map[uint32]bool{}, hashes: map[string]uint32{},
		nodes: map[string]messages.NodeInfo{}}
	for _, entry := range directory {
		if membership.Key(entry) == membership.Key(self) {
			continue
		}
		b := t.branches[entry.Zone]
		if b == nil {
			b = &branch{}
			t.branches[entry.Zone] = b
		}
		t.hashes[entry.Address] = membership.Hash(entry)
		t.nodes[entry.Address] = entry
		b.processes = append(b.processes, entry)
		if entry.Role == membership.RoleController && recentlyInContact(entry) && !entry.Draining {
			b.controllers = append(b.controllers, entry)
		}
	}
	var sends []Send
	for _, zone := range t.zones() {
		b := t.branches[zone]
		// The controller that was in contact most recently is tried first, because it is the most
		// likely to be alive.
		sort.SliceStable(b.controllers, func(left, right int) bool { return b.controllers[left].AgeMs < b.controllers[right].AgeMs })
		if zone == self.Zone {
			b.complete = true
			sends = append(sends, t.deliver(b.processes)...)
		} else {
			sends = append(sends, t.nextRelay(b, zone, now)...)
		}
	}
	return t, sends
}

// NewZoneTree begins an update for the zone of self only, on behalf of another controller. The
// expected processes that are not in the directory count as missing from the start.
func NewZoneTree(self messages.NodeInfo, directory []messages.NodeInfo, expect []uint32, fanout int, now clock.Instant) (*Tree, []Send) {
	var zoneNodes []messages.NodeInfo
	known := map[uint32]bool{membership.Hash(self): true}
	for _, entry := range directory {
		if entry.Zone == self.Zone {
			zoneNodes = append(zoneNodes, entry)
			known[membership.Hash(entry)] = true
		}
	}
	t, sends := NewTree(self, zoneNodes, fanout, now)
	for _, hash := range expect {
		if !known[hash] {
			t.missing[hash] = true
		}
	}
	return t, sends
}

// recentlyInContact reports whether a process was in contact within constants.SuspectAfter. The tree
// waits only for such processes.
func recentlyInContact(entry messages.NodeInfo) bool {
	return entry.AgeMs < constants.SuspectAfter.Milliseconds()
}

func (t *Tree) zones() []string {
	var zones []string
	for zone := range t.branches {
		zones = append(zones, zone)
	}
	sort.Strings(zones)
	return zones
}

// deliver returns the sends that deliver the update to processes, directly or with forwarding by
// the first few of them.
func (t *Tree) deliver(processes []messages.NodeInfo) []Send {
	var active, silent []messages.NodeInfo
	for _, entry := range processes {
		if recentlyInContact(entry) {
			active = append(active, entry)
			t.pending[entry.Address] = true
		} else {
			silent = append(silent, entry)
		}
	}
	var sends []Send
	if t.fanout == 0 {
		for _, entry := range active {
			sends = append(sends, Send{Step: StepDeliver, Address: entry.Address})
		}
	} else {
		var addresses []string
		for _, entry := range active {
			addresses = append(addresses, entry.Address)
		}
		sends = Split(addresses, t.fanout)
		for _, send := range sends {
			for _, address := range send.ForwardTo {
				delete(t.pending, address)
			}
		}
	}
	// Silent processes are sent the update as well, each directly, but their response is not awaited.
	for _, entry := range silent {
		sends = append(sends, Send{Step: StepDeliver, Address: entry.Address})
	}
	return sends
}

// Split divides addresses among the first fanout of them, which forward to the others. fanout must be
// at least 1.
func Split(addresses []string, fanout int) []Send {
	count := min(fanout, len(addresses))
	sends := make([]Send, count)
	for i, address := range addresses {
		if i < count {
			sends[i] = Send{Step: StepDeliver, Address: address}
		} else {
			sends[i%count].ForwardTo = append(sends[i%count].ForwardTo, address)
		}
	}
	return sends
}

// nextRelay returns the send that asks the zone's next controller to relay the update. If there is
// none left, it returns the sends that deliver the update to the zone's processes from here.
func (t *Tree) nextRelay(b *branch, zone string, now clock.Instant) []Send {
	if b.complete {
		return nil
	}
	if len(b.controllers) == 0 {
		b.complete, b.relay = true, ""
		return t.deliver(b.processes)
	}
	var expect []uint32
	for _, entry := range b.processes {
		if recentlyInContact(entry) {
			expect = append(expect, membership.Hash(entry))
		}
	}
	b.relay, b.requestedAt, b.controllers = b.controllers[0].Address, now, b.controllers[1:]
	return []Send{{Step: StepRelay, Address: b.relay, Zone: zone, Expect: expect}}
}
