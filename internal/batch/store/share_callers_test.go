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

// callers record what clients of jobs see: each call from its sending to its answer.
type callRecorder struct {
	history linearize.History
	count   int
}

// handedIn records a submission; told notes the 202.
func (s *shareCluster) recordSubmission(id string) (acknowledged func()) {
	s.calls.count++
	operation := s.calls.history.Begin(s.calls.count, linearize.JobCall{Kind: linearize.JobSubmit, Lot: id},
		linearize.JobReply{}, int64(s.world.Now))
	return func() { operation.End(linearize.JobReply{Outcome: linearize.JobDone}, int64(s.world.Now)) }
}

// answered records a call that has its answer.
func (s *shareCluster) recordCall(call linearize.JobCall, reply linearize.JobReply, start clock.Instant) {
	s.calls.count++
	operation := s.calls.history.Begin(s.calls.count, call, linearize.JobReply{}, int64(start))
	operation.End(reply, int64(s.world.Now))
}

// read sends reads again and again; a call takes its time there and back.
func (s *shareCluster) readPeriodically() {
	random := s.callRandom
	defer s.world.After(clock.Milliseconds(40+160*random.Float64()), s.readPeriodically)
	if s.jobNumber == 0 {
		return
	}
	call := linearize.JobCall{Kind: linearize.JobRead, Lot: fmt.Sprint("job", 1+random.Intn(s.jobNumber)), From: random.Intn(2)}
	start, resp := s.world.Now, clock.Milliseconds(40*random.Float64())
	s.world.After(clock.Milliseconds(40*random.Float64()), func() {
		leader := s.leader
		if s.serving(leader) == nil {
			return
		}
		reply := s.readJob(leader, call)
		s.world.After(resp, func() { s.recordCall(call, reply, start) })
	})
}

// page is what a leader that serves says of a job.
func (s *shareCluster) readJob(leader *simLeader, call linearize.JobCall) linearize.JobReply {
	job := leader.jobs.Job(call.Lot)
	if job == nil {
		return linearize.JobReply{Outcome: linearize.JobMissing}
	}
	reply := linearize.JobReply{Outcome: linearize.JobDone}
	for _, listing := range job.Listings[min(call.From, len(job.Listings)):] {
		reply.Results = append(reply.Results, fmt.Sprint(listing.Item, " ", listing.Abandoned, " ", s.outputText(leader, listing)))
	}
	return reply
}

// textOf is an output's text, from the leader's memory or its disk.
func (s *shareCluster) outputText(leader *simLeader, listing dispatch.Listing) string {
	if i := listing.Index - leader.firstIndex; i >= 0 && i < int64(len(leader.records)) {
		return string(leader.records[i].Body)
	}
	record, err := s.stores[leader.address].store.Read(listing.Index)
	if err != nil {
		s.t.Fatal(err)
	}
	return string(record.Body)
}

// checkCalls tells whether one order of all calls explains what clients saw.
func (s *shareCluster) checkCalls(seed int64) {
	if err := s.calls.history.Check(linearize.JobsModel(), time.Minute); err != nil {
		s.t.Fatalf("seed %d: %v", seed, err)
	}
}

// judge compares the last leader's book with all that was seen outside.
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
			record, err := s.stores[s.leader.address].store.Read(listing.Index)
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
				s.t.Fatalf("seed %d: %s was given up after %d failures", seed, listing.Item, s.failures[listing.Item])
			case !listing.Abandoned && string(record.Body) != want:
				s.t.Fatalf("seed %d: %s has the text %q", seed, listing.Item, strings.ReplaceAll(string(record.Body), "\n", " "))
			case listing.Abandoned && s.accepted[listing.Item] != "" && s.accepted[listing.Item] != "rejected":
				s.t.Fatalf("seed %d: %s was acknowledged and then given up", seed, listing.Item)
			}
		}
		for _, item := range job.Items {
			if listed[item.ID] == 0 && (s.accepted[item.ID] != "" || !job.Ended) {
				s.t.Fatalf("seed %d: %s is not listed; state %d, acknowledged %q, lapses %d", seed, item.ID, item.State, s.accepted[item.ID], item.Lapses)
			}
		}
	}
	for id := range s.endAcked {
		if job := s.leader.jobs.Job(id); job == nil || !job.Ended {
			s.t.Fatalf("seed %d: the end of %s is lost", seed, id)
		}
	}
}
