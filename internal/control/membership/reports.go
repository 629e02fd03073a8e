package membership

import (
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// ageStep is the unit of the ages in an exchange, in ns.
const ageUnit = 10_000_000

// Report is what the owner says in its periodic exchange with a controller: itself, and
// whose ages it wants.
func (v *View) Report() *messages.Shuffle {
	req := &messages.Shuffle{Entries: []messages.NodeInfo{v.self}}
	for _, key := range v.keys() {
		req.KnownHashes = append(req.KnownHashes, v.peers[key].hash)
	}
	return req
}

// BriefReport is the owner's short report to a second controller: a sign of life, and
// a request for what is new.
func (v *View) BriefReport() *messages.Shuffle {
	return &messages.Shuffle{Entries: []messages.NodeInfo{v.self}, Brief: true}
}

// RespondToReport is a controller's: itself, the ages asked for, whom the asker should know and
// does not, and how many there are of each role.
func (v *View) RespondToReport(req *messages.Shuffle, now clock.Instant) *messages.Shuffle {
	resp := &messages.Shuffle{Entries: []messages.NodeInfo{v.self}}
	if req.Brief {
		return resp
	}
	knownHashes := map[uint32]bool{}
	for _, hash := range req.KnownHashes {
		knownHashes[hash] = true
		resp.Ages = append(resp.Ages, v.age(hash, now))
	}
	if len(req.Entries) == 0 {
		return resp
	}
	recommended := v.recommend(req.Entries[0], now)
	resp.Counts = recommended.counts
	for _, key := range recommended.keys {
		known := v.peers[key]
		if known != nil && !knownHashes[known.hash] && len(resp.Entries) <= constants.ShuffleSize && now.Sub(known.lastContact) < constants.SuspectAfter {
			resp.Entries = append(resp.Entries, v.withAge(known, now))
		}
	}
	return resp
}

// recommendation is whom a process should know, and how many there are.
type recommendation struct {
	version    uint64
	computedAt clock.Instant
	keys       []string
	counts     []messages.RoleCount
}

// recommend gives whom an asker should know. Reckoning that goes over the whole directory,
// so it is done anew only after a change or a while.
func (v *View) recommend(reporter messages.NodeInfo, now clock.Instant) recommendation {
	if rec, found := v.recommendations[Key(reporter)]; found && rec.version == v.version && now.Sub(rec.computedAt) < constants.ViewReuseTime {
		return rec
	}
	rec := recommendation{version: v.version, computedAt: now}
	for _, role := range []string{RoleController, RoleStore, RoleGateway} {
		rec.counts = append(rec.counts, messages.RoleCount{Role: role, Count: v.Population(role, now)})
		var others []messages.NodeInfo
		for _, entry := range v.Live(role, now) {
			if Key(entry) != Key(reporter) && (!entry.Draining || role == RoleController) {
				others = append(others, entry)
			}
		}
		if !isCompleteFor(reporter.Role, role) {
			others = selectPeers(reporter, others, ViewSize(v.Population(role, now)))
		}
		for _, entry := range others {
			rec.keys = append(rec.keys, Key(entry))
		}
	}
	v.recommendations[Key(reporter)] = rec
	return rec
}

// age gives what is told of a process: one that is as fresh as reports come is reported as
// in contact just now, so that only silence shows.
func (v *View) age(hash uint32, now clock.Instant) uint16 {
	key, found := v.keyByHash[hash]
	if !found {
		if hash == Hash(v.self) {
			return 0
		}
		return messages.AgeUnknown
	}
	age := now.Sub(v.peers[key].lastContact)
	if age < constants.FreshReportAge {
		return 0
	}
	return uint16(min(int64(age)/ageUnit, messages.AgeUnknown))
}

// HandleReportResponse takes a controller's answer to a request.
func (v *View) HandleReportResponse(req, resp *messages.Shuffle, now clock.Instant) {
	for i, hash := range req.KnownHashes {
		if i >= len(resp.Ages) || resp.Ages[i] == messages.AgeUnknown {
			continue
		}
		if known := v.peers[v.keyByHash[hash]]; known != nil {
			known.lastContact = max(known.lastContact, now-clock.Instant(resp.Ages[i])*ageUnit)
		}
	}
	for _, count := range resp.Counts {
		v.counts[count.Role] = count.Count
	}
	v.Observe(resp.Entries, now)
}

// Controllers gives the controllers in the order in which the owner reports to them: those of
// its zone first, those that have just failed or are silent last.
func (v *View) Controllers(now clock.Instant) []messages.NodeInfo {
	entries := v.All(RoleController, now)
	own := Key(v.self)
	rank := func(entry messages.NodeInfo) int {
		switch {
		case !v.usable(entry, now):
			return 2
		case entry.Zone != v.self.Zone:
			return 1
		}
		return 0
	}
	sort.SliceStable(entries, func(left, right int) bool {
		leftRank, rightRank := rank(entries[left]), rank(entries[right])
		return leftRank < rightRank || (leftRank == rightRank && rendezvousWeight(own, Key(entries[left])) < rendezvousWeight(own, Key(entries[right])))
	})
	return entries
}

// usable tells whether a controller is worth asking: it was in contact lately and did not
// just fail to answer, or answer that it is detached.
func (v *View) usable(entry messages.NodeInfo, now clock.Instant) bool {
	failedAt, hasFailed := v.failedAt[entry.Address]
	if hasFailed && now.Sub(failedAt) < constants.SuspectAfter {
		return false
	}
	return !entry.Draining && entry.AgeMs < constants.SuspectAfter.Milliseconds()
}

// SecondControllers gives the controllers other than the first in the order in which a
// short report tries them: the usable ones of other zones in random order, then the
// usable ones of the owner's zone, then the rest.
func (v *View) SecondControllers(first string, now clock.Instant) []messages.NodeInfo {
	var ranked [3][]messages.NodeInfo
	for _, entry := range v.All(RoleController, now) {
		switch {
		case entry.Address == first:
		case !v.usable(entry, now):
			ranked[2] = append(ranked[2], entry)
		case entry.Zone != v.self.Zone:
			ranked[0] = append(ranked[0], entry)
		default:
			ranked[1] = append(ranked[1], entry)
		}
	}
	var entries []messages.NodeInfo
	for _, group := range ranked {
		v.random.Shuffle(len(group), func(left, right int) { group[left], group[right] = group[right], group[left] })
		entries = append(entries, group...)
	}
	return entries
}
