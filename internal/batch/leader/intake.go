package leader

import (
	"net/http"

	"lemonarch/internal/batch/jobroute"
	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// A burst of jobs is larger than what the leader's link carries in the time that callers wait.
// If all of them sent their jobs at once, each would take too long, be sent once more, and the
// link would be full of jobs that nobody waits for any more. So a gateway offers a job first,
// by its length, and sends it when the leader says so; the leader lets in as much as the
// stores have made durable. Whoever waits too long was sent nothing, and may be refused.

// intake is the jobs that may be on their way to the leader or to the stores. It is guarded by
// Term.lock.
type intake struct {
	// admitted are the jobs that were asked for, by id, until they are durable or refused;
	// bytes is their sum.
	admitted map[string]admittedJob
	bytes    int
	// waiting are those that may not be sent yet, the oldest first.
	waiting []*offer
}

// admittedJob counts until an instant: its gateway may have gone.
type admittedJob struct {
	bytes int
	until clock.Instant
}

// offer is a job that waits to be sent. admitted closes once it may.
type offer struct {
	job      string
	bytes    int
	admitted chan struct{}
}

func newIntake() intake { return intake{admitted: map[string]admittedJob{}} }

// offer admits a job at once where there is room and nobody waits, and queues it otherwise.
func (in *intake) offer(job string, bytes int, now clock.Instant) *offer {
	queued := &offer{job: job, bytes: bytes, admitted: make(chan struct{})}
	in.waiting = append(in.waiting, queued)
	in.admit(now)
	return queued
}

// admit lets those in that waited longest, as many as there is room for; one always, whatever
// its length.
func (in *intake) admit(now clock.Instant) {
	for job, admitted := range in.admitted {
		if now >= admitted.until {
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
		in.admitted[next.job] = admittedJob{next.bytes, now.Add(constants.IntakeTime)}
		in.bytes += next.bytes
		close(next.admitted)
	}
}

// release notes that a job is durable, or will not come.
func (in *intake) release(job string) {
	in.drop(job)
	in.admit(clock.Now())
}

func (in *intake) drop(job string) {
	in.bytes -= in.admitted[job].bytes
	delete(in.admitted, job)
}

// withdraw takes an offer out of the queue; false where it was admitted meanwhile.
func (in *intake) withdraw(queued *offer) bool {
	for i, other := range in.waiting {
		if other == queued {
			in.waiting = append(in.waiting[:i:i], in.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// offerJob answers a gateway that has a job to send: that it is known already, that it can't
// fit, that it may be sent now, or that it had to wait for too long.
func (t *Term) offerJob(call *messages.JobCallRequest) *messages.JobCallResponse {
	accepted := &messages.JobCallResponse{Status: http.StatusAccepted, Body: []byte("{}")}
	config := t.process.Node.Config()
	route := jobroute.Of(config, call.Host, call.Path)
	if route == nil {
		// The gateway knew the route: our configuration may be the older one.
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
	// How many tokens it has is not known yet: there must be room for one.
	if refusal := t.refuseForRoomLocked(config, route, 1, call.BodyBytes, 0); refusal != nil {
		t.lock.Unlock()
		return refusal
	}
	queued := t.submissions.intake.offer(call.Job, call.BodyBytes, clock.Now())
	t.lock.Unlock()
	if t.awaitAdmission(queued, clock.Milliseconds(float64(call.WaitMs))) {
		return &messages.JobCallResponse{Status: messages.StatusSendNow}
	}
	return &messages.JobCallResponse{Status: http.StatusServiceUnavailable, Body: reason("too many jobs come at once"),
		RetryAfterMs: int(constants.LeaseRenewPeriod.Milliseconds())}
}

// awaitAdmission waits until an offer is admitted; false where that takes too long.
func (t *Term) awaitAdmission(queued *offer, timeout clock.Duration) bool {
	for end := clock.Now().Add(timeout); ; {
		select {
		case <-queued.admitted:
			return true
		case <-t.life.stop:
			return false
		case <-clock.After(min(constants.TickPeriod*2, end.Sub(clock.Now()))):
		}
		t.lock.Lock()
		// Those whose gateways have gone make room by time alone.
		t.submissions.intake.admit(clock.Now())
		over := clock.Now() >= end && t.submissions.intake.withdraw(queued)
		t.lock.Unlock()
		if over {
			return false
		}
	}
}

// refuseForRoomLocked refuses a job that the backlog of its route or the disks have no room for;
// nil where both have. The lock is held.
func (t *Term) refuseForRoomLocked(config *routeconfig.Config, route *routeconfig.Route, tokens int64, bytes, items int) *messages.JobCallResponse {
	if route.BacklogCap > 0 && t.waitingTokens(config, route)+tokens > route.BacklogCap {
		return tooMany("backlog is full")
	}
	if t.outgrowsDiskLocked(bytes, items) {
		return tooMany("the disks are nearly full")
	}
	if t.outgrowsMemoryLocked(bytes) {
		return tooMany("too much waits to be run")
	}
	return nil
}

// tooMany refuses a job that does not fit now.
func tooMany(why string) *messages.JobCallResponse {
	return &messages.JobCallResponse{Status: http.StatusTooManyRequests, Body: reason(why), RetryAfterMs: int(constants.GossipPeriod.Milliseconds())}
}
