package workbench

import (
	"sort"

	"lemonarch/internal/almanac"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

// gossipFormat is the version of the gossip packet; later ones may add fields.
const gossipFormat = 2

// spoken is what was last told of a worker.
type spoken struct {
	at   watch.Moment
	seen watch.Moment
}

// gossipState is what the gossip of one node remembers.
type gossipState struct {
	spoken map[string]spoken
	// names leads from short names back to workers; a name that two of them share is
	// nobody's.
	names  map[uint32]string
	asOf   uint64
	count  int
	found  []loadWord
	flows  map[string]*flow
	turned watch.Moment
}

// loadWord is a word that may be told, with how long the last one is old.
type loadWord struct {
	worker string
	word   pattern.LoadWord
	near   bool
	wait   watch.Span
}

// Gossip makes this node's packet. It is bounded whatever the size of the fleet:
// what neighbours were told longest ago goes first, and what failed here before it.
func (bench *Workbench) Gossip(now watch.Moment) *pattern.Gossip {
	bench.lock.Lock()
	defer bench.lock.Unlock()
	packet := &pattern.Gossip{Format: gossipFormat, From: bench.own.Role + "/" + bench.own.Name}
	if bench.config != nil {
		packet.Generation = bench.config.Generation
	}
	bench.turnOthers(now)
	state := &bench.gossip
	if all := bench.Roster.Entries(); state.spoken == nil || len(state.spoken) > 2*len(all) {
		// Workers that were forgotten leave their entries behind.
		state.spoken = make(map[string]spoken, len(all))
	}
	found := state.found[:0]
	for _, worker := range bench.Roster.Entries() {
		vitals := bench.Gauge.Of(worker.ID)
		word, told := vitals.Word(now)
		if !told || worker.Phase == pattern.PhaseGone {
			delete(state.spoken, worker.ID)
			continue
		}
		last, before := state.spoken[worker.ID]
		_, seen := vitals.Observed()
		if before && word.Trust == pattern.TrustNone && seen <= last.seen {
			// They have heard this very observation from us.
			continue
		}
		if word.Trust == pattern.TrustNone && word.AgeMs > almanac.GossipWorth.Milliseconds() {
			continue
		}
		wait := now.Since(last.at)
		if word.Trust == pattern.TrustSuspect {
			// Like one that was never told of.
			wait = now.Since(0)
		}
		found = append(found, loadWord{worker.ID, word, worker.Hall == bench.own.Hall, wait})
	}
	state.found = found
	sort.SliceStable(found, func(left, right int) bool {
		// Neighbours place in their own hall first.
		if found[left].near != found[right].near {
			return found[left].near
		}
		return found[left].wait > found[right].wait
	})
	for _, one := range found[:min(len(found), almanac.GossipLoads)] {
		one.word.Name = pattern.WorkerName(one.worker)
		packet.Loads = pattern.AppendLoad(packet.Loads, one.word)
		_, seen := bench.Gauge.Of(one.worker).Observed()
		state.spoken[one.worker] = spoken{at: now, seen: seen}
	}
	for _, word := range bench.Index.Words(now, almanac.GossipPrefixes, almanac.GossipPrefixLeast) {
		packet.Prefixes = pattern.AppendPrefix(packet.Prefixes, word)
	}
	packet.Pressure = bench.waitingWords()
	return packet
}

// Heard takes a peer's packet.
func (bench *Workbench) Heard(packet *pattern.Gossip, now watch.Moment) {
	bench.lock.Lock()
	defer bench.lock.Unlock()
	for _, word := range pattern.Loads(packet.Loads) {
		if worker := bench.named(word.Name); worker != "" {
			bench.Gauge.Of(worker).Peer(packet.From, word, now)
		}
	}
	bench.Index.Told(pattern.Prefixes(packet.Prefixes, bench.named), now)
	bench.hearPressure(packet.From, packet.Pressure, now)
}

// named gives the worker of a short name. The lock is held.
func (bench *Workbench) named(short uint32) string {
	state := &bench.gossip
	// A change of the table is rare, and a list of other length is another list too.
	all := bench.Roster.Entries()
	if clock := bench.Roster.Clock(); state.names == nil || state.asOf != clock || state.count != len(all) {
		state.names, state.asOf, state.count = make(map[uint32]string, len(all)), clock, len(all)
		for _, worker := range all {
			name := pattern.WorkerName(worker.ID)
			if _, taken := state.names[name]; taken {
				state.names[name] = ""
				continue
			}
			state.names[name] = worker.ID
		}
	}
	return state.names[short]
}

// Alert tells whether more placements are downgraded than the source finds sound.
func (bench *Workbench) Alert() (placements, downgrades int64, alert bool) {
	bench.lock.Lock()
	defer bench.lock.Unlock()
	placements, downgrades = bench.Index.Placements, bench.Index.Downgrades
	const enough = 200
	return placements, downgrades, placements > enough && float64(downgrades) > almanac.DowngradeAlert*float64(placements)
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
