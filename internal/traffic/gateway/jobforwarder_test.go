package gateway

import (
	"testing"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/control/agent"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/settings"
	"lemonarch/internal/platform/transport"
)

// A call that waits for a holder that fell silent goes to the next one as soon as
// that is known, not when its time is up.
func TestCallsFollowTheLeader(t *testing.T) {
	network := transport.NewMemoryNetwork()
	nodeSettings := &settings.Settings{NodeName: "n", Address: "10.0.0.1", InternalPorts: []int{1, 9}}
	runtime := agent.New(nodeSettings, membership.RoleGateway, 1, "", hclog.NewNullLogger())
	runtime.Transport = network.Transport("gateway")
	entry := newJobForwarder(runtime)
	tried := make(chan struct{})
	block := make(chan struct{})
	defer close(block)
	_ = network.Transport("old").Serve(func(messages.Kind, []byte) ([]byte, error) {
		close(tried)
		<-block
		return nil, nil
	})
	_ = network.Transport("new").Serve(func(messages.Kind, []byte) ([]byte, error) {
		return transport.Encode(&messages.JobCallResponse{Status: 202})
	})
	entry.leadership = messages.Leadership{Epoch: 1, Address: "old"}
	type result struct {
		answer *messages.JobCallResponse
		maybe  bool
	}
	results := make(chan result, 1)
	go func() {
		resp, mayHaveRun := entry.Forward(&messages.JobCallRequest{Method: "POST", Job: "l"}, clock.Milliseconds(60_000))
		results <- result{resp, mayHaveRun}
	}()
	<-tried
	started := clock.Now()
	entry.observeLeader(&messages.LeaderAnnouncement{Leadership: messages.Leadership{Epoch: 2, Address: "new"}})
	got := <-results
	if got.answer == nil || got.answer.Status != 202 || !got.maybe {
		t.Fatal(got)
	}
	if waited := clock.Now().Sub(started); waited > clock.Milliseconds(600) {
		t.Fatal("waited out the old holder: ", waited)
	}
	// An older word changes nothing.
	entry.observeLeader(&messages.LeaderAnnouncement{Leadership: messages.Leadership{Epoch: 1, Address: "old"}})
	if address, _ := entry.leader(); address != "new" {
		t.Fatal(address)
	}
}

// A gateway that reaches no store has another gateway pass its calls on, once.
func TestPartitionedGatewayRelays(t *testing.T) {
	network := transport.NewMemoryNetwork()
	gates := map[string]*jobForwarder{}
	for _, name := range []string{"cut", "near"} {
		nodeSettings := &settings.Settings{NodeName: name, Address: "10.0.0.1", InternalPorts: []int{1, 9}}
		runtime := agent.New(nodeSettings, membership.RoleGateway, 1, "", hclog.NewNullLogger())
		runtime.Transport = network.Transport(name)
		gates[name] = newJobForwarder(runtime)
		_ = runtime.Transport.Serve(func(kind messages.Kind, body []byte) ([]byte, error) {
			if kind != messages.KindJobCall {
				return nil, nil
			}
			return runtime.Dispatch(kind, body)
		})
	}
	var calls []bool
	_ = network.Transport("store").Serve(func(_ messages.Kind, body []byte) ([]byte, error) {
		call := &messages.JobCallRequest{}
		_ = transport.Decode(body, call)
		calls = append(calls, call.Forwarded)
		return transport.Encode(&messages.JobCallResponse{Status: 202})
	})
	// The cut one knows stores that it can't reach, and one gateway that it can.
	know := func(name string, entries ...messages.NodeInfo) { gates[name].runtime.Observe(entries) }
	know("cut", messages.NodeInfo{Name: "x", Role: membership.RoleStore, Address: "nowhere-1"},
		messages.NodeInfo{Name: "y", Role: membership.RoleStore, Address: "nowhere-2"},
		messages.NodeInfo{Name: "near", Role: membership.RoleGateway, Address: "near"})
	know("near", messages.NodeInfo{Name: "z", Role: membership.RoleStore, Address: "store"})
	resp, _ := gates["cut"].Forward(&messages.JobCallRequest{Method: "POST", Job: "l"}, clock.Milliseconds(5000))
	if resp == nil || resp.Status != 202 || len(calls) != 1 || !calls[0] {
		t.Fatal(resp, calls)
	}
	// Where the other gateway can't either, nothing ran and nothing is claimed.
	network.Transport("store").Close()
	if resp, mayHaveRun := gates["cut"].Forward(&messages.JobCallRequest{Method: "POST", Job: "l"}, clock.Milliseconds(1500)); resp != nil || mayHaveRun {
		t.Fatal(resp, mayHaveRun)
	}
}
