package constants

import "time"

// Gossip between the processes that place requests. All of it is bounded, whatever the size of
// the fleet.
const (
	// GossipPeriod is the period of utilization and weight gossip: 1 s, as in the source of the
	// design.
	GossipPeriod = time.Second
	// GossipStale is the age at which a peer's sample expires: three periods.
	GossipStale = 3 * GossipPeriod
	// GossipLoads is the maximum number of load samples in a packet: enough for almost all workers
	// of a zone that has 150. With them the packet stays within 1,400 bytes.
	GossipLoads = 144
	// GossipAgeMax is the maximum age of a load observation that is passed on: an older one
	// would expire before it is used.
	GossipAgeMax = 2 * GossipPeriod
	// GossipPrefixes is the maximum number of residency samples in a packet, and
	// GossipPrefixTokensMin the minimum length, in tokens, of a prefix that is worth one.
	GossipPrefixes        = 16
	GossipPrefixTokensMin = 1000
	// GossipFanout is the number of neighbours in its own zone to which a process sends a packet.
	GossipFanout = 3
	// GossipSenderTimeout is the silence after which a neighbour no longer counts as a sender. A process
	// with fewer than two senders requests packets from the processes to which it sends. Each
	// process serves at most ReplyPeersMax such requesters, each for ReplyPeerDuration after its last request.
	GossipSenderTimeout = 2500 * time.Millisecond
	ReplyPeersMax       = 2
	ReplyPeerDuration   = 20 * time.Second
	// NeighbourAgeMax is the maximum age of the last contact with a process, reported by others
	// included, for it to be selected as a neighbour. Shuffles take some seconds to spread
	// through a large fleet.
	NeighbourAgeMax = 10 * time.Second
	// PrefillFanout is the maximum number of peers that are notified of a long prefill: all of a
	// small fleet, and the nearest ones of a large fleet.
	PrefillFanout = 12
	// PressureFanout is the number of stores to which a pressure notice is sent, and
	// PressureHops how often they forward it. The cost is the same in a fleet of any size.
	PressureFanout = 3
	PressureHops   = 1
)

// Selection of workers by a process of a large fleet.
const (
	// FullDurationMin is the minimum time for which an observation that a worker was full counts: the
	// duration of a few requests.
	FullDurationMin = 350 * time.Millisecond
	// ScoreJitterMs is the random part, in ms, of a non-engine worker's score. It is smaller than the
	// 2 ms that another zone costs.
	ScoreJitterMs = 1.0
	// SubsetThreshold is the number of workers of a service up to which a node considers all of
	// them. Of more, it considers SubsetSize, and in addition up to PrefixWorkersMax home workers
	// and up to PrefixWorkersMax holders of a long prefix. For items of batch jobs it considers all
	// workers in any case.
	SubsetThreshold  = 24
	SubsetSize       = 8
	PrefixWorkersMax = 4
)
