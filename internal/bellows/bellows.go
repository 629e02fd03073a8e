// Package bellows is membership: partial views that are shuffled between
// neighbours, and the foremen's directory of all processes. A step function without
// I/O.
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
	// heard is the last word of any kind, direct the last one to this process itself.
	heard, direct watch.Moment
	change        uint64
	mark          uint32
}

// View is what a process knows of others: a foreman keeps all, the rest a bounded
// part (see trim).
type View struct {
	own     pattern.Entry
	entries map[string]*seen
	marks   map[uint32]string
	// sorted holds the keys in order, nil after one came or went.
	sorted []string
	random *rand.Rand
	// clock counts the changes, sum stands for the entries.
	clock, sum uint64
	// listened is when a foreman was last heard, heads how many processes it told of.
	listened watch.Moment
	trimmed  watch.Moment
	heads    map[string]int
	shunned  map[string]watch.Moment
	// drawn remembers for a while whom each asker should know (foremen only).
	drawn map[string]draw
}

// NewView makes a view that holds its owner alone.
func NewView(own pattern.Entry, seed int64) *View {
	return &View{own: own, entries: map[string]*seen{}, marks: map[uint32]string{}, random: rand.New(rand.NewSource(seed)),
		heads: map[string]int{}, shunned: map[string]watch.Moment{}, drawn: map[string]draw{}}
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
	for place, entry := range entries {
		view.merge(entry, now)
		if place == 0 {
			view.touch(Key(entry), now)
		}
	}
	view.trim(now)
}

func (view *View) merge(entry pattern.Entry, now watch.Moment) {
	key := Key(entry)
	age := watch.Span(entry.AgeMs) * 1_000_000
	if key == Key(view.own) || entry.Address == "" || age > almanac.ForgetAfter {
		return
	}
	heard := now - watch.Moment(age)
	known := view.entries[key]
	switch {
	case known == nil:
		known = &seen{heard: heard}
		view.entries[key], view.sorted = known, nil
		view.put(known, entry)
	case entry.Life > known.entry.Life:
		known.heard, known.direct = heard, 0
		view.put(known, entry)
	case entry.Life == known.entry.Life:
		// A life never stops leaving and never takes back a configuration.
		entry.Leaving = entry.Leaving || known.entry.Leaving
		entry.Generation = max(entry.Generation, known.entry.Generation)
		known.heard = max(known.heard, heard)
		if entry.Leaving != known.entry.Leaving {
			view.put(known, entry)
		} else {
			known.entry = entry
		}
	}
}

// Touched notes direct word from a process.
func (view *View) Touched(key string, now watch.Moment) { view.touch(key, now) }

func (view *View) touch(key string, now watch.Moment) {
	if known := view.entries[key]; known != nil {
		known.heard, known.direct = max(known.heard, now), max(known.direct, now)
		delete(view.shunned, known.entry.Address)
		if known.entry.Role == RoleForeman {
			view.listened = max(view.listened, now)
		}
	}
}

// Failed notes that a process did not answer: others are asked first for a while.
func (view *View) Failed(address string, now watch.Moment) { view.shunned[address] = now }

// Offer gives what a shuffle carries: the owner, then a random part of the view.
func (view *View) Offer(now watch.Moment) []pattern.Entry {
	offer := []pattern.Entry{view.own}
	keys := append([]string(nil), view.keys()...)
	view.random.Shuffle(len(keys), func(left, right int) { keys[left], keys[right] = keys[right], keys[left] })
	for _, key := range keys[:min(len(keys), almanac.ShuffleSize)] {
		offer = append(offer, view.aged(view.entries[key], now))
	}
	return offer
}

func (view *View) aged(known *seen, now watch.Moment) pattern.Entry {
	entry := known.entry
	entry.AgeMs = max(0, now.Since(known.heard).Milliseconds())
	return entry
}

func (view *View) keys() []string {
	if view.sorted == nil {
		view.sorted = make([]string, 0, len(view.entries))
		for key := range view.entries {
			view.sorted = append(view.sorted, key)
		}
		sort.Strings(view.sorted)
	}
	return view.sorted
}

// Partner draws the neighbour of the next shuffle, mostly in the owner's hall since
// bytes between halls are dear; empty when none is known.
func (view *View) Partner(now watch.Moment) string {
	var live, near []string
	for _, entry := range view.Live("", now) {
		live = append(live, entry.Address)
		if entry.Hall == view.own.Hall {
			near = append(near, entry.Address)
		}
	}
	if len(near) > 0 && view.random.Intn(almanac.FarShuffle) > 0 {
		live = near
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

// reference is the moment from which silence counts. Most of what a process hears of
// others comes through foremen; while it hears none, it goes on with what it had.
func (view *View) reference(now watch.Moment) watch.Moment {
	if view.listened > 0 && view.own.Role != RoleForeman && now.Since(view.listened) > almanac.SilentAfter {
		return view.listened
	}
	return now
}

// Live gives the entries that were heard lately.
func (view *View) Live(role string, now watch.Moment) []pattern.Entry {
	var found []pattern.Entry
	reference := view.reference(now)
	for _, key := range view.keys() {
		known := view.entries[key]
		if (role == "" || known.entry.Role == role) && reference.Since(known.heard) < almanac.SilentAfter {
			found = append(found, view.aged(known, now))
		}
	}
	return found
}
