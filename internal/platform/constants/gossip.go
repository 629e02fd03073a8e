package constants

import "time"

// What placing processes say to each other: all of it is bounded, whatever the size
// of the fleet.
const (
	// GossipPeriod is the period of utilization and weight gossip (the source's 1 s).
	GossipPeriod = time.Second
	// GossipStale is the age at which a peer's word counts no more: three periods.
	GossipStale = 3 * GossipPeriod
	// GossipLoads bounds the load words of a packet (ours): those of a zone with 150
	// workers, and the packet stays within 1,400 bytes.
	GossipLoads = 144
	// GossipMinChange is the age up to which evidence is passed on (ours): older would reach
	// the age limit before it has served anybody.
	GossipMinChange = 2 * GossipPeriod
	// GossipPrefixes bounds its residency words, and GossipPrefixLeast, in tokens, is
	// the length from which a prefix is worth one (ours).
	GossipPrefixes    = 16
	GossipPrefixLeast = 1000
	// GossipFanout is how many neighbours of the own zone a packet goes to (ours).
	GossipFanout = 3
	// LonelyAfter is the silence after which a neighbour no longer counts as telling;
	// who is told by fewer than two asks those it tells. Each tells TieLimit such at
	// most, for TieTime (ours).
	LonelyAfter = 2500 * time.Millisecond
	TieLimit    = 2
	TieTime     = 20 * time.Second
	// NeighbourAge is the age of a process's word, over others, up to which it may be
	// drawn as a neighbour (ours): shuffles take some seconds round a large fleet.
	NeighbourAge = 10 * time.Second
	// ReadingFanout bounds who is told of a long reading (ours): a small fleet whole,
	// and of a large one those near by.
	ReadingFanout = 12
	// PressureFanout is how many stores a word of pressure goes to, and PressureHops
	// how often it is passed on by them (ours): the cost is the same in any fleet.
	PressureFanout = 3
	PressureHops   = 1
)

// What a process of a large fleet weighs.
const (
	// FullFor is how long it counts at least that a worker was full (ours): a few
	// requests' length.
	FullFor = 350 * time.Millisecond
	// SpreadMs is the random part of a plain worker's score (ours): less than the 2 ms
	// that another zone costs.
	SpreadMs = 1.0
	// ReachAllUpTo is the number of a service's workers up to which a node weighs them
	// all; ReachSubset is how many it weighs of more, and ReachHomes how many homes and
	// holders of a long prefix beside these (ours).
	ReachAllUpTo = 24
	ReachSubset  = 8
	ReachHomes   = 4
)
