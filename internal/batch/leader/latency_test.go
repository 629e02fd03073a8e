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

// A leader resigns if its own disk is far slower than those of the others. Usual variation, a single slow
// append, or a load that slows down all disks must not make it resign.
func TestDiskIsSlowOnlyComparedWithOthers(t *testing.T) {
	latencies := newAppendLatency()
	for round := 0; round < 20; round++ {
		latencies.observe("own", 5)
		latencies.observe("a", 7)
		latencies.observe("b", 8)
		latencies.observe("c", 9)
	}
	if latencies.isSlow("own") {
		t.Fatal("disk of usual latency reported as slow")
	}
	for round := 0; round < 20; round++ {
		latencies.observe("own", 36)
	}
	if !latencies.isSlow("own") || latencies.isSlow("a") {
		t.Fatalf("want only the disk of own reported as slow; mean latencies in ms: %v", latencies.meansMs)
	}
	// If all disks are slow, none of them counts as slow.
	for round := 0; round < 30; round++ {
		latencies.observe("a", 40)
		latencies.observe("b", 41)
		latencies.observe("c", 42)
	}
	if latencies.isSlow("own") {
		t.Fatal("disk reported as slow although the others are as slow")
	}
	single := newAppendLatency()
	single.observe("own", 500)
	single.observe("a", 1)
	if single.isSlow("own") {
		t.Fatal("disk reported as slow after a single observation")
	}
}

// resigningElection is the election of a process whose machine is slow.
type resigningElection struct{ leaseHolder }

func (resigningElection) ShouldResign(bool, clock.Instant) bool { return true }

// A leader on a slow disk or machine must resign if there are other members to lead. A leader without
// other members must continue, however slow it is.
func TestSlowLeaderResigns(t *testing.T) {
	process := soleStore(t, simulation.NewDisk(8))
	own := process.Election.Member()
	other := messages.Member{Name: "o", Address: "o", Disk: "o"}
	term := NewTerm(process, messages.Leadership{Holder: "m", Epoch: 1}, []messages.Member{own, other})
	now := clock.Instant(1_000_000_000)
	if term.tooSlow(now) {
		t.Fatal("leader is too slow without a cause")
	}
	for round := 0; round < 10; round++ {
		term.observeAppendLatency(register.Identity(own), clock.Milliseconds(60))
		term.observeAppendLatency(register.Identity(other), clock.Milliseconds(6))
	}
	if !term.tooSlow(now.Add(5 * constants.ResignBackoff)) {
		t.Fatal("leader with a slow disk does not resign")
	}
	process.Election = resigningElection{leaseHolder{leadership.New(process.Node, nil)}}
	if !term.tooSlow(now) {
		t.Fatal("leader on a slow machine does not resign")
	}
	alone := NewTerm(process, messages.Leadership{Holder: "m", Epoch: 2}, []messages.Member{own})
	if alone.tooSlow(now.Add(3 * constants.ResignBackoff)) {
		t.Fatal("leader without other members resigns")
	}
}
