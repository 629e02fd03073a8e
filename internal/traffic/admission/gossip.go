package admission

import (
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// gossipFormat is the version of the gossip packet; later ones may add fields.
const gossipFormat = 2

// sentSample says when a worker's load was last sent to peers, and of which observation.
type sentSample struct {
	sentAt     clock.Instant
	observedAt clock.Instant
}

// gossipState is what the gossip of one node remembers.
type gossipState struct {
	sent map[string]sentSample
	// byHash leads from hashes back to workers; a hash that two of them share is
	// nobody's.
	byHash     map[uint32]string
	asOf       uint64
	count      int
	found      []loadCandidate
	flows      map[string]*flow
	turnoverAt clock.Instant
}

// loadCandidate is a sample that may be sent, with the time since the last one was.
type loadCandidate struct {
	worker   string
	sample   messages.LoadSample
	sameZone bool
	wait     clock.Duration
}

// MakeGossip makes this node's packet. It is bounded whatever the size of the fleet:
// what was sent longest ago goes first, and what failed here before it.
func (s *Scheduler) MakeGossip(now clock.Instant) *messages.Gossip {
	s.lock.Lock()
	defer s.lock.Unlock()
	packet := &messages.Gossip{Format: gossipFormat, From: s.own.Role + "/" + s.own.Name}
	if s.config != nil {
		packet.Generation = s.config.Generation
	}
	s.addOthersTurnover(now)
	state := &s.gossip
	if all := s.Registry.Sorted(); state.sent == nil || len(state.sent) > 2*len(all) {
		// Workers that were forgotten leave their entries behind.
		state.sent = make(map[string]sentSample, len(all))
	}
	found := state.found[:0]
	for _, worker := range s.Registry.Sorted() {
		health := s.Tracker.Of(worker.ID)
		sample, known := health.Sample(now)
		if !known || worker.Phase == messages.PhaseDeparted {
			delete(state.sent, worker.ID)
			continue
		}
		last, before := state.sent[worker.ID]
		_, observedAt := health.Observed()
		if before && sample.Health == messages.HealthUnknown && observedAt <= last.observedAt {
			// They have got this very observation from here.
			continue
		}
		if sample.Health == messages.HealthUnknown && sample.AgeMs > constants.GossipMinChange.Milliseconds() {
			continue
		}
		wait := now.Sub(last.sentAt)
		if sample.Health == messages.HealthSuspect {
			// Like one that was never sent.
			wait = now.Sub(0)
		}
		found = append(found, loadCandidate{worker.ID, sample, worker.Zone == s.own.Zone, wait})
	}
	state.found = found
	sort.SliceStable(found, func(left, right int) bool {
		// Neighbours place in their own zone first.
		if found[left].sameZone != found[right].sameZone {
			return found[left].sameZone
		}
		return found[left].wait > found[right].wait
	})
	for _, entry := range found[:min(len(found), constants.GossipLoads)] {
		entry.sample.WorkerHash = messages.WorkerHash(entry.worker)
		packet.Loads = messages.AppendLoad(packet.Loads, entry.sample)
		_, observedAt := s.Tracker.Of(entry.worker).Observed()
		state.sent[entry.worker] = sentSample{sentAt: now, observedAt: observedAt}
	}
	for _, sample := range s.Index.Advertisements(now, constants.GossipPrefixes, constants.GossipPrefixLeast) {
		packet.Prefixes = messages.AppendPrefix(packet.Prefixes, sample)
	}
	packet.Pressure = s.pressureEntries()
	return packet
}

// HandleGossip takes a peer's packet.
func (s *Scheduler) HandleGossip(packet *messages.Gossip, now clock.Instant) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, sample := range messages.ParseLoads(packet.Loads) {
		if worker := s.workerByHash(sample.WorkerHash); worker != "" {
			s.Tracker.Of(worker).ObservePeer(packet.From, sample, now)
		}
	}
	s.Index.MergeAdvertisements(messages.ParsePrefixes(packet.Prefixes, s.workerByHash), now)
	s.storePressure(packet.From, packet.Pressure, now)
}

// workerByHash gives the worker of a hash. The lock is held.
func (s *Scheduler) workerByHash(short uint32) string {
	state := &s.gossip
	// A change of the table is rare, and a list of other length is another list too.
	all := s.Registry.Sorted()
	if clockValue := s.Registry.Version(); state.byHash == nil || state.asOf != clockValue || state.count != len(all) {
		state.byHash, state.asOf, state.count = make(map[uint32]string, len(all)), clockValue, len(all)
		for _, worker := range all {
			name := messages.WorkerHash(worker.ID)
			if _, taken := state.byHash[name]; taken {
				state.byHash[name] = ""
				continue
			}
			state.byHash[name] = worker.ID
		}
	}
	return state.byHash[short]
}

// Alert tells whether more placements are downgraded than the source finds sound.
func (s *Scheduler) Alert() (placements, downgrades int64, alert bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	placements, downgrades = s.Index.Placements, s.Index.Downgrades
	const enough = 200
	return placements, downgrades, placements > enough && float64(downgrades) > constants.DowngradeAlert*float64(placements)
}

// OnPrefill registers who is notified of long prompts; it must not block.
func (s *Scheduler) OnPrefill(notify func(worker string, milliseconds float64)) {
	s.onPrefill = notify
}

// HandlePrefill takes a peer's notice of a long prompt.
func (s *Scheduler) HandlePrefill(notice *messages.PrefillNotice, now clock.Instant) {
	s.lock.Lock()
	defer s.lock.Unlock()
	// A notice of more than a gossip period is no prefill time but a mistake.
	if _, known := s.Registry.Get(notice.Worker); known && notice.Prefill > 0 && notice.Prefill < clock.ToMilliseconds(constants.GossipPeriod) {
		s.Tracker.Of(notice.Worker).AddPeerPrefill(clock.Milliseconds(notice.Prefill), now)
	}
}
