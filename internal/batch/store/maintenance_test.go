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

// compactPeriodically compacts the logs, each store's at random times. It draws from a random
// source of its own, so that the rest of a seed's history does not depend on it.
func (s *simFleet) compactPeriodically(random *rand.Rand) {
	for _, name := range simulation.SortedKeys(s.stores) {
		if store := s.stores[name]; !store.down && random.Intn(3) > 0 {
			if err := store.log.CompactIfDue(s.world.Now); err != nil && !store.faulty {
				s.t.Fatal(err)
			}
		}
	}
	s.world.After(clock.Milliseconds(200), func() { s.compactPeriodically(random) })
}

// forget drops finished jobs, as a leader does after their retention. The newest ones stay.
func (s *simLeader) forget() {
	const kept = 3
	var finished []*dispatch.Job
	for _, job := range s.jobs.Jobs() {
		if !job.Open() && !s.forgets[job.ID] {
			finished = append(finished, job)
		}
	}
	for _, job := range finished[:max(len(finished)-kept, 0)] {
		s.forgets[job.ID], s.fleet.forgetRequested[job.ID] = true, true
		s.submit(messages.Record{Kind: messages.RecordForget, Job: job.ID})
		for i := range job.Listings {
			delete(s.fleet.acknowledgedItems, fmt.Sprintf("%s/%d", job.ID, i))
		}
	}
}

// checkJobs checks that a leader knows everything that was acknowledged, and no forgotten job.
func (s *simFleet) checkJobs(leader *simLeader) {
	for _, job := range leader.jobs.Jobs() {
		if s.forgotten[job.ID] {
			s.t.Fatalf("the leader of epoch %d has the forgotten job %s", leader.epoch, job.ID)
		}
	}
	for _, key := range simulation.SortedKeys(s.acknowledgedItems) {
		jobID, number, _ := strings.Cut(key, "/")
		position, _ := strconv.Atoi(number)
		job := leader.jobs.Job(jobID)
		if job == nil || position >= len(job.Listings) || job.Listings[position].Item != s.acknowledgedItems[key] {
			s.t.Fatalf("the leader of epoch %d lacks the acknowledged output at %s", leader.epoch, key)
		}
	}
}
