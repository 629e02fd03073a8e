// Package membership is membership: partial views that are shuffled between
// neighbours, and the controllers's directory of all processes. A step function without
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

type seen struct {
	entry messages.NodeInfo
	// heard is the last sign of life of any kind, direct the last one to this process itself.
	heard, direct clock.Instant
	change        uint64
	mark          uint32
}

// View is what a process knows of others: a controller keeps all, the rest a bounded
// part (see trim).
type View struct {
	own     messages.NodeInfo
	entries map[string]*seen
	marks   map[uint32]string
	// sorted holds the keys in order, nil after one came or went.
	sorted []string
	random *rand.Rand
	// clockValue counts the changes, sum stands for the entries.
	clockValue, sum uint64
	// listened is when a controller was last heard, heads how many processes it told of.
	listened clock.Instant
	trimmed  clock.Instant
	counts   map[string]int
	shunned  map[string]clock.Instant
	// drawn remembers for a while whom each asker should know (controllers only).
	drawn map[string]draw
}

// NewView makes a view that holds its owner alone.
func NewView(own messages.NodeInfo, seed int64) *View {
	return &View{own: own, entries: map[string]*seen{}, marks: map[uint32]string{}, random: rand.New(rand.NewSource(seed)),
		counts: map[string]int{}, shunned: map[string]clock.Instant{}, drawn: map[string]draw{}}
}

// Key names a process: a machine runs one of each role at most.
func Key(entry messages.NodeInfo) string { return entry.Role + "/" + entry.Name }

// Own gives the owner's entry.
func (v *View) Own() messages.NodeInfo { return v.own }

// SetLeaving marks the owner as going away.
func (v *View) SetLeaving() { v.own.Draining = true }

// SetGeneration notes which configuration the owner follows.
func (v *View) SetGeneration(generation int64) { v.own.Generation = generation }

// Heard notes entries from a shuffle. The first of them is the sender itself.
func (v *View) Heard(entries []messages.NodeInfo, now clock.Instant) {
	for i, entry := range entries {
		v.merge(entry, now)
		if i == 0 {
			v.touch(Key(entry), now)
		}
	}
	v.trim(now)
}

func (v *View) merge(entry messages.NodeInfo, now clock.Instant) {
	key := Key(entry)
	age := clock.Duration(entry.AgeMs) * 1_000_000
	if key == Key(v.own) || entry.Address == "" || age > constants.ForgetAfter {
		return
	}
	heard := now - clock.Instant(age)
	known := v.entries[key]
	switch {
	case known == nil:
		known = &seen{heard: heard}
		v.entries[key], v.sorted = known, nil
		v.put(known, entry)
	case entry.Incarnation > known.entry.Incarnation:
		known.heard, known.direct = heard, 0
		v.put(known, entry)
	case entry.Incarnation == known.entry.Incarnation:
		// A life never stops leaving and never takes back a configuration.
		entry.Draining = entry.Draining || known.entry.Draining
		entry.Generation = max(entry.Generation, known.entry.Generation)
		known.heard = max(known.heard, heard)
		if entry.Draining != known.entry.Draining {
			v.put(known, entry)
		} else {
			known.entry = entry
		}
	}
}

// Touched notes a direct message from a process.
func (v *View) Touched(key string, now clock.Instant) { v.touch(key, now) }

func (v *View) touch(key string, now clock.Instant) {
	if known := v.entries[key]; known != nil {
		known.heard, known.direct = max(known.heard, now), max(known.direct, now)
		delete(v.shunned, known.entry.Address)
		if known.entry.Role == RoleController {
			v.listened = max(v.listened, now)
		}
	}
}

// Failed notes that a process did not answer: others are asked first for a while.
func (v *View) Failed(address string, now clock.Instant) { v.shunned[address] = now }

// Offer gives what a shuffle carries: the owner, then a random part of the view.
func (v *View) Offer(now clock.Instant) []messages.NodeInfo {
	offer := []messages.NodeInfo{v.own}
	keys := append([]string(nil), v.keys()...)
	v.random.Shuffle(len(keys), func(left, right int) { keys[left], keys[right] = keys[right], keys[left] })
	for _, key := range keys[:min(len(keys), constants.ShuffleSize)] {
		offer = append(offer, v.aged(v.entries[key], now))
	}
	return offer
}

func (v *View) aged(known *seen, now clock.Instant) messages.NodeInfo {
	entry := known.entry
	entry.AgeMs = max(0, now.Sub(known.heard).Milliseconds())
	return entry
}

func (v *View) keys() []string {
	if v.sorted == nil {
		v.sorted = make([]string, 0, len(v.entries))
		for key := range v.entries {
			v.sorted = append(v.sorted, key)
		}
		sort.Strings(v.sorted)
	}
	return v.sorted
}

// Partner draws the neighbour of the next shuffle, mostly in the owner's zone since
// bytes between zones are dear; empty when none is known.
func (v *View) Partner(now clock.Instant) string {
	var live, near []string
	for _, entry := range v.Live("", now) {
		live = append(live, entry.Address)
		if entry.Zone == v.own.Zone {
			near = append(near, entry.Address)
		}
	}
	if len(near) > 0 && v.random.Intn(constants.FarShuffle) > 0 {
		live = near
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
		if known := v.entries[key]; role == "" || known.entry.Role == role {
			found = append(found, v.aged(known, now))
		}
	}
	return found
}

// reference is the moment from which silence counts. Most of what a process hears of
// others comes through controllers; while it hears none, it goes on with what it had.
func (v *View) reference(now clock.Instant) clock.Instant {
	if v.listened > 0 && v.own.Role != RoleController && now.Sub(v.listened) > constants.SuspectAfter {
		return v.listened
	}
	return now
}

// Live gives the entries that were heard lately.
func (v *View) Live(role string, now clock.Instant) []messages.NodeInfo {
	var found []messages.NodeInfo
	reference := v.reference(now)
	for _, key := range v.keys() {
		known := v.entries[key]
		if (role == "" || known.entry.Role == role) && reference.Sub(known.heard) < constants.SuspectAfter {
			found = append(found, v.aged(known, now))
		}
	}
	return found
}
