package jointer

import (
	"hash/fnv"
	"sort"

	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/pattern"
	"lemonarch/internal/plumbline"
	"lemonarch/internal/watch"
)

// draws is a process's name as a number, from which its places in the rings follow.
func draws(entry pattern.Entry) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(entry.Role))
	sum.Write([]byte{'/'})
	sum.Write([]byte(entry.Name))
	return sum.Sum64()
}

// ring is the place in one of the rings. Names differ in their last bytes only, so
// these must move the whole number.
func ring(name uint64, number int) uint64 {
	return plumbline.Mix(name + uint64(number+1)*0x9e3779b97f4a7c15)
}

// Neighbours gives whom a process tells: its successor in each of so many rings, in
// which everybody stands by a hash of the name. Each is told by as many as it tells,
// nobody needs a list of all, and who comes or goes moves its own neighbours only.
func Neighbours(own pattern.Entry, entries []pattern.Entry, fanout int) []pattern.Entry {
	names := make([]uint64, len(entries))
	for position := range entries {
		names[position] = draws(entries[position])
	}
	myself := draws(own)
	var chosen []pattern.Entry
	for number := 0; number < 4*fanout && len(chosen) < min(fanout, len(entries)); number++ {
		place := ring(myself, number)
		next, least := -1, uint64(0)
		for position, name := range names {
			// Unsigned: past the end of the ring it begins anew.
			if way := ring(name, number) - place; name != myself && (next < 0 || way < least) {
				next, least = position, way
			}
		}
		if next >= 0 && !holds(chosen, entries[next]) {
			chosen = append(chosen, entries[next])
		}
	}
	return chosen
}

func holds(entries []pattern.Entry, one pattern.Entry) bool {
	for _, entry := range entries {
		if bellows.Key(entry) == bellows.Key(one) {
			return true
		}
	}
	return false
}

// circle is whom this process tells, found anew each period.
type circle struct {
	near, far                []pattern.Entry
	halls                    [][]pattern.Entry
	population               int
	gossip, forges, readings []pattern.Entry
}

// around finds the circle from what is known of others. Nothing else needs to know
// how neighbours are found.
func around(own pattern.Entry, known []pattern.Entry) circle {
	found := circle{}
	for _, entry := range known {
		switch {
		case entry.Role != bellows.RoleForge && entry.Role != bellows.RoleLocker,
			entry.Leaving || entry.AgeMs >= almanac.NeighbourAge.Milliseconds():
		case entry.Hall == own.Hall:
			found.near = append(found.near, entry)
		default:
			found.far = append(found.far, entry)
		}
	}
	found.halls = byHall(found.far)
	found.gossip = Neighbours(own, found.near, almanac.GossipFanout)
	found.forges = Neighbours(own, only(found.near, bellows.RoleForge), almanac.GossipFanout)
	found.readings = Neighbours(own, found.near, almanac.ReadingFanout)
	if left := almanac.ReadingFanout - len(found.readings); left > 0 {
		found.readings = append(found.readings, Neighbours(own, found.far, left)...)
	}
	return found
}

// about gives the present circle.
func (jointer *Jointer) about() circle {
	jointer.lock.Lock()
	defer jointer.lock.Unlock()
	return jointer.circle
}

// lookAround finds it anew.
func (jointer *Jointer) lookAround() circle {
	found := around(jointer.Stand.Own, jointer.Stand.All(""))
	found.population = jointer.Stand.Population(bellows.RoleForge) + jointer.Stand.Population(bellows.RoleLocker)
	jointer.lock.Lock()
	defer jointer.lock.Unlock()
	jointer.circle = found
	return found
}

// byHall parts processes by their halls, whose names come in order.
func byHall(entries []pattern.Entry) (halls [][]pattern.Entry) {
	places := map[string]int{}
	for _, entry := range entries {
		place, known := places[entry.Hall]
		if !known {
			place = len(halls)
			places[entry.Hall] = place
			halls = append(halls, nil)
		}
		halls[place] = append(halls[place], entry)
	}
	sort.Slice(halls, func(left, right int) bool { return halls[left][0].Hall < halls[right][0].Hall })
	return halls
}

// hallSize is how many placing processes a hall has, this one's as far as it is in
// view, else the mean.
func (circle *circle) hallSize() int {
	return max(len(circle.near)+1, circle.population/(len(circle.halls)+1))
}

// across draws whether this process tells somebody in another hall this period: each
// hall tells each other about once, however many processes it has.
func (circle *circle) across(draw func() float64) (pattern.Entry, bool) {
	if len(circle.halls) == 0 || draw() >= float64(len(circle.halls))/float64(circle.hallSize()) {
		return pattern.Entry{}, false
	}
	there := circle.halls[int(draw()*float64(len(circle.halls)))]
	return there[int(draw()*float64(len(there)))], true
}

// draw is the chance of a running process.
func draw() float64 { return watch.Draw() }
