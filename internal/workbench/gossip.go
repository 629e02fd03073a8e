package workbench

import (
	"lemonarch/internal/almanac"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

// gossipFormat is the version of the gossip packet; later ones may add fields.
const gossipFormat = 1

// wordsLimit and wordsLeast bound what is told of prefixes (ours): only long
// prefixes are worth the bytes between halls.
const (
	wordsLimit = 48
	wordsLeast = 1000
)

// Gossip makes this node's packet.
func (bench *Workbench) Gossip(now watch.Moment) *pattern.Gossip {
	bench.lock.Lock()
	defer bench.lock.Unlock()
	packet := &pattern.Gossip{Format: gossipFormat, From: bench.own.Role + "/" + bench.own.Name, Life: bench.own.Life}
	if bench.config != nil {
		packet.Generation = bench.config.Generation
	}
	for _, worker := range bench.Roster.All(now) {
		vitals := bench.Gauge.Of(worker.ID)
		weight := vitals.Weight(worker.ID, now)
		weight.Turned = bench.Index.OwnTurned(worker.ID)
		if worker.Phase != pattern.PhaseGone {
			packet.Weights = append(packet.Weights, weight)
		}
	}
	packet.Residencies = bench.Index.Words(now, wordsLimit, wordsLeast)
	packet.Pressure = bench.waitingWords()
	return packet
}

// Heard takes a peer's packet.
func (bench *Workbench) Heard(packet *pattern.Gossip, now watch.Moment) {
	bench.lock.Lock()
	defer bench.lock.Unlock()
	for _, weight := range packet.Weights {
		if _, known := bench.Roster.Get(weight.ID); !known {
			continue
		}
		bench.Gauge.Of(weight.ID).Peer(packet.From, weight, now)
		bench.Index.PeerTurned(packet.From, weight.ID, weight.Turned)
	}
	bench.Index.Told(packet.Residencies, now)
	bench.pressure[packet.From] = pressureWord{at: now, words: packet.Pressure}
}

// Alert tells whether more placements are downgraded than the source finds sound.
func (bench *Workbench) Alert() (placements, downgrades int64, alert bool) {
	bench.lock.Lock()
	defer bench.lock.Unlock()
	placements, downgrades = bench.Index.Placements, bench.Index.Downgrades
	const enough = 200
	return placements, downgrades, placements > enough && float64(downgrades) > almanac.DowngradeAlert*float64(placements)
}

// PumpWaiting pumps where anything waits: patience may have run out.
func (bench *Workbench) PumpWaiting(now watch.Moment) {
	bench.lock.Lock()
	waiting := bench.slab.Len() > 0
	bench.lock.Unlock()
	if waiting {
		bench.Pump(now)
		bench.press(now)
	}
}

// OnReading names who is told of long prompts; it must not block.
func (bench *Workbench) OnReading(tell func(worker string, milliseconds float64)) {
	bench.tellReading = tell
}

// PeerReads takes a peer's word of a long prompt.
func (bench *Workbench) PeerReads(told *pattern.ReadingTold, now watch.Moment) {
	bench.lock.Lock()
	defer bench.lock.Unlock()
	// A word of more than a gossip period is no reading time but a mistake.
	if _, known := bench.Roster.Get(told.Worker); known && told.Reading > 0 && told.Reading < watch.ToMilliseconds(almanac.GossipPeriod) {
		bench.Gauge.Of(told.Worker).PeerReads(watch.Milliseconds(told.Reading), now)
	}
}
