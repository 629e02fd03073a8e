package lease

import (
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// quotaStall is the longest time in ns for which a process is suspended once its CPU quota is used
// up: the rest of a 100 ms quota period.
const quotaStall = 95_000_000

// A holder that is suspended at any step of a renewal, or between checking its lease and the action
// that depends on it, must never act while another candidate may have the lease. A stall at every
// step of a renewal must not cost it the lease.
func TestStalledHolderKeepsItsLeaseAndNeverActsWithoutIt(t *testing.T) {
	const steps = 5
	for stalls := range 1 << steps {
		stallAt := func(step int) clock.Instant {
			if stalls&(1<<step) != 0 {
				return quotaStall
			}
			return 0
		}
		grantor, lease := NewGrantor(0, true), Lease{}
		now := clock.Instant(1)
		holder := messages.LeaseRequest{Candidate: "a", Incarnation: 1, Epoch: 1}
		leader := messages.Leadership{Holder: "a", Incarnation: 1, Epoch: 1}
		for round := range 40 {
			sentAt := now
			now += stallAt(0) // between recording the time and sending
			now += stallAt(1) // before the acceptor handles the request
			granted := grantor.Grant(holder, leader, now).Granted
			now += stallAt(2) // before the response is handled
			if granted {
				lease.Renewed(sentAt)
			}
			if !lease.Valid(now) && round > 0 {
				t.Fatalf("stalls %05b: the holder lost its lease in round %d", stalls, round)
			}
			checkedAt := now
			now += stallAt(3) // between the check and the action
			if lease.Valid(checkedAt) && grantor.available(now) {
				t.Fatalf("stalls %05b: the holder acts while another candidate may be granted the lease", stalls)
			}
			now += stallAt(4) // after the action
			now = max(now, sentAt.Add(constants.LeaseRenewPeriod))
		}
	}
}
