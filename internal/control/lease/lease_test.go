package lease

import (
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

func TestOneLeaseholderAtATime(t *testing.T) {
	grants := NewGrantor(0, true)
	if !grants.Grant(messages.LeaseRequest{Candidate: "a", Incarnation: 1}, messages.Leadership{}, 1).Granted {
		t.Fatal("a free held was not granted")
	}
	found := messages.Leadership{Holder: "a", Incarnation: 1, Epoch: 1}
	if grants.Grant(messages.LeaseRequest{Candidate: "b", Incarnation: 1, Epoch: 1}, found, 2).Granted {
		t.Fatal("granted twice")
	}
	end := clock.Instant(1).Add(constants.LeaseDuration)
	if !grants.Grant(messages.LeaseRequest{Candidate: "b", Incarnation: 1, Epoch: 1}, found, end).Granted {
		t.Fatal("not granted after its end")
	}
	if grants.Grant(messages.LeaseRequest{Candidate: "a", Incarnation: 1, Epoch: 1}, found, end+1).Granted {
		t.Fatal("a holder that overslept got it back")
	}
}

func TestRestartedAcceptorGrantsNothingForALeaseDuration(t *testing.T) {
	grants := NewGrantor(0, false)
	found := messages.Leadership{Holder: "a", Incarnation: 1, Epoch: 1}
	if grants.Grant(messages.LeaseRequest{Candidate: "b", Incarnation: 1, Epoch: 1}, found, 10).Granted {
		t.Fatal("granted what it may have granted before")
	}
	// The holder itself may go on: nobody else can have it.
	if !grants.Grant(messages.LeaseRequest{Candidate: "a", Incarnation: 1, Epoch: 1}, found, 11).Granted {
		t.Fatal("the holder was refused")
	}
}

func TestOldIncarnationAndOldEpochAreRefused(t *testing.T) {
	grants := NewGrantor(0, true)
	found := messages.Leadership{Holder: "a", Incarnation: 2, Epoch: 5}
	if !grants.Grant(messages.LeaseRequest{Candidate: "a", Incarnation: 2, Epoch: 5}, found, 1).Granted {
		t.Fatal("the holder was refused")
	}
	if grants.Grant(messages.LeaseRequest{Candidate: "a", Incarnation: 1, Epoch: 5}, found, 2).Granted {
		t.Fatal("an old life woke up and was granted")
	}
	if grants.Grant(messages.LeaseRequest{Candidate: "b", Incarnation: 1, Epoch: 4}, found, clock.Instant(2).Add(constants.LeaseDuration)).Granted {
		t.Fatal("granted on an old epoch")
	}
}

func TestReleaseFreesAtOnce(t *testing.T) {
	grants := NewGrantor(0, true)
	grants.Grant(messages.LeaseRequest{Candidate: "a", Incarnation: 1}, messages.Leadership{}, 1)
	grants.Grant(messages.LeaseRequest{Candidate: "a", Incarnation: 1, Release: true}, messages.Leadership{}, 2)
	if !grants.Grant(messages.LeaseRequest{Candidate: "b", Incarnation: 1}, messages.Leadership{}, 3).Granted {
		t.Fatal("not free after its release")
	}
}

func TestLeaseEndsEarlyAndCountsFromTheRequest(t *testing.T) {
	own := Lease{}
	own.Renewed(100)
	end := clock.Instant(100).Add(constants.LeaseDuration - constants.LeaseSafetyMargin)
	if !own.Valid(end-1) || own.Valid(end) {
		t.Fatal("a hold must end a margin before the grants do")
	}
}
