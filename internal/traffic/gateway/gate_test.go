package gateway

import (
	"testing"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/node"
	"lemonarch/internal/platform/settings"
	"lemonarch/internal/platform/transport"
)

// A call that waits for a holder that fell silent goes to the next one as soon as
// that is known, not when its time is up.
func TestCallsFollowTheDuty(t *testing.T) {
	room := transport.NewRoom()
	nodeSettings := &settings.Settings{NodeName: "n", Address: "10.0.0.1", InternalPorts: []int{1, 9}}
	runtime := node.New(nodeSettings, membership.RoleGateway, 1, "", hclog.NewNullLogger())
	runtime.Wire = room.Transport("gateway")
	one := newGate(runtime)
	asked := make(chan struct{})
	hold := make(chan struct{})
	defer close(hold)
	_ = room.Transport("old").Serve(func(messages.Kind, []byte) ([]byte, error) {
		close(asked)
		<-hold
		return nil, nil
	})
	_ = room.Transport("new").Serve(func(messages.Kind, []byte) ([]byte, error) {
		return transport.Write(&messages.LotAnswer{Status: 202})
	})
	one.duty = messages.Duty{Epoch: 1, Address: "old"}
	type result struct {
		answer *messages.LotAnswer
		maybe  bool
	}
	back := make(chan result, 1)
	go func() {
		answer, maybe := one.Pass(&messages.LotCall{Method: "POST", Lot: "l"}, clock.Milliseconds(60_000))
		back <- result{answer, maybe}
	}()
	<-asked
	begun := clock.Now()
	one.learn(&messages.HolderTold{Duty: messages.Duty{Epoch: 2, Address: "new"}})
	got := <-back
	if got.answer == nil || got.answer.Status != 202 || !got.maybe {
		t.Fatal(got)
	}
	if waited := clock.Now().Since(begun); waited > clock.Milliseconds(600) {
		t.Fatal("waited out the old holder: ", waited)
	}
	// An older word changes nothing.
	one.learn(&messages.HolderTold{Duty: messages.Duty{Epoch: 1, Address: "old"}})
	if address, _ := one.holder(); address != "new" {
		t.Fatal(address)
	}
}

// A gateway that reaches no store has another gateway pass its calls on, once.
func TestCutOffGatewayRelays(t *testing.T) {
	room := transport.NewRoom()
	gates := map[string]*gate{}
	for _, name := range []string{"cut", "near"} {
		nodeSettings := &settings.Settings{NodeName: name, Address: "10.0.0.1", InternalPorts: []int{1, 9}}
		runtime := node.New(nodeSettings, membership.RoleGateway, 1, "", hclog.NewNullLogger())
		runtime.Wire = room.Transport(name)
		gates[name] = newGate(runtime)
		_ = runtime.Wire.Serve(func(kind messages.Kind, body []byte) ([]byte, error) {
			if kind != messages.KindLotCall {
				return nil, nil
			}
			return gates[name].relayed(body)
		})
	}
	var calls []bool
	_ = room.Transport("store").Serve(func(_ messages.Kind, body []byte) ([]byte, error) {
		call := &messages.LotCall{}
		_ = transport.Read(body, call)
		calls = append(calls, call.Relayed)
		return transport.Write(&messages.LotAnswer{Status: 202})
	})
	// The cut one knows stores that it can't reach, and one gateway that it can.
	know := func(name string, entries ...messages.Entry) { gates[name].runtime.Hear(entries) }
	know("cut", messages.Entry{Name: "x", Role: membership.RoleStore, Address: "nowhere-1"},
		messages.Entry{Name: "y", Role: membership.RoleStore, Address: "nowhere-2"},
		messages.Entry{Name: "near", Role: membership.RoleGateway, Address: "near"})
	know("near", messages.Entry{Name: "z", Role: membership.RoleStore, Address: "store"})
	answer, _ := gates["cut"].Pass(&messages.LotCall{Method: "POST", Lot: "l"}, clock.Milliseconds(5000))
	if answer == nil || answer.Status != 202 || len(calls) != 1 || !calls[0] {
		t.Fatal(answer, calls)
	}
	// Where the other gateway can't either, nothing ran and nothing is claimed.
	room.Transport("store").Close()
	if answer, maybe := gates["cut"].Pass(&messages.LotCall{Method: "POST", Lot: "l"}, clock.Milliseconds(1500)); answer != nil || maybe {
		t.Fatal(answer, maybe)
	}
}
