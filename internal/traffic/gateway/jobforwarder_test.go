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

// A call that waits for an unresponsive leader must go to the next leader as soon as that is announced,
// not when the call times out.
func TestWaitingCallSwitchesToNewLeader(t *testing.T) {
	network := transport.NewMemoryNetwork()
	nodeSettings := &settings.Settings{NodeName: "n", Address: "10.0.0.1", InternalPorts: []int{1, 9}}
	runtime := agent.New(nodeSettings, membership.RoleGateway, 1, "", hclog.NewNullLogger())
	runtime.Transport = network.Transport("gateway")
	forwarder := newJobForwarder(runtime)
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
	forwarder.leadership = messages.Leadership{Epoch: 1, Address: "old"}
	type result struct {
		response   *messages.JobCallResponse
		mayHaveRun bool
	}
	results := make(chan result, 1)
	go func() {
		resp, mayHaveRun := forwarder.Forward(&messages.JobCallRequest{Method: "POST", Job: "l"}, clock.Milliseconds(60_000))
		results <- result{resp, mayHaveRun}
	}()
	<-tried
	started := clock.Now()
	forwarder.observeLeader(&messages.LeaderAnnouncement{Leadership: messages.Leadership{Epoch: 2, Address: "new"}})
	forwarded := <-results
	if forwarded.response == nil || forwarded.response.Status != 202 || !forwarded.mayHaveRun {
		t.Fatalf("got %+v, want status 202 from the new leader", forwarded)
	}
	if waited := clock.Now().Sub(started); waited > clock.Milliseconds(600) {
		t.Fatalf("call reached the new leader %v after its announcement, want 600 ms at most", waited)
	}
	// An announcement of an earlier epoch must be ignored.
	forwarder.observeLeader(&messages.LeaderAnnouncement{Leadership: messages.Leadership{Epoch: 1, Address: "old"}})
	if address, _ := forwarder.leader(); address != "new" {
		t.Fatalf("leader is %q after an earlier announcement, want new", address)
	}
}

// A gateway that can't reach a store must relay its calls through another gateway, marked as forwarded so
// that they are not relayed a second time.
func TestPartitionedGatewayRelaysItsCalls(t *testing.T) {
	network := transport.NewMemoryNetwork()
	gateways := map[string]*jobForwarder{}
	for _, name := range []string{"cut", "near"} {
		nodeSettings := &settings.Settings{NodeName: name, Address: "10.0.0.1", InternalPorts: []int{1, 9}}
		runtime := agent.New(nodeSettings, membership.RoleGateway, 1, "", hclog.NewNullLogger())
		runtime.Transport = network.Transport(name)
		gateways[name] = newJobForwarder(runtime)
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
	// The partitioned gateway knows stores that it can't reach, and one gateway that it can.
	observe := func(name string, nodes ...messages.NodeInfo) { gateways[name].runtime.Observe(nodes) }
	observe("cut", messages.NodeInfo{Name: "x", Role: membership.RoleStore, Address: "nowhere-1"},
		messages.NodeInfo{Name: "y", Role: membership.RoleStore, Address: "nowhere-2"},
		messages.NodeInfo{Name: "near", Role: membership.RoleGateway, Address: "near"})
	observe("near", messages.NodeInfo{Name: "z", Role: membership.RoleStore, Address: "store"})
	resp, _ := gateways["cut"].Forward(&messages.JobCallRequest{Method: "POST", Job: "l"}, clock.Milliseconds(5000))
	if resp == nil || resp.Status != 202 || len(calls) != 1 || !calls[0] {
		t.Fatalf("got %+v and calls at the store with Forwarded %v, want status 202 and one call with true",
			resp, calls)
	}
	// If the other gateway can't reach a store either, nothing ran and there is no response.
	network.Transport("store").Close()
	if resp, mayHaveRun := gateways["cut"].Forward(&messages.JobCallRequest{Method: "POST", Job: "l"}, clock.Milliseconds(1500)); resp != nil || mayHaveRun {
		t.Fatalf("got %+v, may have run: %v, want no response and nothing run", resp, mayHaveRun)
	}
}
