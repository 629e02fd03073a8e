package leader

import (
	"testing"

	"lemonarch/internal/batch/leadership"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

func TestAppendLatencyOfASlowDisk(t *testing.T) {
	lags := newAppendLatency()
	for round := 0; round < 20; round++ {
		lags.observe("own", 5)
		lags.observe("a", 7)
		lags.observe("b", 8)
		lags.observe("c", 9)
	}
	if lags.isSlow("own") {
		t.Fatal("a usual disk was called slow")
	}
	for round := 0; round < 20; round++ {
		lags.observe("own", 36)
	}
	if !lags.isSlow("own") || lags.isSlow("a") {
		t.Fatal(lags.means)
	}
	// Where all are slow nobody is.
	for round := 0; round < 30; round++ {
		lags.observe("a", 40)
		lags.observe("b", 41)
		lags.observe("c", 42)
	}
	if lags.isSlow("own") {
		t.Fatal("as slow as the others, yet called slow")
	}
	few := newAppendLatency()
	few.observe("own", 500)
	few.observe("a", 1)
	if few.isSlow("own") {
		t.Fatal("one time is no evidence")
	}
}

// slowMachine is an election of a process whose machine is slow.
type resigningElection struct{ leaseHolder }

func (resigningElection) ShouldResign(bool, clock.Instant) bool { return true }

// A leader on a slow disk or machine resigns where others are there to lead; alone it goes
// on, however slow.
func TestSlowLeaderResigns(t *testing.T) {
	process := soleStore(t, simulation.NewDisk(8))
	own := process.Election.Member()
	other := messages.Member{Name: "o", Address: "o", Disk: "o"}
	term := NewTerm(process, messages.Leadership{Holder: "m", Epoch: 1}, []messages.Member{own, other})
	now := clock.Instant(1_000_000_000)
	if term.tooSlow(now) {
		t.Fatal("resigned without a cause")
	}
	for round := 0; round < 10; round++ {
		term.observeAppendLatency(register.Identity(own), clock.Milliseconds(60))
		term.observeAppendLatency(register.Identity(other), clock.Milliseconds(6))
	}
	if !term.tooSlow(now.Add(5 * constants.ResignBackoff)) {
		t.Fatal("leads on with a slow disk")
	}
	process.Election = resigningElection{leaseHolder{leadership.New(process.Node, nil)}}
	if !term.tooSlow(now) {
		t.Fatal("leads on with a slow machine")
	}
	alone := NewTerm(process, messages.Leadership{Holder: "m", Epoch: 2}, []messages.Member{own})
	if alone.tooSlow(now.Add(3 * constants.ResignBackoff)) {
		t.Fatal("nobody is there to lead instead")
	}
}
