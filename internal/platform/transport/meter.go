package transport

import (
	"net"
	"sort"
	"sync"

	"lemonarch/internal/platform/messages"
)

// Locality is the location of the other side of a message relative to this process's zone.
type Locality int

// The localities; localityCount is their number.
const (
	// LocalityUnknown: SetLocality was not called for the host.
	LocalityUnknown Locality = iota
	LocalitySameZone
	LocalityOtherZone
	localityCount
)

var localityNames = [localityCount]string{"unknown", "own-zone", "other-zone"}

// String returns the name of the locality in reports.
func (p Locality) String() string { return localityNames[p] }

// Count is a number of messages and of their encoded bytes, frame headers included.
type Count struct {
	Messages, Bytes int64
}

// Flow counts the traffic in both directions. Requests and responses both count.
type Flow struct {
	Sent, Received Count
}

// Metered is a transport that counts its traffic.
type Metered interface {
	Meter() *Meter
}

// Meter counts messages by kind and locality. Package agent records the process's own host like any
// other, so messages that a process sends to itself count as its own zone's.
type Meter struct {
	lock  sync.Mutex
	hosts map[string]Locality
	flows map[messages.Kind]*[localityCount]Flow
}

// NewMeter returns a meter without known host localities.
func NewMeter() *Meter {
	return &Meter{hosts: map[string]Locality{}, flows: map[messages.Kind]*[localityCount]Flow{}}
}

func hostOf(address string) string {
	if host, _, err := net.SplitHostPort(address); err == nil {
		return host
	}
	return address
}

// SetLocality records whether the host of an address is in the own zone.
func (m *Meter) SetLocality(address string, own bool) {
	locality := LocalityOtherZone
	if own {
		locality = LocalitySameZone
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	m.hosts[hostOf(address)] = locality
}

func (m *Meter) flow(kind messages.Kind, address string) *Flow {
	flows := m.flows[kind]
	if flows == nil {
		flows = &[localityCount]Flow{}
		m.flows[kind] = flows
	}
	return &flows[m.hosts[hostOf(address)]]
}

func (m *Meter) sent(kind messages.Kind, address string, body int) {
	m.lock.Lock()
	defer m.lock.Unlock()
	flow := m.flow(kind, address)
	flow.Sent.Messages++
	flow.Sent.Bytes += int64(headerBytes + body)
}

func (m *Meter) received(kind messages.Kind, address string, body int) {
	m.lock.Lock()
	defer m.lock.Unlock()
	flow := m.flow(kind, address)
	flow.Received.Messages++
	flow.Received.Bytes += int64(headerBytes + body)
}

// FlowSample is the traffic of one kind and locality.
type FlowSample struct {
	Kind     messages.Kind
	Locality Locality
	Flow
}

// Samples returns the counts since the start, ordered by bytes sent, largest first.
func (m *Meter) Samples() []FlowSample {
	m.lock.Lock()
	defer m.lock.Unlock()
	var samples []FlowSample
	for kind, flows := range m.flows {
		for i, flow := range flows {
			if flow != (Flow{}) {
				samples = append(samples, FlowSample{Kind: kind, Locality: Locality(i), Flow: flow})
			}
		}
	}
	sort.Slice(samples, func(left, right int) bool {
		sample, other := samples[left], samples[right]
		if sample.Sent.Bytes != other.Sent.Bytes {
			return sample.Sent.Bytes > other.Sent.Bytes
		}
		return sample.Kind < other.Kind || (sample.Kind == other.Kind && sample.Locality < other.Locality)
	})
	return samples
}

// Total returns the sum of the samples of a locality; LocalityUnknown sums those of all localities.
func (m *Meter) Total(locality Locality) Flow {
	var total Flow
	for _, sample := range m.Samples() {
		if locality == LocalityUnknown || sample.Locality == locality {
			total.Sent.Messages += sample.Sent.Messages
			total.Sent.Bytes += sample.Sent.Bytes
			total.Received.Messages += sample.Received.Messages
			total.Received.Bytes += sample.Received.Bytes
		}
	}
	return total
}
