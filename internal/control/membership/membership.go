// Package membership maintains a process's view of the fleet: a partial view, kept current by
// reports to controllers and by shuffles with random processes, or on a controller the directory of
// all processes. The package does no I/O: time and messages are passed in as arguments. A View is not
// safe for concurrent use.
package membership

import (
	"math/rand"
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// The roles of processes. The values are sent between processes and written by earlier versions, so
// they must not change.
const (
	RoleGateway    = "forge"
	RoleController = "foreman"
	RoleStore      = "locker"
)

// peer is the state that a view stores for one other process.
type peer struct {
	info messages.NodeInfo
	// lastContact is the time of the last sign of life, direct or reported by others; lastDirect is
	// the time of the last message from the peer to this process.
	lastContact, lastDirect clock.Instant
	// changeVersion is the view's version at the last change of the entry, 0 if it was never set.
	changeVersion uint64
	hash          uint32
}

// View is the set of processes that a process knows. A controller stores all processes; other
// roles store a bounded subset (see trim).
type View struct {
	self      messages.NodeInfo
	peers     map[string]*peer
	keyByHash map[uint32]string
	// sortedKeys caches the sorted keys of peers; nil after a peer was added or removed.
	sortedKeys []string
	random     *rand.Rand
	// version counts the entries that were added or changed, but not the removals; sum is a checksum
	// of the entries.
	version, sum uint64
	// lastController is the time of the last contact with any controller; counts is the number of
	// processes of each role as a controller last reported it; trimmedAt is the time at which trim
	// last removed silent peers.
	lastController clock.Instant
	trimmedAt      clock.Instant
	counts         map[string]int
	// failedAt is the time of the last failed call, by address.
	failedAt map[string]clock.Instant
	// recommendations caches, by the key of the reporting process, the peers that it should know
	// (controllers only).
	recommendations map[string]recommendation
}

// NewView creates a view without peers for the process self.
func NewView(self messages.NodeInfo, seed int64) *View {
	return &View{self: self, peers: map[string]*peer{}, keyByHash: map[uint32]string{}, random: rand.New(rand.NewSource(seed)),
		counts: map[string]int{}, failedAt: map[string]clock.Instant{}, recommendations: map[string]recommendation{}}
}

// Key returns the identifier of a process. Role and name are sufficient, because a machine runs at
// most one process of each role.
func Key(entry messages.NodeInfo) string { return entry.Role + "/" + entry.Name }

// Self returns the entry of the process that owns the view.
func (v *View) Self() messages.NodeInfo { return v.self }

// SetDraining marks the owner as draining.
func (v *View) SetDraining() { v.self.Draining = true }

// SetGeneration sets the generation of the configuration that the owner follows.
func (v *View) SetGeneration(generation int64) { v.self.Generation = generation }

// Observe merges entries from a shuffle. The first entry is that of the sender, which counts as in
// direct contact now.
func (v *View) Observe(entries []messages.NodeInfo, now clock.Instant) {
	for i, entry := range entries {
		v.merge(entry, now)
		if i == 0 {
			v.noteContact(Key(entry), now)
		}
	}
	v.trim(now)
}

func (v *View) merge(entry messages.NodeInfo, now clock.Instant) {
	key := Key(entry)
	age := clock.Duration(entry.AgeMs) * 1_000_000
	if key == Key(v.self) || entry.Address == "" || age > constants.ForgetAfter {
		return
	}
	lastContact := now - clock.Instant(age)
	known := v.peers[key]
	switch {
	case known == nil:
		known = &peer{lastContact: lastContact}
		v.peers[key], v.sortedKeys = known, nil
		v.setEntry(known, entry)
	case entry.Incarnation > known.info.Incarnation:
		known.lastContact, known.lastDirect = lastContact, 0
		v.setEntry(known, entry)
	case entry.Incarnation == known.info.Incarnation:
		// Within one incarnation, draining is never undone and the generation never decreases.
		entry.Draining = entry.Draining || known.info.Draining
		entry.Generation = max(entry.Generation, known.info.Generation)
		known.lastContact = max(known.lastContact, lastContact)
		if entry.Draining != known.info.Draining {
			v.setEntry(known, entry)
		} else {
			known.info = entry
		}
	}
}

// NoteContact records a direct message from a process.
func (v *View) NoteContact(key string, now clock.Instant) { v.noteContact(key, now) }

func (v *View) noteContact(key string, now clock.Instant) {
	if known := v.peers[key]; known != nil {
		known.lastContact, known.lastDirect = max(known.lastContact, now), max(known.lastDirect, now)
		delete(v.failedAt, known.info.Address)
		if known.info.Role == RoleController {
			v.lastController = max(v.lastController, now)
		}
	}
}

// Failed records that a process did not respond or is detached. For constants.SuspectAfter, or until
// its next message, other controllers are tried before it.
func (v *View) Failed(address string, now clock.Instant) { v.failedAt[address] = now }

// Offer returns the entries to send in a shuffle: the owner, then a random sample of the view.
func (v *View) Offer(now clock.Instant) []messages.NodeInfo {
	offer := []messages.NodeInfo{v.self}
	keys := append([]string(nil), v.keys()...)
	v.random.Shuffle(len(keys), func(left, right int) { keys[left], keys[right] = keys[right], keys[left] })
	for _, key := range keys[:min(len(keys), constants.ShuffleSize)] {
		offer = append(offer, v.withAge(v.peers[key], now))
	}
	return offer
}

func (v *View) withAge(known *peer, now clock.Instant) messages.NodeInfo {
	entry := known.info
	entry.AgeMs = max(0, now.Sub(known.lastContact).Milliseconds())
	return entry
}

func (v *View) keys() []string {
	if v.sortedKeys == nil {
		v.sortedKeys = make([]string, 0, len(v.peers))
		for key := range v.peers {
			v.sortedKeys = append(v.sortedKeys, key)
		}
		sort.Strings(v.sortedKeys)
	}
	return v.sortedKeys
}

// Partner returns the address of a random live process for the next shuffle, or the empty string if
// none is known. It mostly picks one in the owner's zone, because traffic between zones is expensive.
func (v *View) Partner(now clock.Instant) string {
	var live, sameZone []string
	for _, entry := range v.Live("", now) {
		live = append(live, entry.Address)
		if entry.Zone == v.self.Zone {
			sameZone = append(sameZone, entry.Address)
		}
	}
	if len(sameZone) > 0 && v.random.Intn(constants.OtherZoneShuffleRounds) > 0 {
		live = sameZone
	}
	if len(live) == 0 {
		return ""
	}
	return live[v.random.Intn(len(live))]
}

// All returns every entry of a role, or of all roles if it is empty, with their ages. Silent
// processes are included.
func (v *View) All(role string, now clock.Instant) []messages.NodeInfo {
	var found []messages.NodeInfo
	for _, key := range v.keys() {
		if known := v.peers[key]; role == "" || known.info.Role == role {
			found = append(found, v.withAge(known, now))
		}
	}
	return found
}

// reference returns the time against which the silence of peers is measured. A process learns most
// contact times from controllers, so while no controller is in contact the time of the last
// contact with one is used, and peers that were live then stay live.
func (v *View) reference(now clock.Instant) clock.Instant {
	if v.lastController > 0 && v.self.Role != RoleController && now.Sub(v.lastController) > constants.SuspectAfter {
		return v.lastController
	}
	return now
}

// Live returns the entries of a role, or of all roles if it is empty, that were in contact within
// constants.SuspectAfter before the reference time (see reference).
func (v *View) Live(role string, now clock.Instant) []messages.NodeInfo {
	var found []messages.NodeInfo
	reference := v.reference(now)
	for _, key := range v.keys() {
		known := v.peers[key]
		if (role == "" || known.info.Role == role) && reference.Sub(known.lastContact) < constants.SuspectAfter {
			found = append(found, v.withAge(known, now))
		}
	}
	return found
}
