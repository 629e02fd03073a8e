package store

import (
	"fmt"
	"strings"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// submitJob submits a job whose items run on the simulated workers.
func (s *simCluster) submitJob(items int) {
	leader := s.leader
	if leader == nil || !leader.ready || s.stores[leader.address].down {
		return
	}
	s.jobNumber++
	id := fmt.Sprint("job", s.jobNumber)
	body := &messages.JobBody{Path: "/p/"}
	for i := 0; i < items; i++ {
		body.Items = append(body.Items, messages.JobItem{ID: fmt.Sprintf("%s-%d", id, i), Tokens: 10})
	}
	encoded, _ := body.MarshalMsg(nil)
	leader.submit(messages.Record{Kind: messages.RecordJob, Job: id, Body: encoded})
}

// playOverload runs a burst of live requests of the highest priority while jobs run. Meanwhile the
// leader's machine loses power or the leadership changes, a store is partitioned, and workers abort
// streams.
func playOverload(t *testing.T, seed int64) *simCluster {
	t.Helper()

	cluster := newCluster(t, seed)
	cluster.world.LossProbability, cluster.world.DuplicateProbability = 0.03, 0.03
	cluster.electAny()
	cluster.dispatch()
	for count := 0; count < 6; count++ {
		cluster.submitJob(8)
	}
	for burst := 0; burst < 90; burst++ {
		at := clock.Milliseconds(100 + 15*float64(burst))
		cluster.world.After(at, func() {
			for count := 0; count < 5; count++ {
				cluster.request()
			}
		})
	}
	cluster.world.Run(cluster.world.Now.Add(clock.Milliseconds(500)))
	victim := cluster.stores[cluster.leader.address]
	if seed%2 == 0 {
		// The leader's machine loses power during the burst.
		victim.down = true
		victim.disk.PowerLoss()
		cluster.electAny()
		cluster.open(victim)
	} else {
		// Another store takes over while the old leader still runs.
		cluster.electAny()
	}
	other := cluster.set[cluster.world.Random.Intn(3)].Address
	if other != cluster.leader.address {
		cluster.world.Isolate(other, []string{"s0", "s1", "s2"}, true)
		cluster.world.After(clock.Milliseconds(400), func() { cluster.world.Isolate(other, []string{"s0", "s1", "s2"}, false) })
	}
	cluster.submitJob(5)
	cluster.world.Run(cluster.world.Now.Add(clock.Milliseconds(30_000)))
	return cluster
}

// Every preempted item finishes exactly once, with each of its events once. Every live request
// ends exactly once: it is served, or rejected with the guarantee that it never runs.
func TestOverloadPreemptsAndFinishesOnce(t *testing.T) {
	preempted, rejected, requested := 0, 0, 0
	for seed := int64(1); seed <= 40; seed++ {
		cluster := playOverload(t, seed)
		preempted += cluster.counts["preempted"]
		rejected += cluster.rejected
		requested += cluster.requested
		for number := 1; number <= cluster.requested; number++ {
			if cluster.endCounts[number] != 1 {
				t.Fatalf("seed %d: live request %d ended %d times, want 1", seed, number, cluster.endCounts[number])
			}
		}
		jobs := cluster.leader.jobs.Jobs()
		if len(jobs) == 0 {
			t.Fatalf("seed %d: the last leader has no jobs", seed)
		}
		for _, job := range jobs {
			if len(job.Listings) != job.Total() {
				t.Fatalf("seed %d: job %s has %d listed items, want %d", seed, job.ID, len(job.Listings), job.Total())
			}
			listed := map[string]int{}
			for _, listing := range job.Listings {
				listed[listing.Item]++
				record, err := cluster.stores[cluster.leader.address].log.Read(listing.Index)
				if err != nil {
					t.Fatal(err)
				}
				want := ""
				for event := 1; event <= clusterEvents; event++ {
					want += fmt.Sprintf("%s.%d\n", listing.Item, event)
				}
				if string(record.Body) != want {
					t.Fatalf("seed %d: %s has the text %q, want its %d events once each", seed, listing.Item,
						strings.ReplaceAll(string(record.Body), "\n", " "), clusterEvents)
				}
			}
			for item, count := range listed {
				if count != 1 {
					t.Fatalf("seed %d: %s is listed %d times, want 1", seed, item, count)
				}
			}
		}
	}
	if preempted < 40 || rejected == 0 || rejected*3 > requested {
		t.Fatalf("preemptions or rejections out of the expected range: %d items preempted, %d of %d live requests rejected", preempted, rejected, requested)
	}
}

// A seed must reproduce its history. Otherwise a failure that one seed shows could not be repeated.
func TestOverloadSameSeedSameHistory(t *testing.T) {
	if first, second := playOverload(t, 9).world.HistoryHash(), playOverload(t, 9).world.HistoryHash(); first != second {
		t.Fatal("two runs with the same seed differ")
	}
}
