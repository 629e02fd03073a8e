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
