package store

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"lemonarch/internal/batch/dispatch"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/tooling/linearize"
)

// callRecorder records what clients of jobs observe: each call from request to response.
type callRecorder struct {
	history linearize.History
	count   int
}

// recordSubmission records the start of a submission. The returned function records its 202.
func (s *shareCluster) recordSubmission(id string) (acknowledged func()) {
	s.calls.count++
	operation := s.calls.history.Begin(s.calls.count, linearize.JobCall{Kind: linearize.JobSubmit, Job: id},
		linearize.JobReply{}, int64(s.world.Now))
	return func() { operation.End(linearize.JobReply{Outcome: linearize.JobDone}, int64(s.world.Now)) }
}

// recordCall records a call that started at start and now has its response.
func (s *shareCluster) recordCall(call linearize.JobCall, reply linearize.JobReply, start clock.Instant) {
	s.calls.count++
	operation := s.calls.history.Begin(s.calls.count, call, linearize.JobReply{}, int64(start))
	operation.End(reply, int64(s.world.Now))
}

// readPeriodically sends reads of random jobs. Request and response each take a random time.
func (s *shareCluster) readPeriodically() {
	random := s.callRandom
	defer s.world.After(clock.Milliseconds(40+160*random.Float64()), s.readPeriodically)
	if s.jobNumber == 0 {
		return
	}
	call := linearize.JobCall{Kind: linearize.JobRead, Job: fmt.Sprint("job", 1+random.Intn(s.jobNumber)), From: random.Intn(2)}
	start, responseDelay := s.world.Now, clock.Milliseconds(40*random.Float64())
	s.world.After(clock.Milliseconds(40*random.Float64()), func() {
		leader := s.leader
		if s.serving(leader) == nil {
			return
		}
		reply := s.readJob(leader, call)
		s.world.After(responseDelay, func() { s.recordCall(call, reply, start) })
	})
}

// readJob returns a serving leader's response to a read of a job.
func (s *shareCluster) readJob(leader *simLeader, call linearize.JobCall) linearize.JobReply {
	job := leader.jobs.Job(call.Job)
	if job == nil {
		return linearize.JobReply{Outcome: linearize.JobMissing}
	}
	reply := linearize.JobReply{Outcome: linearize.JobDone}
	for _, listing := range job.Listings[min(call.From, len(job.Listings)):] {
		reply.Results = append(reply.Results, fmt.Sprint(listing.Item, " ", listing.Abandoned, " ", s.outputText(leader, listing)))
	}
	return reply
}

// outputText returns an output's text from the leader's memory or its disk.
func (s *shareCluster) outputText(leader *simLeader, listing dispatch.Listing) string {
	if i := listing.Index - leader.firstIndex; i >= 0 && i < int64(len(leader.records)) {
		return string(leader.records[i].Body)
	}
	record, err := s.stores[leader.address].log.Read(listing.Index)
	if err != nil {
		s.t.Fatal(err)
	}
	return string(record.Body)
}

// checkCalls checks that the recorded calls are linearizable.
func (s *shareCluster) checkCalls(seed int64) {
	if err := s.calls.history.Check(linearize.JobsModel(), time.Minute); err != nil {
		s.t.Fatalf("seed %d: %v", seed, err)
	}
}

// checkOutcome compares the last leader's jobs with everything that clients and executors observed.
func (s *shareCluster) checkOutcome(seed int64) {
	var ids []string
	for _, job := range s.leader.jobs.Jobs() {
		ids = append(ids, job.ID)
	}
	sort.Strings(ids)
	for _, id := range ids {
		job := s.leader.jobs.Job(id)
		listed := map[string]int{}
		for _, listing := range job.Listings {
			listed[listing.Item]++
			record, err := s.stores[s.leader.address].log.Read(listing.Index)
			if err != nil {
				s.t.Fatal(err)
			}
			want := ""
			for event := 1; event <= shareEvents; event++ {
				want += fmt.Sprintf("%s.%d\n", listing.Item, event)
			}
			switch {
			case listed[listing.Item] > 1:
				s.t.Fatalf("seed %d: %s has two positions", seed, listing.Item)
			case listing.Abandoned && !s.rejected[listing.Item] && s.failures[listing.Item] < shareAttempts &&
				s.world.Now.Sub(s.sentAt[id]) < clock.Milliseconds(shareRetainMs):
				s.t.Fatalf("seed %d: %s was abandoned after %d failures, want %d, a rejection or retain-s passed",
					seed, listing.Item, s.failures[listing.Item], shareAttempts)
			case !listing.Abandoned && string(record.Body) != want:
				s.t.Fatalf("seed %d: %s has the text %q, want its %d events once each", seed, listing.Item,
					strings.ReplaceAll(string(record.Body), "\n", " "), shareEvents)
			case listing.Abandoned && s.accepted[listing.Item] != "" && s.accepted[listing.Item] != "rejected":
				s.t.Fatalf("seed %d: %s was acknowledged and then abandoned", seed, listing.Item)
			}
		}
		for _, item := range job.Items {
			if listed[item.ID] == 0 && (s.accepted[item.ID] != "" || !job.Ended) {
				s.t.Fatalf("seed %d: %s is not listed; state %d, acknowledged %q, lock expiries %d", seed, item.ID, item.State, s.accepted[item.ID], item.LockExpiries)
			}
		}
	}
	for id := range s.endAcked {
		if job := s.leader.jobs.Job(id); job == nil || !job.Ended {
			s.t.Fatalf("seed %d: the end of %s is lost", seed, id)
		}
	}
}
