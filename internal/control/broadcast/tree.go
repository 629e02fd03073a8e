// Package broadcast spreads an update over the fleet down a tree: whoever has it tells the
// processes of its own zone and one controller of each other zone, which tells its zone.
// A step function without I/O: calls in, sends out.
package broadcast

import (
	"sort"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Step says what a send asks of its receiver.
type Step int

// The steps.
const (
	// StepDeliver: take the update, and pass it on to the addresses in Pass.
	StepDeliver Step = iota
	// StepRelay: take the update and tell your zone; answered at once.
	StepRelay
	// StepWait: say whom of your zone you could not reach, once you know.
	StepWait
)

// Send is one call to be made.
type Send struct {
	Step    Step
	Address string
	Zone    string
	// ForwardTo holds the addresses to which the receiver passes the update on.
	ForwardTo []string
	// Expect are the hashes of those whom the sender knows in the zone.
	Expect []uint32
}

// branch is the part of a tree that one zone makes.
type branch struct {
	controllers []messages.NodeInfo
	processes   []messages.NodeInfo
	relay       string
	requestedAt clock.Instant
	// complete: nothing more is expected of the zone's controllers.
	complete bool
}

// Tree is one update on its way.
type Tree struct {
	self     messages.NodeInfo
	fan      int
	branches map[string]*branch
	// pending are the sends whose response is waited for, by address.
	pending map[string]bool
	missing map[uint32]bool
	hashes  map[string]uint32
	entries map[string]messages.NodeInfo
}

// NewTree begins an update for all processes of a directory but the owner. fan is how many of
// a zone are told directly, each passing the update on to its part of the rest; 0 tells
// each directly.
func NewTree(own messages.NodeInfo, directory []messages.NodeInfo, fan int, now clock.Instant) (*Tree, []Send) {
	job := &Tree{self: own, fan: fan, branches: map[string]*branch{}, pending: map[string]bool{}, missing: map[uint32]bool{}, hashes: map[string]uint32{},
		entries: map[string]messages.NodeInfo{}}
	for _, entry := range directory {
		if membership.Key(entry) == membership.Key(own) {
			continue
		}
		b := job.branches[entry.Zone]
		if b == nil {
			b = &branch{}
			job.branches[entry.Zone] = b
		}
		job.hashes[entry.Address] = membership.Hash(entry)
		job.entries[entry.Address] = entry
		b.processes = append(b.processes, entry)
		if entry.Role == membership.RoleController && recentlyInContact(entry) && !entry.Draining {
			b.controllers = append(b.controllers, entry)
		}
	}
	var sends []Send
	for _, zone := range job.zones() {
		b := job.branches[zone]
		// The one in contact most recently is asked first: it is most likely alive.
		sort.SliceStable(b.controllers, func(left, right int) bool { return b.controllers[left].AgeMs < b.controllers[right].AgeMs })
		if zone == own.Zone {
			b.complete = true
			sends = append(sends, job.deliver(b.processes)...)
		} else {
			sends = append(sends, job.next(b, zone, now)...)
		}
	}
	return job, sends
}

// NewZoneTree begins an update for the owner's zone alone, on behalf of another. Those of the
// expected that the owner does not know are missing from the start.
func NewZoneTree(own messages.NodeInfo, directory []messages.NodeInfo, expect []uint32, fan int, now clock.Instant) (*Tree, []Send) {
	var near []messages.NodeInfo
	known := map[uint32]bool{membership.Hash(own): true}
	for _, entry := range directory {
		if entry.Zone == own.Zone {
			near = append(near, entry)
			known[membership.Hash(entry)] = true
		}
	}
	job, sends := NewTree(own, near, fan, now)
	for _, hash := range expect {
		if !known[hash] {
			job.missing[hash] = true
		}
	}
	return job, sends
}

// recentlyInContact tells whether a process was in contact lately: only then is it waited for.
func recentlyInContact(entry messages.NodeInfo) bool {
	return entry.AgeMs < constants.SuspectAfter.Milliseconds()
}

func (j *Tree) zones() []string {
	var zones []string
	for zone := range j.branches {
		zones = append(zones, zone)
	}
	sort.Strings(zones)
	return zones
}

// deliver makes the sends that tell processes directly, or through a few of them.
func (j *Tree) deliver(processes []messages.NodeInfo) []Send {
	var counts, silent []messages.NodeInfo
	for _, entry := range processes {
		if recentlyInContact(entry) {
			counts = append(counts, entry)
			j.pending[entry.Address] = true
		} else {
			silent = append(silent, entry)
		}
	}
	var sends []Send
	if j.fan == 0 {
		for _, entry := range counts {
			sends = append(sends, Send{Step: StepDeliver, Address: entry.Address})
		}
	} else {
		var addresses []string
		for _, entry := range counts {
			addresses = append(addresses, entry.Address)
		}
		sends = Split(addresses, j.fan)
		for _, send := range sends {
			for _, address := range send.ForwardTo {
				delete(j.pending, address)
			}
		}
	}
	// The silent ones are sent the update as well, each for itself: nobody waits for them.
	for _, entry := range silent {
		sends = append(sends, Send{Step: StepDeliver, Address: entry.Address})
	}
	return sends
}

// Split shares addresses out among the first few of them.
func Split(addresses []string, fan int) []Send {
	count := min(fan, len(addresses))
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

// next asks a zone's next controller, or tells its processes where none is left.
func (j *Tree) next(b *branch, zone string, now clock.Instant) []Send {
	if b.complete {
		return nil
	}
	if len(b.controllers) == 0 {
		b.complete, b.relay = true, ""
		return j.deliver(b.processes)
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
