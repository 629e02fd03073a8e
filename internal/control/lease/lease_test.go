package lease

import (
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

func TestOneHolderAtATime(test *testing.T) {
	grants := NewGrants(0, true)
	if !grants.Ask(messages.HoldAsk{Candidate: "a", Life: 1}, messages.Duty{}, 1).Granted {
		test.Fatal("a free duty was not granted")
	}
	duty := messages.Duty{Holder: "a", Life: 1, Epoch: 1}
	if grants.Ask(messages.HoldAsk{Candidate: "b", Life: 1, Epoch: 1}, duty, 2).Granted {
		test.Fatal("granted twice")
	}
	end := clock.Moment(1).Plus(constants.HoldTime)
	if !grants.Ask(messages.HoldAsk{Candidate: "b", Life: 1, Epoch: 1}, duty, end).Granted {
		test.Fatal("not granted after its end")
	}
	if grants.Ask(messages.HoldAsk{Candidate: "a", Life: 1, Epoch: 1}, duty, end+1).Granted {
		test.Fatal("a holder that overslept got it back")
	}
}

func TestRestartedAcceptorIsSilentForOneHold(test *testing.T) {
	grants := NewGrants(0, false)
	duty := messages.Duty{Holder: "a", Life: 1, Epoch: 1}
	if grants.Ask(messages.HoldAsk{Candidate: "b", Life: 1, Epoch: 1}, duty, 10).Granted {
		test.Fatal("granted what it may have granted before")
	}
	// The holder itself may go on: nobody else can have it.
	if !grants.Ask(messages.HoldAsk{Candidate: "a", Life: 1, Epoch: 1}, duty, 11).Granted {
		test.Fatal("the holder was refused")
	}
}

func TestOldLifeAndOldEpochGetNothing(test *testing.T) {
	grants := NewGrants(0, true)
	duty := messages.Duty{Holder: "a", Life: 2, Epoch: 5}
	if !grants.Ask(messages.HoldAsk{Candidate: "a", Life: 2, Epoch: 5}, duty, 1).Granted {
		test.Fatal("the holder was refused")
	}
	if grants.Ask(messages.HoldAsk{Candidate: "a", Life: 1, Epoch: 5}, duty, 2).Granted {
		test.Fatal("an old life woke up and was granted")
	}
	if grants.Ask(messages.HoldAsk{Candidate: "b", Life: 1, Epoch: 4}, duty, clock.Moment(2).Plus(constants.HoldTime)).Granted {
		test.Fatal("granted on an old epoch")
	}
}

func TestReleaseFreesAtOnce(test *testing.T) {
	grants := NewGrants(0, true)
	grants.Ask(messages.HoldAsk{Candidate: "a", Life: 1}, messages.Duty{}, 1)
	grants.Ask(messages.HoldAsk{Candidate: "a", Life: 1, Release: true}, messages.Duty{}, 2)
	if !grants.Ask(messages.HoldAsk{Candidate: "b", Life: 1}, messages.Duty{}, 3).Granted {
		test.Fatal("not free after its release")
	}
}

func TestHoldEndsEarlyAndCountsFromTheAsking(test *testing.T) {
	hold := Hold{}
	hold.Renewed(100)
	end := clock.Moment(100).Plus(constants.HoldTime - constants.HoldMargin)
	if !hold.Stands(end-1) || hold.Stands(end) {
		test.Fatal("a hold must end a margin before the grants do")
	}
}
