package locker

import (
	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/vise"
	"lemonarch/internal/watch"
)

// tendSet keeps the store set whole: a member that is to be emptied, that came
// back with an empty disk, or that stays silent is replaced by one that first gets
// a copy of everything.
func (reign *reign) tendSet() {
	locker := reign.locker
	if !locker.holds() {
		return
	}
	reign.lock.Lock()
	members, busy := reign.press.Members, reign.press.Next != nil
	reign.lock.Unlock()
	if reign.tooSlow(watch.Now()) {
		reign.end("this machine or its disk is slow")
		reign.giveUp()
		return
	}
	if busy {
		return
	}
	if watch.Now().Since(locker.readAt()) > almanac.GossipPeriod && !locker.readRegister() {
		return
	}
	retired := map[string]bool{}
	locker.lock.Lock()
	for _, name := range locker.value.Retired {
		retired[name] = true
	}
	locker.lock.Unlock()
	if retired[locker.Stand.Own.Name] {
		// Another has to lead the way out: this machine's copies go elsewhere.
		reign.end("this machine is to be emptied")
		reign.giveUp()
		return
	}
	entries := map[string]pattern.Entry{}
	for _, entry := range locker.Stand.All(bellows.RoleLocker) {
		entries[entry.Name] = entry
	}
	out, newcomer := locker.quickChange(members, entries, retired)
	if newcomer == nil {
		return
	}
	swaps := []swap{{out, *newcomer}}
	if out != nil && out.Name == newcomer.Name {
		// All that came back empty take their places in one change: each second in
		// which one of them is not whole counts against the fault budget.
		swaps = swaps[:0]
		for place := range members {
			if back := wiped(members[place], entries, retired); back != nil && members[place].Name != locker.Stand.Own.Name {
				swaps = append(swaps, swap{&members[place], *back})
			}
		}
	}
	reign.changeSet(members, swaps)
}

// swap puts a newcomer into a member's place, or adds it where out is nil.
type swap struct {
	out *pattern.Member
	in  pattern.Member
}

// swapped gives the set after the swaps.
func swapped(members []pattern.Member, swaps []swap) []pattern.Member {
	next := make([]pattern.Member, 0, len(members)+1)
	for _, member := range members {
		stays := true
		for _, one := range swaps {
			stays = stays && (one.out == nil || vise.Identity(member) != vise.Identity(*one.out))
		}
		if stays {
			next = append(next, member)
		}
	}
	for _, one := range swaps {
		next = append(next, one.in)
	}
	return next
}

func (locker *Locker) readAt() watch.Moment {
	locker.lock.Lock()
	defer locker.lock.Unlock()
	return locker.read
}

// quickChange names the next change whose newcomer is not slow, and asks a member
// that seems silent for a last word.
func (locker *Locker) quickChange(members []pattern.Member, entries map[string]pattern.Entry, retired map[string]bool) (out, newcomer *pattern.Member) {
	for range entries {
		out, newcomer = locker.nextChange(members, entries, retired)
		switch {
		case newcomer == nil || (out != nil && out.Name == newcomer.Name):
			return out, newcomer
		case locker.sluggish(*newcomer):
			locker.Stand.Log.Info("store passed over as slow or silent", "store", newcomer.Name)
			// A store that everything must be copied to first had better be quick.
			delete(entries, newcomer.Name)
		case out != nil && !retired[out.Name] && !locker.silent(*out):
			return nil, nil
		default:
			return out, newcomer
		}
	}
	return nil, nil
}

// silent asks a member itself: one that answers now is not gone.
func (locker *Locker) silent(member pattern.Member) bool {
	return tongs.Ask(locker.Stand.Wire, member.Address, pattern.KindStatus, &pattern.StatusAsk{Query: "pace"}, &pattern.Status{}, almanac.RoundTime) != nil
}

// nextChange names the member to be replaced and who takes its place; a nil
// member with a newcomer means that the set is too small.
func (locker *Locker) nextChange(members []pattern.Member, entries map[string]pattern.Entry, retired map[string]bool) (out, newcomer *pattern.Member) {
	own := vise.Identity(locker.member())
	for index := range members {
		member := &members[index]
		if vise.Identity(*member) == own {
			continue
		}
		if back := wiped(*member, entries, retired); back != nil {
			// The same machine with an empty disk takes its own place again.
			return member, back
		}
	}
	spare := func(hall string) *pattern.Member {
		var found *pattern.Member
		inSet, halls := map[string]bool{}, map[string]bool{}
		for _, member := range members {
			inSet[member.Name] = true
			halls[member.Hall] = true
		}
		best := -1
		for name, entry := range entries {
			if inSet[name] || retired[name] || entry.Leaving || entry.Disk == "" || entry.AgeMs >= almanac.SilentAfter.Milliseconds() {
				continue
			}
			worth := 0
			if entry.Hall == hall {
				worth = 2
			} else if !halls[entry.Hall] {
				worth = 1
			}
			if worth > best || (worth == best && name < found.Name) {
				best = worth
				found = &pattern.Member{Name: entry.Name, Disk: entry.Disk, Address: entry.Address, Hall: entry.Hall}
			}
		}
		return found
	}
	for index := range members {
		if retired[members[index].Name] {
			return &members[index], spare(members[index].Hall)
		}
	}
	if len(members) < 2*locker.budget()+1 {
		return nil, spare("")
	}
	up := watch.Now().Since(locker.begun)
	for index := range members {
		entry, known := entries[members[index].Name]
		stand := spare(members[index].Hall)
		patience := almanac.ReplaceAfter
		if stand != nil && stand.Hall == members[index].Hall {
			// A store in the same hall was most likely set up in its place.
			patience = almanac.SilentAfter
		}
		if vise.Identity(members[index]) == own || (known && entry.AgeMs < patience.Milliseconds()) || (!known && up < almanac.ReplaceAfter) {
			continue
		}
		return &members[index], stand
	}
	return nil, nil
}
