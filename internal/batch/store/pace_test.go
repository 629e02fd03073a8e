package store

import (
	"fmt"
	"math/rand"
	"testing"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/tooling/simulation"
)

// Noise, a collector's pause and a slow start make no slow machine; seven times
// longer at a stretch does, and it ends with the trouble.
func TestPaceOfAMachine(t *testing.T) {
	for seed := int64(1); seed <= 50; seed++ {
		random, p := rand.New(rand.NewSource(seed)), &slowness{}
		took := func(factor float64) clock.Duration {
			noise := 1 + 0.4*random.Float64()
			if random.Intn(6) == 0 {
				noise *= 20
			}
			return clock.Duration(factor * noise * 60_000)
		}
		for step := 0; step < 400; step++ {
			p.note(took(1))
			// Four long times in a row by chance are rarer than one in a thousand.
			if p.slow() && step%97 == 0 {
				t.Fatalf("seed %d: slow without a cause at %d", seed, step)
			}
		}
		for step := 0; step < constants.SlownessWindow; step++ {
			p.note(took(7))
		}
		if !p.slow() {
			t.Fatalf("seed %d: not seen", seed)
		}
		for step := 0; step < 3*constants.SlownessWindow; step++ {
			p.note(clock.Duration(70_000))
		}
		if p.slow() {
			t.Fatalf("seed %d: still slow", seed)
		}
	}
}

func TestLagOfADisk(t *testing.T) {
	lags := newAppendLatency()
	for round := 0; round < 20; round++ {
		lags.note("own", 5)
		lags.note("a", 7)
		lags.note("b", 8)
		lags.note("c", 9)
	}
	if lags.behind("own") {
		t.Fatal("a usual disk was called slow")
	}
	for round := 0; round < 20; round++ {
		lags.note("own", 36)
	}
	if !lags.behind("own") || lags.behind("a") {
		t.Fatal(lags.means)
	}
	// Where all are slow nobody is.
	for round := 0; round < 30; round++ {
		lags.note("a", 40)
		lags.note("b", 41)
		lags.note("c", 42)
	}
	if lags.behind("own") {
		t.Fatal("as slow as the others, yet called slow")
	}
	few := newAppendLatency()
	few.note("own", 500)
	few.note("a", 1)
	if few.behind("own") {
		t.Fatal("one time is no evidence")
	}
}

// slowDown makes a machine look slow to itself.
func slowDown(server *Server) {
	server.slowness = slowness{}
	server.slowness.note(10_000)
	for step := 0; step < constants.SlownessWindow; step++ {
		server.slowness.note(90_000)
	}
}

// A slow holder gives its duty up once, leaves it to others for a while, and then
// takes part again although it is still slow.
func TestSlowHolderGivesUp(t *testing.T) {
	server := soleLocker(t, simulation.NewDisk(8))
	own := server.member()
	other := messages.Member{Name: "o", Address: "o", Disk: "o"}
	term := newTerm(server, messages.Leadership{Holder: "m", Epoch: 1}, []messages.Member{own, other}, 1)
	now := clock.Instant(1_000_000_000)
	if term.tooSlow(now) || server.yields(now) {
		t.Fatal("gave up without a cause")
	}
	slowDown(server)
	if !term.tooSlow(now) || term.tooSlow(now.Add(clock.Milliseconds(100))) {
		t.Fatal("gives up never, or again at once")
	}
	if !server.yields(now.Add(constants.YieldTime/2)) || server.yields(now.Add(constants.YieldTime)) {
		t.Fatal("does not hold back, or for too long")
	}
	if !term.tooSlow(now.Add(constants.ResignBackoff)) {
		t.Fatal("never gives up again")
	}
	// Alone it goes on, however slow.
	alone := newTerm(server, messages.Leadership{Holder: "m", Epoch: 2}, []messages.Member{own}, 1)
	if alone.tooSlow(now.Add(3 * constants.ResignBackoff)) {
		t.Fatal("nobody is there to take it")
	}
	// A slow disk is a cause as well.
	server.slowness = slowness{}
	for round := 0; round < 10; round++ {
		term.noteAppendLatency(register.Identity(own), clock.Milliseconds(60))
		term.noteAppendLatency(register.Identity(other), clock.Milliseconds(6))
	}
	if !term.tooSlow(now.Add(5 * constants.ResignBackoff)) {
		t.Fatal("kept its duty on a slow disk")
	}
}

// Repair takes no slow or silent store for a newcomer, and no member for gone that
// still answers.
func TestRepairChoosesAQuickStore(t *testing.T) {
	server, freeCapacity := soleLocker(t, simulation.NewDisk(9)), transport.NewMemoryNetwork()
	server.Node.Transport = freeCapacity.Transport("m")
	server.Node.Settings.FaultBudget.Machines = 1
	server.startedAt -= 60_000_000_000
	words := map[string]string{"s1": "slow", "s2": "usual"}
	serve := func(name string) {
		_ = freeCapacity.Transport(name).Serve(func(messages.Kind, []byte) ([]byte, error) {
			return transport.Encode(&messages.StatusResponse{Rows: [][]string{{words[name], "9"}}})
		})
	}
	serve("s1")
	serve("s2")
	members := []messages.Member{server.member(), {Name: "a", Address: "a", Disk: "a"}, {Name: "gone", Address: "gone", Disk: "g"}}
	entries := func() map[string]messages.NodeInfo {
		known := map[string]messages.NodeInfo{"gone": {Name: "gone", Disk: "g", AgeMs: 60_000}, "a": {Name: "a", Disk: "a"}}
		for number := 0; number < 3; number++ {
			name := fmt.Sprint("s", number)
			known[name] = messages.NodeInfo{Name: name, Address: name, Disk: name}
		}
		return known
	}
	out, joiner := server.nextResponsiveChange(members, entries(), map[string]bool{})
	if out == nil || out.Name != "gone" || joiner == nil || joiner.Name != "s2" {
		t.Fatal(out, joiner)
	}
	words["s2"] = "slow"
	if _, joiner = server.nextResponsiveChange(members, entries(), map[string]bool{}); joiner != nil {
		t.Fatal("took a slow store: ", joiner.Name)
	}
	words["s2"] = "usual"
	serve("gone")
	if out, joiner = server.nextResponsiveChange(members, entries(), map[string]bool{}); joiner != nil {
		t.Fatal("replaced a member that answers: ", out.Name)
	}
	// One that is to be emptied goes although it answers.
	if out, joiner = server.nextResponsiveChange(members, entries(), map[string]bool{"gone": true}); joiner == nil || out.Name != "gone" {
		t.Fatal(out, joiner)
	}
}
