package store

import (
	"fmt"
	"math/rand"
	"strconv"
	"strings"

	"lemonarch/internal/batch/lots"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// tidy rewrites files now and then, at a moment of each store's own. What it draws is its
// own, so that the rest of a seed's history doesn't hang on it.
func (s *simFleet) tidy(random *rand.Rand) {
	for _, name := range simulation.Keys(s.stores) {
		if store := s.stores[name]; !store.down && random.Intn(3) > 0 {
			if err := store.store.Tidy(s.world.Now); err != nil && !store.faulty {
				s.test.Fatal(err)
			}
		}
	}
	s.world.After(clock.Milliseconds(200), func() { s.tidy(random) })
}

// forget drops lots that are done, as a holder does once their time is over; the newest
// stay.
func (s *simHolder) forget() {
	const kept = 3
	var done []*lots.Lot
	for _, lot := range s.book.Lots() {
		if !lot.Open() && !s.forgets[lot.ID] {
			done = append(done, lot)
		}
	}
	for _, lot := range done[:max(len(done)-kept, 0)] {
		s.forgets[lot.ID], s.fleet.dropped[lot.ID] = true, true
		s.submit(messages.Record{Kind: messages.RecordForget, Job: lot.ID})
		for i := range lot.Listings {
			delete(s.fleet.told, fmt.Sprintf("%s/%d", lot.ID, i))
		}
	}
}

// check compares a holder's book with all that was ever told.
func (s *simFleet) check(holder *simHolder) {
	for _, lot := range holder.book.Lots() {
		if s.gone[lot.ID] {
			s.test.Fatalf("holder of epoch %d has %s again", holder.epoch, lot.ID)
		}
	}
	for _, place := range simulation.Keys(s.told) {
		lot, number, _ := strings.Cut(place, "/")
		position, _ := strconv.Atoi(number)
		found := holder.book.Lot(lot)
		if found == nil || position >= len(found.Listings) || found.Listings[position].Item != s.told[place] {
			s.test.Fatalf("holder of epoch %d lacks %s", holder.epoch, place)
		}
	}
}
