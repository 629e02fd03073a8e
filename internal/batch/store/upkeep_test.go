package store

import (
	"fmt"
	"math/rand"
	"strconv"
	"strings"

	"lemonarch/internal/batch/dispatch"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// tidy rewrites files now and then, at an instant of each store's own. What it draws is its
// own, so that the rest of a seed's history doesn't hang on it.
func (s *simFleet) compactPeriodically(random *rand.Rand) {
	for _, name := range simulation.Keys(s.stores) {
		if store := s.stores[name]; !store.down && random.Intn(3) > 0 {
			if err := store.store.CompactIfDue(s.world.Now); err != nil && !store.faulty {
				s.t.Fatal(err)
			}
		}
	}
	s.world.After(clock.Milliseconds(200), func() { s.compactPeriodically(random) })
}

// forget drops jobs that are done, as a leader does once their time is over; the newest
// stay.
func (s *simLeader) forget() {
	const kept = 3
	var done []*dispatch.Job
	for _, job := range s.jobs.Jobs() {
		if !job.Open() && !s.forgets[job.ID] {
			done = append(done, job)
		}
	}
	for _, job := range done[:max(len(done)-kept, 0)] {
		s.forgets[job.ID], s.fleet.forgetRequested[job.ID] = true, true
		s.submit(messages.Record{Kind: messages.RecordForget, Job: job.ID})
		for i := range job.Listings {
			delete(s.fleet.acknowledgedItems, fmt.Sprintf("%s/%d", job.ID, i))
		}
	}
}

// check compares a leader's book with all that was ever told.
func (s *simFleet) checkJobs(leader *simLeader) {
	for _, job := range leader.jobs.Jobs() {
		if s.forgotten[job.ID] {
			s.t.Fatalf("holder of epoch %d has %s again", leader.epoch, job.ID)
		}
	}
	for _, key := range simulation.Keys(s.acknowledgedItems) {
		jobID, number, _ := strings.Cut(key, "/")
		position, _ := strconv.Atoi(number)
		found := leader.jobs.Job(jobID)
		if found == nil || position >= len(found.Listings) || found.Listings[position].Item != s.acknowledgedItems[key] {
			s.t.Fatalf("holder of epoch %d lacks %s", leader.epoch, key)
		}
	}
}
