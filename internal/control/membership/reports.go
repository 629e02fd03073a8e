package membership

import (
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// ageUnit is the unit of the ages in a report response, in nanoseconds.
const ageUnit = 10_000_000

// Report returns the owner's periodic report to a controller: its own entry, and the hashes of the
// peers whose ages it requests.
func (v *View) Report() *messages.Shuffle {
	req := &messages.Shuffle{Entries: []messages.NodeInfo{v.self}}
	for _, key := range v.keys() {
		req.KnownHashes = append(req.KnownHashes, v.peers[key].hash)
	}
	return req
}

// BriefReport returns the owner's short report to a second controller: a sign of life that requests
// neither ages nor peers. The response still lets the owner learn of newer configurations,
// assignments and workers.
func (v *View) BriefReport() *messages.Shuffle {
	return &messages.Shuffle{Entries: []messages.NodeInfo{v.self}, Brief: true}
}

// RespondToReport returns a controller's response to a report: its own entry, the requested ages, the
// peers that the reporter should know but does not, and the number of processes of each role.
// The response to a brief report contains only its own entry.
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

// recommendation lists the peers that a process should know, and the number of processes of each role.
type recommendation struct {
	version    uint64
	computedAt clock.Instant
	keys       []string
	counts     []messages.RoleCount
}

// recommend returns the peers that a reporter should know. The computation iterates over the whole
// directory, so its result is reused until an entry is added or changed or constants.ViewReuseTime
// passes. A removal does not end the reuse, so a returned key may no longer be in the view.
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

// age returns the age to report for a process, in units of ageUnit, or messages.AgeUnknown if the view
// does not contain the process. An age below constants.FreshReportAge, which is normal between
// reports, is reported as 0, so that only silence is visible.
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

// HandleReportResponse merges a controller's response to a report into the view.
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

// Controllers returns the controllers in the order in which the owner reports to them: those of its
// own zone first, those that recently failed, are silent or are draining last.
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

// usable reports whether a controller is a candidate for a report: it is not draining, was in contact
// within constants.SuspectAfter, and within that time neither failed to respond nor responded
// that it is detached.
func (v *View) usable(entry messages.NodeInfo, now clock.Instant) bool {
	failedAt, hasFailed := v.failedAt[entry.Address]
	if hasFailed && now.Sub(failedAt) < constants.SuspectAfter {
		return false
	}
	return !entry.Draining && entry.AgeMs < constants.SuspectAfter.Milliseconds()
}

// SecondControllers returns the controllers other than the first in the order in which a brief report
// tries them: the usable ones of other zones, then the usable ones of the owner's zone, then
// the rest, each group in random order.
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
