package clamp

import (
	"testing"

	"lemonarch/internal/almanac"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

func TestOneHolderAtATime(test *testing.T) {
	grants := NewGrants(0, true)
	if !grants.Ask(pattern.HoldAsk{Candidate: "a", Life: 1}, pattern.Duty{}, 1).Granted {
		test.Fatal("a free duty was not granted")
	}
	duty := pattern.Duty{Holder: "a", Life: 1, Epoch: 1}
	if grants.Ask(pattern.HoldAsk{Candidate: "b", Life: 1, Epoch: 1}, duty, 2).Granted {
		test.Fatal("granted twice")
	}
	end := watch.Moment(1).Plus(almanac.HoldTime)
	if !grants.Ask(pattern.HoldAsk{Candidate: "b", Life: 1, Epoch: 1}, duty, end).Granted {
		test.Fatal("not granted after its end")
	}
	if grants.Ask(pattern.HoldAsk{Candidate: "a", Life: 1, Epoch: 1}, duty, end+1).Granted {
		test.Fatal("a holder that overslept got it back")
	}
}

func TestRestartedAcceptorIsSilentForOneHold(test *testing.T) {
	grants := NewGrants(0, false)
	duty := pattern.Duty{Holder: "a", Life: 1, Epoch: 1}
	if grants.Ask(pattern.HoldAsk{Candidate: "b", Life: 1, Epoch: 1}, duty, 10).Granted {
		test.Fatal("granted what it may have granted before")
	}
	// The holder itself may go on: nobody else can have it.
	if !grants.Ask(pattern.HoldAsk{Candidate: "a", Life: 1, Epoch: 1}, duty, 11).Granted {
		test.Fatal("the holder was refused")
	}
}

func TestOldLifeAndOldEpochGetNothing(test *testing.T) {
	grants := NewGrants(0, true)
	duty := pattern.Duty{Holder: "a", Life: 2, Epoch: 5}
	if !grants.Ask(pattern.HoldAsk{Candidate: "a", Life: 2, Epoch: 5}, duty, 1).Granted {
		test.Fatal("the holder was refused")
	}
	if grants.Ask(pattern.HoldAsk{Candidate: "a", Life: 1, Epoch: 5}, duty, 2).Granted {
		test.Fatal("an old life woke up and was granted")
	}
	if grants.Ask(pattern.HoldAsk{Candidate: "b", Life: 1, Epoch: 4}, duty, watch.Moment(2).Plus(almanac.HoldTime)).Granted {
		test.Fatal("granted on an old epoch")
	}
}

func TestReleaseFreesAtOnce(test *testing.T) {
	grants := NewGrants(0, true)
	grants.Ask(pattern.HoldAsk{Candidate: "a", Life: 1}, pattern.Duty{}, 1)
	grants.Ask(pattern.HoldAsk{Candidate: "a", Life: 1, Release: true}, pattern.Duty{}, 2)
	if !grants.Ask(pattern.HoldAsk{Candidate: "b", Life: 1}, pattern.Duty{}, 3).Granted {
		test.Fatal("not free after its release")
	}
}

func TestHoldEndsEarlyAndCountsFromTheAsking(test *testing.T) {
	hold := Hold{}
	hold.Renewed(100)
	end := watch.Moment(100).Plus(almanac.HoldTime - almanac.HoldMargin)
	if !hold.Stands(end-1) || hold.Stands(end) {
		test.Fatal("a hold must end a margin before the grants do")
	}
}
