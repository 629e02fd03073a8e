package leader

import (
	"net/http"

	"lemonarch/internal/batch/jobroute"
	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// A burst of jobs can exceed what the leader's link carries within the callers' timeout. If all
// gateways sent their jobs at once, each job would time out and be sent again, and the link would be
// filled with jobs that no caller waits for any more. So a gateway first offers a job with its
// size, and sends the job when the leader admits it. The leader admits further jobs as the stores
// make earlier ones durable. An offer that times out can be rejected, since its job was not sent.

// intake tracks the jobs that may be in flight to the leader or to the stores. It is guarded by
// Term.lock.
type intake struct {
	// admitted contains the admitted jobs by id, until they are durable, rejected or expired; bytes
	// is the sum of their sizes.
	admitted map[string]admittedJob
	bytes    int
	// waiting are the offers that are not yet admitted, the oldest first.
	waiting []*offer
}

// admittedJob counts against the capacity until expiresAt at most, since its gateway may have failed
// and may never send it.
type admittedJob struct {
	bytes     int
	expiresAt clock.Instant
}

// offer is a job that waits for admission. admitted is closed once the job may be sent.
type offer struct {
	job      string
	bytes    int
	admitted chan struct{}
}

func newIntake() intake { return intake{admitted: map[string]admittedJob{}} }

// offer admits a job immediately if there is capacity and no other offer is waiting. Otherwise it
// queues the job.
func (in *intake) offer(job string, bytes int, now clock.Instant) *offer {
	queued := &offer{job: job, bytes: bytes, admitted: make(chan struct{})}
	in.waiting = append(in.waiting, queued)
	in.admit(now)
	return queued
}

// admit removes expired jobs and admits the oldest waiting offers for which there is capacity. While
// no other job is admitted, the oldest offer is admitted whatever its size.
func (in *intake) admit(now clock.Instant) {
	for job, admitted := range in.admitted {
		if now >= admitted.expiresAt {
			in.drop(job)
		}
	}
	for len(in.waiting) > 0 {
		next := in.waiting[0]
		if len(in.admitted) > 0 && in.bytes+next.bytes > constants.IntakeBytes {
			return
		}
		in.waiting = in.waiting[1:]
		in.drop(next.job)
		in.admitted[next.job] = admittedJob{next.bytes, now.Add(constants.IntakeTimeout)}
		in.bytes += next.bytes
		close(next.admitted)
	}
}

// release frees the capacity of a job that is durable or was rejected, and admits others.
func (in *intake) release(job string) {
	in.drop(job)
	in.admit(clock.Now())
}

func (in *intake) drop(job string) {
	in.bytes -= in.admitted[job].bytes
	delete(in.admitted, job)
}

// withdraw removes an offer from the queue. It returns false if the offer was already admitted.
func (in *intake) withdraw(queued *offer) bool {
	for i, other := range in.waiting {
		if other == queued {
			in.waiting = append(in.waiting[:i:i], in.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// offerJob responds to a gateway's offer of a job: the job is already known, does not fit, may be
// sent now, or was not admitted in time.
func (t *Term) offerJob(call *messages.JobCallRequest) *messages.JobCallResponse {
	accepted := &messages.JobCallResponse{Status: http.StatusAccepted, Body: []byte("{}")}
	config := t.process.Node.Config()
	route := jobroute.Of(config, call.Host, call.Path)
	if route == nil {
		// The gateway has the route, so this process's configuration may be the older one.
		return &messages.JobCallResponse{NotLeader: true}
	}
	t.lock.Lock()
	if t.jobs.Job(call.Job) != nil {
		t.lock.Unlock()
		return accepted
	}
	if submitting := t.submissions.submitting[call.Job]; submitting > 0 {
		t.lock.Unlock()
		return t.awaitSubmitted(submitting, accepted)
	}
	// The job's number of tokens is not yet known. Require capacity for at least one.
	if rejection := t.checkCapacityLocked(config, route, 1, call.BodyBytes, 0); rejection != nil {
		t.lock.Unlock()
		return rejection
	}
	queued := t.submissions.intake.offer(call.Job, call.BodyBytes, clock.Now())
	t.lock.Unlock()
	if t.awaitAdmission(queued, clock.Milliseconds(float64(call.WaitMs))) {
		return &messages.JobCallResponse{Status: messages.StatusSendNow}
	}
	return &messages.JobCallResponse{Status: http.StatusServiceUnavailable, Body: errorBody("too many jobs come at once"),
		RetryAfterMs: int(constants.LeaseRenewPeriod.Milliseconds())}
}

// awaitAdmission waits until an offer is admitted. It returns false on timeout or if the term ends.
func (t *Term) awaitAdmission(queued *offer, timeout clock.Duration) bool {
	for end := clock.Now().Add(timeout); ; {
		select {
		case <-queued.admitted:
			return true
		case <-t.lifecycle.stop:
			return false
		case <-clock.After(min(constants.TickPeriod*2, end.Sub(clock.Now()))):
		}
		t.lock.Lock()
		// Jobs whose gateways have failed are released only when they expire.
		t.submissions.intake.admit(clock.Now())
		expired := clock.Now() >= end && t.submissions.intake.withdraw(queued)
		t.lock.Unlock()
		if expired {
			return false
		}
	}
}

// checkCapacityLocked returns a rejection if a job does not fit into the backlog of its route, on
// the disks or in memory, and nil otherwise. The lock is held.
func (t *Term) checkCapacityLocked(config *routeconfig.Config, route *routeconfig.Route, tokens int64, bytes, items int) *messages.JobCallResponse {
	if route.BacklogCap > 0 && t.waitingTokens(config, route)+tokens > route.BacklogCap {
		return tooManyRequests("backlog is full")
	}
	if t.exceedsDiskLimitLocked(bytes, items) {
		return tooManyRequests("the disks are nearly full")
	}
	if t.exceedsMemoryLimitLocked(bytes) {
		return tooManyRequests("too much waits to be run")
	}
	return nil
}

// tooManyRequests returns the rejection of a job that does not fit at present.
func tooManyRequests(reason string) *messages.JobCallResponse {
	return &messages.JobCallResponse{Status: http.StatusTooManyRequests, Body: errorBody(reason), RetryAfterMs: int(constants.GossipPeriod.Milliseconds())}
}
