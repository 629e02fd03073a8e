package lease

import (
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// quotaStall is how long a process stands still at most once its share of a core is spent: the
// rest of a tenth of a second.
const quotaStall = 95_000_000

// A holder that stands still at any step of a renewal, or between the look at its lease and the
// act that it allows, never acts while another may hold the lease; a stall at each step of one
// renewal costs it no lease.
func TestStallAtEachStepOfARenewal(t *testing.T) {
	const steps = 5
	for stalls := range 1 << steps {
		at := func(step int) clock.Instant {
			if stalls&(1<<step) != 0 {
				return quotaStall
			}
			return 0
		}
		grantor, held := NewGrantor(0, true), Lease{}
		now := clock.Instant(1)
		holder := messages.LeaseRequest{Candidate: "a", Incarnation: 1, Epoch: 1}
		leader := messages.Leadership{Holder: "a", Incarnation: 1, Epoch: 1}
		for round := range 40 {
			sentAt := now
			now += at(0) // between noting the time and sending
			now += at(1) // before the acceptor reads it
			granted := grantor.Grant(holder, leader, now).Granted
			now += at(2) // before the answer is read
			if granted {
				held.Renewed(sentAt)
			}
			if !held.Valid(now) && round > 0 {
				t.Fatalf("stalls %05b: lost its lease in round %d", stalls, round)
			}
			looked := now
			now += at(3) // between the look and the act
			if held.Valid(looked) && grantor.available(now) {
				t.Fatalf("stalls %05b: acts while another may be granted the lease", stalls)
			}
			now += at(4)
			now = max(now, sentAt.Add(constants.LeaseRenewPeriod))
		}
	}
}
