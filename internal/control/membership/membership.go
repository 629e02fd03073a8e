// Package membership keeps a process's view of the fleet: partial views that are shuffled between
// neighbours, and the controllers' directory of all processes. A step function without
// I/O.
package membership

import (
	"math/rand"
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// The roles of processes. The values are what travels between processes, and what
// earlier versions write: they stay as they were first chosen.
const (
	RoleGateway    = "forge"
	RoleController = "foreman"
	RoleStore      = "locker"
)

type peer struct {
	info messages.NodeInfo
	// lastContact is the last sign of life of any kind, lastDirect the last one to this process itself.
	lastContact, lastDirect clock.Instant
	changeVersion           uint64
	hash                    uint32
}

// View is what a process knows of others: a controller keeps all, the rest a bounded
// part (see trim).
type View struct {
	self      messages.NodeInfo
	peers     map[string]*peer
	keyByHash map[uint32]string
	// sorted holds the keys in order, nil after one came or went.
	sortedKeys []string
	random     *rand.Rand
	// version counts the changes, sum stands for the entries.
	version, sum uint64
	// lastController is when a controller was last in contact, counts how many processes of each
	// role it reported.
	lastController clock.Instant
	trimmedAt      clock.Instant
	counts         map[string]int
	failedAt       map[string]clock.Instant
	// recommended remembers for a while whom each asker should know (controllers only).
	recommendations map[string]recommendation
}

// NewView makes a view that holds its owner alone.
func NewView(self messages.NodeInfo, seed int64) *View {
	return &View{self: self, peers: map[string]*peer{}, keyByHash: map[uint32]string{}, random: rand.New(rand.NewSource(seed)),
		counts: map[string]int{}, failedAt: map[string]clock.Instant{}, recommendations: map[string]recommendation{}}
}

// Key names a process: a machine runs one of each role at most.
func Key(entry messages.NodeInfo) string { return entry.Role + "/" + entry.Name }

// Self gives the owner's entry.
func (v *View) Self() messages.NodeInfo { return v.self }

// SetDraining marks the owner as going away.
func (v *View) SetDraining() { v.self.Draining = true }

// SetGeneration notes which configuration the owner follows.
func (v *View) SetGeneration(generation int64) { v.self.Generation = generation }

// Observe notes entries from a shuffle. The first of them is the sender itself.
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
		// An incarnation never stops leaving and never takes back a configuration.
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

// NoteContact notes a direct message from a process.
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

// Failed notes that a process did not answer: others are asked first for a while.
func (v *View) Failed(address string, now clock.Instant) { v.failedAt[address] = now }

// Offer gives what a shuffle carries: the owner, then a random part of the view.
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

// Partner draws the neighbour of the next shuffle, mostly in the owner's zone since
// bytes between zones are dear; empty when none is known.
func (v *View) Partner(now clock.Instant) string {
	var live, sameZone []string
	for _, entry := range v.Live("", now) {
		live = append(live, entry.Address)
		if entry.Zone == v.self.Zone {
			sameZone = append(sameZone, entry.Address)
		}
	}
	if len(sameZone) > 0 && v.random.Intn(constants.FarShuffle) > 0 {
		live = sameZone
	}
	if len(live) == 0 {
		return ""
	}
	return live[v.random.Intn(len(live))]
}

// All gives every entry of a role (or of all), the silent ones included, with
// their ages.
func (v *View) All(role string, now clock.Instant) []messages.NodeInfo {
	var found []messages.NodeInfo
	for _, key := range v.keys() {
		if known := v.peers[key]; role == "" || known.info.Role == role {
			found = append(found, v.withAge(known, now))
		}
	}
	return found
}

// reference is the instant from which silence counts. Most of what a process learns of
// others comes through controllers; while none is in contact, it goes on with what it had.
func (v *View) reference(now clock.Instant) clock.Instant {
	if v.lastController > 0 && v.self.Role != RoleController && now.Sub(v.lastController) > constants.SuspectAfter {
		return v.lastController
	}
	return now
}

// Live gives the entries that were in contact lately.
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
