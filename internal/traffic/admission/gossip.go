package admission

import (
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// gossipFormat is the version of the gossip packet; later ones may add fields.
const gossipFormat = 2

// spoken is what was last told of a worker.
type spoken struct {
	at   clock.Instant
	seen clock.Instant
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
	turned clock.Instant
}

// loadWord is a word that may be told, with how long the last one is old.
type loadWord struct {
	worker string
	word   messages.LoadSample
	near   bool
	wait   clock.Duration
}

// Gossip makes this node's packet. It is bounded whatever the size of the fleet:
// what neighbours were told longest ago goes first, and what failed here before it.
func (s *Scheduler) Gossip(now clock.Instant) *messages.Gossip {
	s.lock.Lock()
	defer s.lock.Unlock()
	packet := &messages.Gossip{Format: gossipFormat, From: s.own.Role + "/" + s.own.Name}
	if s.config != nil {
		packet.Generation = s.config.Generation
	}
	s.turnOthers(now)
	state := &s.gossip
	if all := s.Registry.Sorted(); state.spoken == nil || len(state.spoken) > 2*len(all) {
		// Workers that were forgotten leave their entries behind.
		state.spoken = make(map[string]spoken, len(all))
	}
	found := state.found[:0]
	for _, worker := range s.Registry.Sorted() {
		health := s.Tracker.Of(worker.ID)
		word, told := health.Sample(now)
		if !told || worker.Phase == messages.PhaseDeparted {
			delete(state.spoken, worker.ID)
			continue
		}
		last, before := state.spoken[worker.ID]
		_, seen := health.Observed()
		if before && word.Health == messages.HealthUnknown && seen <= last.seen {
			// They have heard this very observation from us.
			continue
		}
		if word.Health == messages.HealthUnknown && word.AgeMs > constants.GossipMinChange.Milliseconds() {
			continue
		}
		wait := now.Sub(last.at)
		if word.Health == messages.HealthSuspect {
			// Like one that was never told of.
			wait = now.Sub(0)
		}
		found = append(found, loadWord{worker.ID, word, worker.Zone == s.own.Zone, wait})
	}
	state.found = found
	sort.SliceStable(found, func(left, right int) bool {
		// Neighbours place in their own zone first.
		if found[left].near != found[right].near {
			return found[left].near
		}
		return found[left].wait > found[right].wait
	})
	for _, one := range found[:min(len(found), constants.GossipLoads)] {
		one.word.WorkerHash = messages.WorkerHash(one.worker)
		packet.Loads = messages.AppendLoad(packet.Loads, one.word)
		_, seen := s.Tracker.Of(one.worker).Observed()
		state.spoken[one.worker] = spoken{at: now, seen: seen}
	}
	for _, word := range s.Index.Advertisements(now, constants.GossipPrefixes, constants.GossipPrefixLeast) {
		packet.Prefixes = messages.AppendPrefix(packet.Prefixes, word)
	}
	packet.Pressure = s.waitingWords()
	return packet
}

// Heard takes a peer's packet.
func (s *Scheduler) Heard(packet *messages.Gossip, now clock.Instant) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, word := range messages.ParseLoads(packet.Loads) {
		if worker := s.named(word.WorkerHash); worker != "" {
			s.Tracker.Of(worker).ObservePeer(packet.From, word, now)
		}
	}
	s.Index.MergeAdvertisements(messages.ParsePrefixes(packet.Prefixes, s.named), now)
	s.hearPressure(packet.From, packet.Pressure, now)
}

// named gives the worker of a short name. The lock is held.
func (s *Scheduler) named(short uint32) string {
	state := &s.gossip
	// A change of the table is rare, and a list of other length is another list too.
	all := s.Registry.Sorted()
	if clockValue := s.Registry.Version(); state.names == nil || state.asOf != clockValue || state.count != len(all) {
		state.names, state.asOf, state.count = make(map[uint32]string, len(all)), clockValue, len(all)
		for _, worker := range all {
			name := messages.WorkerHash(worker.ID)
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
func (s *Scheduler) Alert() (placements, downgrades int64, alert bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	placements, downgrades = s.Index.Placements, s.Index.Downgrades
	const enough = 200
	return placements, downgrades, placements > enough && float64(downgrades) > constants.DowngradeAlert*float64(placements)
}

// OnReading names who is told of long prompts; it must not block.
func (s *Scheduler) OnReading(tell func(worker string, milliseconds float64)) {
	s.tellReading = tell
}

// AddPeerPrefill takes a peer's word of a long prompt.
func (s *Scheduler) PeerReads(told *messages.PrefillNotice, now clock.Instant) {
	s.lock.Lock()
	defer s.lock.Unlock()
	// A word of more than a gossip period is no reading time but a mistake.
	if _, known := s.Registry.Get(told.Worker); known && told.Prefill > 0 && told.Prefill < clock.ToMilliseconds(constants.GossipPeriod) {
		s.Tracker.Of(told.Worker).AddPeerPrefill(clock.Milliseconds(told.Prefill), now)
	}
}
