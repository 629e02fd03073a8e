// Package bellows is membership: partial views that are shuffled between
// neighbours. A step function without I/O.
package bellows

import (
	"math/rand"
	"sort"

	"lemonarch/internal/almanac"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

// The roles of processes.
const (
	RoleForge   = "forge"
	RoleForeman = "foreman"
	RoleLocker  = "locker"
)

type seen struct {
	entry pattern.Entry
	heard watch.Moment
}

// View is what a process knows of others.
type View struct {
	own     pattern.Entry
	entries map[string]*seen
	random  *rand.Rand
}

// NewView makes a view that holds its owner alone.
func NewView(own pattern.Entry, seed int64) *View {
	return &View{own: own, entries: map[string]*seen{}, random: rand.New(rand.NewSource(seed))}
}

// Key names a process: a machine runs one of each role at most.
func Key(entry pattern.Entry) string { return entry.Role + "/" + entry.Name }

// Own gives the owner's entry.
func (view *View) Own() pattern.Entry { return view.own }

// SetLeaving marks the owner as going away.
func (view *View) SetLeaving() { view.own.Leaving = true }

// SetGeneration notes which configuration the owner follows.
func (view *View) SetGeneration(generation int64) { view.own.Generation = generation }

// Heard notes entries from a shuffle. The first of them is the sender itself.
func (view *View) Heard(entries []pattern.Entry, now watch.Moment) {
	for _, entry := range entries {
		view.merge(entry, now)
	}
	view.trim(now)
}

func (view *View) merge(entry pattern.Entry, now watch.Moment) {
	key := Key(entry)
	if key == Key(view.own) || entry.Address == "" {
		return
	}
	heard := now - watch.Moment(entry.AgeMs)*1_000_000
	known := view.entries[key]
	switch {
	case known == nil || entry.Life > known.entry.Life:
		view.entries[key] = &seen{entry: entry, heard: heard}
	case entry.Life == known.entry.Life:
		// A life never stops leaving and never takes back a configuration.
		entry.Leaving = entry.Leaving || known.entry.Leaving
		entry.Generation = max(entry.Generation, known.entry.Generation)
		known.entry = entry
		known.heard = max(known.heard, heard)
	}
}

// Touched notes direct word from a process.
func (view *View) Touched(key string, now watch.Moment) {
	if known := view.entries[key]; known != nil {
		known.heard = max(known.heard, now)
	}
}

func (view *View) trim(now watch.Moment) {
	for key, known := range view.entries {
		if now.Since(known.heard) > almanac.ForgetAfter {
			delete(view.entries, key)
		}
	}
	for len(view.entries) > almanac.ViewLimit {
		// The one unheard for longest goes first.
		oldest := ""
		for key, known := range view.entries {
			if oldest == "" || known.heard < view.entries[oldest].heard || (known.heard == view.entries[oldest].heard && key < oldest) {
				oldest = key
			}
		}
		delete(view.entries, oldest)
	}
}

// Offer gives what a shuffle carries: the owner, then a random part of the view.
func (view *View) Offer(now watch.Moment) []pattern.Entry {
	offer := []pattern.Entry{view.own}
	keys := view.keys()
	view.random.Shuffle(len(keys), func(left, right int) { keys[left], keys[right] = keys[right], keys[left] })
	for _, key := range keys[:min(len(keys), almanac.ShuffleSize)] {
		offer = append(offer, view.aged(view.entries[key], now))
	}
	return offer
}

func (view *View) aged(known *seen, now watch.Moment) pattern.Entry {
	entry := known.entry
	entry.AgeMs = now.Since(known.heard).Milliseconds()
	return entry
}

func (view *View) keys() []string {
	keys := make([]string, 0, len(view.entries))
	for key := range view.entries {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// Partner draws the neighbour of the next shuffle; empty when none is known.
func (view *View) Partner(now watch.Moment) string {
	var live []string
	for _, key := range view.keys() {
		if now.Since(view.entries[key].heard) < almanac.SilentAfter {
			live = append(live, view.entries[key].entry.Address)
		}
	}
	if len(live) == 0 {
		return ""
	}
	return live[view.random.Intn(len(live))]
}

// All gives every entry of a role (or of all), the silent ones included, with
// their ages.
func (view *View) All(role string, now watch.Moment) []pattern.Entry {
	var found []pattern.Entry
	for _, key := range view.keys() {
		if known := view.entries[key]; role == "" || known.entry.Role == role {
			found = append(found, view.aged(known, now))
		}
	}
	return found
}

// Live gives the entries that were heard lately.
func (view *View) Live(role string, now watch.Moment) []pattern.Entry {
	var found []pattern.Entry
	for _, entry := range view.All(role, now) {
		if entry.AgeMs < almanac.SilentAfter.Milliseconds() {
			found = append(found, entry)
		}
	}
	return found
}
