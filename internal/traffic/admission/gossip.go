package admission

import (
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// gossipFormat is the version of the gossip packet. Later versions may add fields.
const gossipFormat = 2

// sentSample records when a worker's load was last sent to peers and the time of the observation
// that was sent.
type sentSample struct {
	sentAt     clock.Instant
	observedAt clock.Instant
}

// gossipState is the gossip state of one node.
type gossipState struct {
	sent map[string]sentSample
	// workersByHash maps worker hashes to worker IDs. A hash shared by two workers maps to "".
	workersByHash   map[uint32]string
	registryVersion uint64
	registryCount   int
	candidates      []loadCandidate
	flows           map[string]*flow
	turnoverAt      clock.Instant
}

// loadCandidate is a sample that may be sent, with the time since the worker's last sample was
// sent.
type loadCandidate struct {
	worker   string
	sample   messages.LoadSample
	sameZone bool
	wait     clock.Duration
}

// MakeGossip builds this node's gossip packet. Its size is bounded regardless of the size of the
// fleet: workers of the node's own zone go first. Within this zone, and among the workers of all other
// zones, those that are ejected here or were never sent go first, then those whose last sample was
// sent longest ago. Unless the worker is ejected here, an observation is left out if this node has
// already sent it or if it would expire before it is used (constants.GossipAgeMax).
func (s *Scheduler) MakeGossip(now clock.Instant) *messages.Gossip {
	s.lock.Lock()
	defer s.lock.Unlock()
	packet := &messages.Gossip{Format: gossipFormat, From: s.self.Role + "/" + s.self.Name}
	if s.config != nil {
		packet.Generation = s.config.Generation
	}
	s.addOthersTurnover(now)
	state := &s.gossip
	if sorted := s.Registry.Sorted(); state.sent == nil || len(state.sent) > 2*len(sorted) {
		// Forgotten workers leave stale entries, so the map is discarded once it has more than twice
		// as many entries as there are workers. All workers then count as never sent.
		state.sent = make(map[string]sentSample, len(sorted))
	}
	candidates := state.candidates[:0]
	for _, worker := range s.Registry.Sorted() {
		health := s.Tracker.HealthOf(worker.ID)
		sample, known := health.Sample(now)
		if !known || worker.Phase == messages.PhaseDeparted {
			delete(state.sent, worker.ID)
			continue
		}
		last, wasSent := state.sent[worker.ID]
		_, observedAt := health.Observed()
		if wasSent && sample.Health == messages.HealthUnknown && observedAt <= last.observedAt {
			// This node has already sent this observation.
			continue
		}
		if sample.Health == messages.HealthUnknown && sample.AgeMs > constants.GossipAgeMax.Milliseconds() {
			continue
		}
		wait := now.Sub(last.sentAt)
		if sample.Health == messages.HealthSuspect {
			// An ejected worker is treated like one whose load was never sent.
			wait = now.Sub(0)
		}
		candidates = append(candidates, loadCandidate{worker.ID, sample, worker.Zone == s.self.Zone, wait})
	}
	state.candidates = candidates
	sort.SliceStable(candidates, func(left, right int) bool {
		// Peers place in their own zone first.
		if candidates[left].sameZone != candidates[right].sameZone {
			return candidates[left].sameZone
		}
		return candidates[left].wait > candidates[right].wait
	})
	for _, candidate := range candidates[:min(len(candidates), constants.GossipLoads)] {
		candidate.sample.WorkerHash = messages.WorkerHash(candidate.worker)
		packet.Loads = messages.AppendLoad(packet.Loads, candidate.sample)
		_, observedAt := s.Tracker.HealthOf(candidate.worker).Observed()
		state.sent[candidate.worker] = sentSample{sentAt: now, observedAt: observedAt}
	}
	for _, sample := range s.Index.Advertisements(now, constants.GossipPrefixes, constants.GossipPrefixTokensMin) {
		packet.Prefixes = messages.AppendPrefix(packet.Prefixes, sample)
	}
	packet.Pressure = s.pressureEntries()
	return packet
}

// HandleGossip applies a peer's gossip packet.
func (s *Scheduler) HandleGossip(packet *messages.Gossip, now clock.Instant) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, sample := range messages.ParseLoads(packet.Loads) {
		if worker := s.workerByHash(sample.WorkerHash); worker != "" {
			s.Tracker.HealthOf(worker).ObservePeer(packet.From, sample, now)
		}
	}
	s.Index.MergeAdvertisements(messages.ParsePrefixes(packet.Prefixes, s.workerByHash), now)
	s.storePressure(packet.From, packet.Pressure, now)
}

// workerByHash returns the ID of the worker with the given hash, or "" if the hash is unknown or
// ambiguous. The caller must hold the lock.
func (s *Scheduler) workerByHash(hash uint32) string {
	state := &s.gossip
	// Changes of the registry are rare, so the map is cached until the registry's version or its
	// number of workers changes.
	all := s.Registry.Sorted()
	if version := s.Registry.Version(); state.workersByHash == nil || state.registryVersion != version || state.registryCount != len(all) {
		state.workersByHash, state.registryVersion, state.registryCount = make(map[uint32]string, len(all)), version, len(all)
		for _, worker := range all {
			workerHash := messages.WorkerHash(worker.ID)
			if _, taken := state.workersByHash[workerHash]; taken {
				state.workersByHash[workerHash] = ""
				continue
			}
			state.workersByHash[workerHash] = worker.ID
		}
	}
	return state.workersByHash[hash]
}

// DowngradeAlert returns the numbers of placements and downgrades, and reports whether the share of
// downgrades exceeds constants.DowngradeAlert. It needs more than 200 placements to do so.
func (s *Scheduler) DowngradeAlert() (placements, downgrades int64, alert bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	placements, downgrades = s.Index.Placements, s.Index.Downgrades
	const minPlacements = 200
	return placements, downgrades, placements > minPlacements && float64(downgrades) > constants.DowngradeAlert*float64(placements)
}

// OnPrefill registers the function that is called when a long prompt is placed. The function must
// not block.
func (s *Scheduler) OnPrefill(notify func(worker string, milliseconds float64)) {
	s.onPrefill = notify
}

// HandlePrefill applies a peer's notice that it placed a long prompt on a worker.
func (s *Scheduler) HandlePrefill(notice *messages.PrefillNotice, now clock.Instant) {
	s.lock.Lock()
	defer s.lock.Unlock()
	// A prefill time of a gossip period or more cannot be genuine and is ignored.
	if _, known := s.Registry.Get(notice.Worker); known && notice.Prefill > 0 && notice.Prefill < clock.ToMilliseconds(constants.GossipPeriod) {
		s.Tracker.HealthOf(notice.Worker).AddPeerPrefill(clock.Milliseconds(notice.Prefill), now)
	}
}
