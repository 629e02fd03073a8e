package locker

import (
	"fmt"
	"math/rand"
	"testing"

	"lemonarch/internal/almanac"
	"lemonarch/internal/model"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/vise"
	"lemonarch/internal/watch"
)

// Noise, a collector's pause and a slow start make no slow machine; seven times
// longer at a stretch does, and it ends with the trouble.
func TestPaceOfAMachine(test *testing.T) {
	for seed := int64(1); seed <= 50; seed++ {
		random, one := rand.New(rand.NewSource(seed)), &pace{}
		took := func(factor float64) watch.Span {
			noise := 1 + 0.4*random.Float64()
			if random.Intn(6) == 0 {
				noise *= 20
			}
			return watch.Span(factor * noise * 60_000)
		}
		for step := 0; step < 400; step++ {
			one.note(took(1))
			// Four long times in a row by chance are rarer than one in a thousand.
			if one.slow() && step%97 == 0 {
				test.Fatalf("seed %d: slow without a cause at %d", seed, step)
			}
		}
		for step := 0; step < almanac.PaceWindow; step++ {
			one.note(took(7))
		}
		if !one.slow() {
			test.Fatalf("seed %d: not seen", seed)
		}
		for step := 0; step < 3*almanac.PaceWindow; step++ {
			one.note(watch.Span(70_000))
		}
		if one.slow() {
			test.Fatalf("seed %d: still slow", seed)
		}
	}
}

func TestLagOfADisk(test *testing.T) {
	one := newLags()
	for round := 0; round < 20; round++ {
		one.note("own", 5)
		one.note("a", 7)
		one.note("b", 8)
		one.note("c", 9)
	}
	if one.behind("own") {
		test.Fatal("a usual disk was called slow")
	}
	for round := 0; round < 20; round++ {
		one.note("own", 36)
	}
	if !one.behind("own") || one.behind("a") {
		test.Fatal(one.means)
	}
	// Where all are slow nobody is.
	for round := 0; round < 30; round++ {
		one.note("a", 40)
		one.note("b", 41)
		one.note("c", 42)
	}
	if one.behind("own") {
		test.Fatal("as slow as the others, yet called slow")
	}
	few := newLags()
	few.note("own", 500)
	few.note("a", 1)
	if few.behind("own") {
		test.Fatal("one time is no evidence")
	}
}

// slowDown makes a machine look slow to itself.
func slowDown(locker *Locker) {
	locker.pace = pace{}
	locker.pace.note(10_000)
	for step := 0; step < almanac.PaceWindow; step++ {
		locker.pace.note(90_000)
	}
}

// A slow holder gives its duty up once, leaves it to others for a while, and then
// takes part again although it is still slow.
func TestSlowHolderGivesUp(test *testing.T) {
	locker := soleLocker(test, model.NewDisk(8))
	own := locker.member()
	other := pattern.Member{Name: "o", Address: "o", Disk: "o"}
	one := newReign(locker, pattern.Duty{Holder: "m", Epoch: 1}, []pattern.Member{own, other}, 1)
	now := watch.Moment(1_000_000_000)
	if one.tooSlow(now) || locker.defers(now) {
		test.Fatal("gave up without a cause")
	}
	slowDown(locker)
	if !one.tooSlow(now) || one.tooSlow(now.Plus(watch.Milliseconds(100))) {
		test.Fatal("gives up never, or again at once")
	}
	if !locker.defers(now.Plus(almanac.DeferTime/2)) || locker.defers(now.Plus(almanac.DeferTime)) {
		test.Fatal("does not hold back, or for too long")
	}
	if !one.tooSlow(now.Plus(almanac.GiveUpPause)) {
		test.Fatal("never gives up again")
	}
	// Alone it goes on, however slow.
	alone := newReign(locker, pattern.Duty{Holder: "m", Epoch: 2}, []pattern.Member{own}, 1)
	if alone.tooSlow(now.Plus(3 * almanac.GiveUpPause)) {
		test.Fatal("nobody is there to take it")
	}
	// A slow disk is a cause as well.
	locker.pace = pace{}
	for round := 0; round < 10; round++ {
		one.lagged(vise.Identity(own), watch.Milliseconds(60))
		one.lagged(vise.Identity(other), watch.Milliseconds(6))
	}
	if !one.tooSlow(now.Plus(5 * almanac.GiveUpPause)) {
		test.Fatal("kept its duty on a slow disk")
	}
}

// Repair takes no slow or silent store for a newcomer, and no member for gone that
// still answers.
func TestRepairChoosesAQuickStore(test *testing.T) {
	locker, room := soleLocker(test, model.NewDisk(9)), tongs.NewRoom()
	locker.Stand.Wire = room.Transport("m")
	locker.Stand.Boot.FaultBudget.Machines = 1
	locker.begun -= 60_000_000_000
	words := map[string]string{"s1": "slow", "s2": "usual"}
	serve := func(name string) {
		_ = room.Transport(name).Serve(func(pattern.Kind, []byte) ([]byte, error) {
			return tongs.Write(&pattern.Status{Rows: [][]string{{words[name], "9"}}})
		})
	}
	serve("s1")
	serve("s2")
	members := []pattern.Member{locker.member(), {Name: "a", Address: "a", Disk: "a"}, {Name: "gone", Address: "gone", Disk: "g"}}
	entries := func() map[string]pattern.Entry {
		known := map[string]pattern.Entry{"gone": {Name: "gone", Disk: "g", AgeMs: 60_000}, "a": {Name: "a", Disk: "a"}}
		for number := 0; number < 3; number++ {
			name := fmt.Sprint("s", number)
			known[name] = pattern.Entry{Name: name, Address: name, Disk: name}
		}
		return known
	}
	out, newcomer := locker.quickChange(members, entries(), map[string]bool{})
	if out == nil || out.Name != "gone" || newcomer == nil || newcomer.Name != "s2" {
		test.Fatal(out, newcomer)
	}
	words["s2"] = "slow"
	if _, newcomer = locker.quickChange(members, entries(), map[string]bool{}); newcomer != nil {
		test.Fatal("took a slow store: ", newcomer.Name)
	}
	words["s2"] = "usual"
	serve("gone")
	if out, newcomer = locker.quickChange(members, entries(), map[string]bool{}); newcomer != nil {
		test.Fatal("replaced a member that answers: ", out.Name)
	}
	// One that is to be emptied goes although it answers.
	if out, newcomer = locker.quickChange(members, entries(), map[string]bool{"gone": true}); newcomer == nil || out.Name != "gone" {
		test.Fatal(out, newcomer)
	}
}
