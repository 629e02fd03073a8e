package lease

import (
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

func TestOneLeaseholderAtATime(t *testing.T) {
	grantor := NewGrantor(0, true)
	if !grantor.Grant(messages.LeaseRequest{Candidate: "a", Incarnation: 1}, messages.Leadership{}, 1).Granted {
		t.Fatal("a free lease was not granted")
	}
	leadership := messages.Leadership{Holder: "a", Incarnation: 1, Epoch: 1}
	if grantor.Grant(messages.LeaseRequest{Candidate: "b", Incarnation: 1, Epoch: 1}, leadership, 2).Granted {
		t.Fatal("a valid lease was granted to another candidate")
	}
	end := clock.Instant(1).Add(constants.LeaseDuration)
	if !grantor.Grant(messages.LeaseRequest{Candidate: "b", Incarnation: 1, Epoch: 1}, leadership, end).Granted {
		t.Fatal("not granted after the previous grant expired")
	}
	if grantor.Grant(messages.LeaseRequest{Candidate: "a", Incarnation: 1, Epoch: 1}, leadership, end+1).Granted {
		t.Fatal("granted to the previous holder while another candidate has the lease")
	}
}

func TestRestartedAcceptorGrantsOnlyToTheLeader(t *testing.T) {
	grantor := NewGrantor(0, false)
	leadership := messages.Leadership{Holder: "a", Incarnation: 1, Epoch: 1}
	if grantor.Grant(messages.LeaseRequest{Candidate: "b", Incarnation: 1, Epoch: 1}, leadership, 10).Granted {
		t.Fatal("granted a lease that an earlier incarnation may have granted")
	}
	// The leader in the register may continue: the lost grant may have been its own.
	if !grantor.Grant(messages.LeaseRequest{Candidate: "a", Incarnation: 1, Epoch: 1}, leadership, 11).Granted {
		t.Fatal("the request of the leader in the register was rejected")
	}
}

func TestOldIncarnationAndOldEpochAreRejected(t *testing.T) {
	grantor := NewGrantor(0, true)
	leadership := messages.Leadership{Holder: "a", Incarnation: 2, Epoch: 5}
	if !grantor.Grant(messages.LeaseRequest{Candidate: "a", Incarnation: 2, Epoch: 5}, leadership, 1).Granted {
		t.Fatal("the holder's request was rejected")
	}
	if grantor.Grant(messages.LeaseRequest{Candidate: "a", Incarnation: 1, Epoch: 5}, leadership, 2).Granted {
		t.Fatal("granted to an older incarnation")
	}
	if grantor.Grant(messages.LeaseRequest{Candidate: "b", Incarnation: 1, Epoch: 4}, leadership, clock.Instant(2).Add(constants.LeaseDuration)).Granted {
		t.Fatal("granted to a candidate with an old epoch")
	}
}

func TestReleaseFreesAtOnce(t *testing.T) {
	grantor := NewGrantor(0, true)
	grantor.Grant(messages.LeaseRequest{Candidate: "a", Incarnation: 1}, messages.Leadership{}, 1)
	grantor.Grant(messages.LeaseRequest{Candidate: "a", Incarnation: 1, Release: true}, messages.Leadership{}, 2)
	if !grantor.Grant(messages.LeaseRequest{Candidate: "b", Incarnation: 1}, messages.Leadership{}, 3).Granted {
		t.Fatal("not granted after the release")
	}
}

func TestLeaseEndsEarlyAndCountsFromTheRequest(t *testing.T) {
	lease := Lease{}
	lease.Renewed(100)
	end := clock.Instant(100).Add(constants.LeaseDuration - constants.LeaseSafetyMargin)
	if !lease.Valid(end-1) || lease.Valid(end) {
		t.Fatal("the lease must end the safety margin before the grants do")
	}
}
