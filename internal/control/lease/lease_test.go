package lease

import (
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

func TestOneHolderAtATime(t *testing.T) {
	grants := NewGrants(0, true)
	if !grants.Ask(messages.HoldAsk{Candidate: "a", Life: 1}, messages.Duty{}, 1).Granted {
		t.Fatal("a free held was not granted")
	}
	held := messages.Duty{Holder: "a", Life: 1, Epoch: 1}
	if grants.Ask(messages.HoldAsk{Candidate: "b", Life: 1, Epoch: 1}, held, 2).Granted {
		t.Fatal("granted twice")
	}
	end := clock.Moment(1).Plus(constants.HoldTime)
	if !grants.Ask(messages.HoldAsk{Candidate: "b", Life: 1, Epoch: 1}, held, end).Granted {
		t.Fatal("not granted after its end")
	}
	if grants.Ask(messages.HoldAsk{Candidate: "a", Life: 1, Epoch: 1}, held, end+1).Granted {
		t.Fatal("a holder that overslept got it back")
	}
}

func TestRestartedAcceptorIsSilentForOneHold(t *testing.T) {
	grants := NewGrants(0, false)
	held := messages.Duty{Holder: "a", Life: 1, Epoch: 1}
	if grants.Ask(messages.HoldAsk{Candidate: "b", Life: 1, Epoch: 1}, held, 10).Granted {
		t.Fatal("granted what it may have granted before")
	}
	// The holder itself may go on: nobody else can have it.
	if !grants.Ask(messages.HoldAsk{Candidate: "a", Life: 1, Epoch: 1}, held, 11).Granted {
		t.Fatal("the holder was refused")
	}
}

func TestOldLifeAndOldEpochGetNothing(t *testing.T) {
	grants := NewGrants(0, true)
	held := messages.Duty{Holder: "a", Life: 2, Epoch: 5}
	if !grants.Ask(messages.HoldAsk{Candidate: "a", Life: 2, Epoch: 5}, held, 1).Granted {
		t.Fatal("the holder was refused")
	}
	if grants.Ask(messages.HoldAsk{Candidate: "a", Life: 1, Epoch: 5}, held, 2).Granted {
		t.Fatal("an old life woke up and was granted")
	}
	if grants.Ask(messages.HoldAsk{Candidate: "b", Life: 1, Epoch: 4}, held, clock.Moment(2).Plus(constants.HoldTime)).Granted {
		t.Fatal("granted on an old epoch")
	}
}

func TestReleaseFreesAtOnce(t *testing.T) {
	grants := NewGrants(0, true)
	grants.Ask(messages.HoldAsk{Candidate: "a", Life: 1}, messages.Duty{}, 1)
	grants.Ask(messages.HoldAsk{Candidate: "a", Life: 1, Release: true}, messages.Duty{}, 2)
	if !grants.Ask(messages.HoldAsk{Candidate: "b", Life: 1}, messages.Duty{}, 3).Granted {
		t.Fatal("not free after its release")
	}
}

func TestHoldEndsEarlyAndCountsFromTheAsking(t *testing.T) {
	own := Lease{}
	own.Renewed(100)
	end := clock.Moment(100).Plus(constants.HoldTime - constants.HoldMargin)
	if !own.Stands(end-1) || own.Stands(end) {
		t.Fatal("a hold must end a margin before the grants do")
	}
}
