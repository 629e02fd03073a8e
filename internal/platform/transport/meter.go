package transport

import (
	"net"
	"sort"
	"sync"

	"lemonarch/internal/platform/messages"
)

// Place is where the other side of a message stands.
type Place int

// The places.
const (
	// PlaceUnknown: the caller has not said where that host stands.
	PlaceUnknown Place = iota
	PlaceOwnZone
	PlaceOtherZone
	places
)

var placeNames = [places]string{"unknown", "own-zone", "other-zone"}

// String names a place in reports.
func (p Place) String() string { return placeNames[p] }

// Count is a number of messages with their encoded bytes, heads included.
type Count struct {
	Messages, Bytes int64
}

// Flow is what went both ways. Calls and their answers both count.
type Flow struct {
	Sent, Received Count
}

// Metered is a transport that counts its traffic.
type Metered interface {
	Meter() *Meter
}

// Meter counts messages by kind and place. What a process sends to itself counts
// as its own zone's.
type Meter struct {
	lock  sync.Mutex
	hosts map[string]Place
	flows map[messages.Kind]*[places]Flow
}

// NewMeter makes a meter that knows of no host yet.
func NewMeter() *Meter {
	return &Meter{hosts: map[string]Place{}, flows: map[messages.Kind]*[places]Flow{}}
}

func hostOf(address string) string {
	if host, _, err := net.SplitHostPort(address); err == nil {
		return host
	}
	return address
}

// Learn says whether the host of an address stands in the own zone.
func (m *Meter) Learn(address string, own bool) {
	place := PlaceOtherZone
	if own {
		place = PlaceOwnZone
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	m.hosts[hostOf(address)] = place
}

func (m *Meter) flow(kind messages.Kind, address string) *Flow {
	one := m.flows[kind]
	if one == nil {
		one = &[places]Flow{}
		m.flows[kind] = one
	}
	return &one[m.hosts[hostOf(address)]]
}

func (m *Meter) sent(kind messages.Kind, address string, body int) {
	m.lock.Lock()
	defer m.lock.Unlock()
	flow := m.flow(kind, address)
	flow.Sent.Messages++
	flow.Sent.Bytes += int64(headBytes + body)
}

func (m *Meter) received(kind messages.Kind, address string, body int) {
	m.lock.Lock()
	defer m.lock.Unlock()
	flow := m.flow(kind, address)
	flow.Received.Messages++
	flow.Received.Bytes += int64(headBytes + body)
}

// Reading is one line of a meter.
type Reading struct {
	Kind  messages.Kind
	Place Place
	Flow
}

// Readings gives what was counted since the start, the busiest first.
func (m *Meter) Readings() []Reading {
	m.lock.Lock()
	defer m.lock.Unlock()
	var readings []Reading
	for kind, flows := range m.flows {
		for place, flow := range flows {
			if flow != (Flow{}) {
				readings = append(readings, Reading{Kind: kind, Place: Place(place), Flow: flow})
			}
		}
	}
	sort.Slice(readings, func(left, right int) bool {
		one, other := readings[left], readings[right]
		if one.Sent.Bytes != other.Sent.Bytes {
			return one.Sent.Bytes > other.Sent.Bytes
		}
		return one.Kind < other.Kind || (one.Kind == other.Kind && one.Place < other.Place)
	})
	return readings
}

// Total sums the readings of a place; PlaceUnknown sums all.
func (m *Meter) Total(place Place) Flow {
	var total Flow
	for _, one := range m.Readings() {
		if place == PlaceUnknown || one.Place == place {
			total.Sent.Messages += one.Sent.Messages
			total.Sent.Bytes += one.Sent.Bytes
			total.Received.Messages += one.Received.Messages
			total.Received.Bytes += one.Received.Bytes
		}
	}
	return total
}
