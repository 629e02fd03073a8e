package forge

import (
	"testing"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/bellows"
	"lemonarch/internal/boot"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/trestle"
	"lemonarch/internal/watch"
)

// A call that waits for a holder that fell silent goes to the next one as soon as
// that is known, not when its time is up.
func TestCallsFollowTheDuty(test *testing.T) {
	room := tongs.NewRoom()
	settings := &boot.Boot{NodeName: "n", Address: "10.0.0.1", InternalPorts: []int{1, 9}}
	stand := trestle.New(settings, bellows.RoleForge, 1, "", hclog.NewNullLogger())
	stand.Wire = room.Transport("forge")
	one := newGate(stand)
	asked := make(chan struct{})
	hold := make(chan struct{})
	defer close(hold)
	_ = room.Transport("old").Serve(func(pattern.Kind, []byte) ([]byte, error) {
		close(asked)
		<-hold
		return nil, nil
	})
	_ = room.Transport("new").Serve(func(pattern.Kind, []byte) ([]byte, error) {
		return tongs.Write(&pattern.LotAnswer{Status: 202})
	})
	one.duty = pattern.Duty{Epoch: 1, Address: "old"}
	type outcome struct {
		answer *pattern.LotAnswer
		maybe  bool
	}
	back := make(chan outcome, 1)
	go func() {
		answer, maybe := one.Pass(&pattern.LotCall{Method: "POST", Lot: "l"}, watch.Milliseconds(60_000))
		back <- outcome{answer, maybe}
	}()
	<-asked
	begun := watch.Now()
	one.learn(&pattern.HolderTold{Duty: pattern.Duty{Epoch: 2, Address: "new"}})
	got := <-back
	if got.answer == nil || got.answer.Status != 202 || !got.maybe {
		test.Fatal(got)
	}
	if waited := watch.Now().Since(begun); waited > watch.Milliseconds(600) {
		test.Fatal("waited out the old holder: ", waited)
	}
	// An older word changes nothing.
	one.learn(&pattern.HolderTold{Duty: pattern.Duty{Epoch: 1, Address: "old"}})
	if address, _ := one.holder(); address != "new" {
		test.Fatal(address)
	}
}

// A forge that reaches no locker has another forge pass its calls on, once.
func TestCutOffForgeRelays(test *testing.T) {
	room := tongs.NewRoom()
	gates := map[string]*gate{}
	for _, name := range []string{"cut", "near"} {
		settings := &boot.Boot{NodeName: name, Address: "10.0.0.1", InternalPorts: []int{1, 9}}
		stand := trestle.New(settings, bellows.RoleForge, 1, "", hclog.NewNullLogger())
		stand.Wire = room.Transport(name)
		gates[name] = newGate(stand)
		_ = stand.Wire.Serve(func(kind pattern.Kind, body []byte) ([]byte, error) {
			if kind != pattern.KindLotCall {
				return nil, nil
			}
			return gates[name].relayed(body)
		})
	}
	var calls []bool
	_ = room.Transport("locker").Serve(func(_ pattern.Kind, body []byte) ([]byte, error) {
		call := &pattern.LotCall{}
		_ = tongs.Read(body, call)
		calls = append(calls, call.Relayed)
		return tongs.Write(&pattern.LotAnswer{Status: 202})
	})
	// The cut one knows lockers that it can't reach, and one forge that it can.
	know := func(name string, entries ...pattern.Entry) { gates[name].stand.Hear(entries) }
	know("cut", pattern.Entry{Name: "x", Role: bellows.RoleLocker, Address: "nowhere-1"},
		pattern.Entry{Name: "y", Role: bellows.RoleLocker, Address: "nowhere-2"},
		pattern.Entry{Name: "near", Role: bellows.RoleForge, Address: "near"})
	know("near", pattern.Entry{Name: "z", Role: bellows.RoleLocker, Address: "locker"})
	answer, _ := gates["cut"].Pass(&pattern.LotCall{Method: "POST", Lot: "l"}, watch.Milliseconds(5000))
	if answer == nil || answer.Status != 202 || len(calls) != 1 || !calls[0] {
		test.Fatal(answer, calls)
	}
	// Where the other forge can't either, nothing ran and nothing is claimed.
	room.Transport("locker").Close()
	if answer, maybe := gates["cut"].Pass(&pattern.LotCall{Method: "POST", Lot: "l"}, watch.Milliseconds(1500)); answer != nil || maybe {
		test.Fatal(answer, maybe)
	}
}
