package gateway

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/control/agent"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/settings"
	"lemonarch/internal/platform/transport"
)

// simulation is a simulated network in which calls arrive late, twice, or not at all, and responses are
// lost. It is deterministic for a seed: time is simulated and nothing in it waits.
type simulation struct {
	random   *rand.Rand
	now      clock.Instant
	gateways map[string]*jobForwarder
	stores   map[string]*storeStub
	// late contains the frames that have not been delivered yet.
	late []func()
	// accepted maps each accepted job to the attempt that submitted it.
	accepted map[string]string
	// faultRarity makes faults rarer the higher it is.
	faultRarity int
	// noLeader means that no store leads throughout the simulation.
	noLeader bool
}

// storeStub is the part of a store that handles submissions.
type storeStub struct {
	leads, full  bool
	deduplicator transport.Deduplicator
}

// deliver delivers a frame to a gateway or a store and returns the response.
func (r *simulation) deliver(address string, body []byte) []byte {
	if forwarder := r.gateways[address]; forwarder != nil {
		resp, _ := forwarder.runtime.Dispatch(messages.KindJobCall, body)
		return resp
	}
	call := &messages.JobCallRequest{}
	_ = transport.Decode(body, call)
	store, resp := r.stores[address], &messages.JobCallResponse{}
	switch {
	case !store.deduplicator.First(call.RequestID, r.now):
		resp.Status = 504
	case !store.leads:
		resp.NotLeader = true
	case r.accepted[call.Job] != "":
		resp.Status = 202
	case store.full:
		resp.Status = 429
	default:
		r.accepted[call.Job] = string(call.Body)
		resp.Status = 202
	}
	encoded, _ := transport.Encode(resp)
	return encoded
}

// step randomly changes the leadership and delivers late frames.
func (r *simulation) step() {
	names := []string{"l0", "l1", "l2"}
	if r.random.Intn(3) == 0 {
		leader := names[r.random.Intn(3)]
		for _, name := range names {
			r.stores[name].leads = !r.noLeader && name == leader && r.random.Intn(4) > 0
			r.stores[name].full = r.random.Intn(2) == 0
		}
	}
	for len(r.late) > 0 && r.random.Intn(2) == 0 {
		i := r.random.Intn(len(r.late))
		frame := r.late[i]
		r.late = append(r.late[:i], r.late[i+1:]...)
		frame()
	}
}

// simulatedTransport is one gateway's transport in the simulation.
type simulatedTransport struct{ sim *simulation }

func (c simulatedTransport) Serve(transport.Handler) error { return nil }
func (c simulatedTransport) Close()                        {}

func (c simulatedTransport) Call(address string, _ messages.Kind, body []byte, timeout clock.Duration) ([]byte, error) {
	sim := c.sim
	sim.step()
	deliverLater := func() { sim.deliver(address, body) }
	switch sim.random.Intn(8 + sim.faultRarity) {
	case 0:
		sim.now = sim.now.Add(timeout)
		return nil, transport.ErrTimeout.New("lost")
	case 1:
		sim.now = sim.now.Add(timeout)
		sim.late = append(sim.late, deliverLater)
		return nil, transport.ErrTimeout.New("slow")
	case 2:
		sim.now = sim.now.Add(timeout)
		sim.deliver(address, body)
		return nil, transport.ErrTimeout.New("answer lost")
	case 3:
		return nil, transport.ErrUnreachable.New("no process at the address")
	case 4:
		sim.late = append(sim.late, deliverLater)
	}
	return sim.deliver(address, body), nil
}

func newSimulation(seed int64) *simulation {
	sim := &simulation{random: rand.New(rand.NewSource(seed)), now: 1, gateways: map[string]*jobForwarder{}, stores: map[string]*storeStub{}, accepted: map[string]string{}}
	sim.faultRarity, sim.noLeader = sim.random.Intn(3)*60, sim.random.Intn(4) == 0
	nodes := []messages.NodeInfo{}
	for number := 0; number < 3; number++ {
		name := fmt.Sprint("l", number)
		sim.stores[name] = &storeStub{}
		nodes = append(nodes, messages.NodeInfo{Name: name, Role: membership.RoleStore, Address: name})
		nodes = append(nodes, messages.NodeInfo{Name: fmt.Sprint("f", number), Role: membership.RoleGateway, Address: fmt.Sprint("f", number)})
	}
	for number := 0; number < 3; number++ {
		name := fmt.Sprint("f", number)
		nodeSettings := &settings.Settings{NodeName: name, Address: "10.0.0.1", InternalPorts: []int{1, 9}}
		runtime := agent.New(nodeSettings, membership.RoleGateway, 1, "", hclog.NewNullLogger())
		runtime.Transport = simulatedTransport{sim}
		runtime.Observe(nodes)
		forwarder := newJobForwarder(runtime)
		forwarder.now = func() clock.Instant { return sim.now }
		forwarder.sleep = func(timeout clock.Duration) { sim.now = sim.now.Add(timeout); sim.step() }
		forwarder.random = sim.random.Float64
		sim.gateways[name] = forwarder
	}
	return sim
}

// A job is submitted through one gateway after another while calls are delayed, lost and duplicated in
// any order. An attempt that got a status that promises that it will not run, such as 429 or 503, must not
// be accepted later.
func TestRejectedJobsNeverRun(t *testing.T) {
	statuses := map[int]int{}
	for seed := int64(1); seed <= 1500; seed++ {
		sim := newSimulation(seed)
		promisedNotRun := map[string]int{}
		for job := 0; job < 2; job++ {
			for attempt := 0; attempt < 3; attempt++ {
				name, attemptID := fmt.Sprint("lot", job), fmt.Sprint(job, "/", attempt)
				call := &messages.JobCallRequest{Method: "POST", Job: name, Body: []byte(attemptID)}
				resp, mayHaveRun := sim.gateways[fmt.Sprint("f", attempt)].Forward(call, clock.Milliseconds(3000))
				status := 503
				if resp != nil {
					status = resp.Status
				} else if mayHaveRun {
					status = 504
				}
				statuses[status]++
				if status == 202 && sim.accepted[name] == "" {
					t.Fatalf("seed %d: %s got status 202 but was not accepted", seed, attemptID)
				}
				if promisesNotRun(status) {
					promisedNotRun[attemptID] = status
				}
				sim.step()
			}
		}
		// Deliver all frames that are still late.
		for _, store := range sim.stores {
			store.leads, store.full = true, false
		}
		for len(sim.late) > 0 {
			frame := sim.late[0]
			sim.late = sim.late[1:]
			frame()
		}
		for job, attemptID := range sim.accepted {
			if status := promisedNotRun[attemptID]; status > 0 {
				t.Fatalf("seed %d, job %s: attempt %s got status %d, but was accepted", seed, job, attemptID, status)
			}
		}
	}
	for _, status := range []int{202, 429, 503, 504} {
		if statuses[status] < 50 {
			t.Errorf("%d responses with status %d, want at least 50; all: %v", statuses[status], status, statuses)
		}
	}
	t.Log(statuses)
}

// A call that timed out at an unresponsive leader may still be accepted there. A rejection by the next
// leader must therefore become 504, since it can't promise that the job will not run.
func TestRejectionAfterTimeoutIsOutcomeUnknown(t *testing.T) {
	network := transport.NewMemoryNetwork()
	nodeSettings := &settings.Settings{NodeName: "n", Address: "10.0.0.1", InternalPorts: []int{1, 9}}
	runtime := agent.New(nodeSettings, membership.RoleGateway, 1, "", hclog.NewNullLogger())
	runtime.Transport = network.Transport("gateway")
	forwarder := newJobForwarder(runtime)
	tried, block := make(chan struct{}), make(chan struct{})
	defer close(block)
	_ = network.Transport("old").Serve(func(messages.Kind, []byte) ([]byte, error) {
		close(tried)
		<-block
		return nil, nil
	})
	_ = network.Transport("new").Serve(func(messages.Kind, []byte) ([]byte, error) {
		return transport.Encode(&messages.JobCallResponse{Status: 429})
	})
	forwarder.leadership = messages.Leadership{Epoch: 1, Address: "old"}
	results := make(chan *messages.JobCallResponse, 1)
	go func() {
		resp, _ := forwarder.Forward(&messages.JobCallRequest{Method: "POST", Job: "l"}, clock.Milliseconds(60_000))
		results <- resp
	}()
	<-tried
	forwarder.observeLeader(&messages.LeaderAnnouncement{Leadership: messages.Leadership{Epoch: 2, Address: "new"}})
	if resp := <-results; resp == nil || resp.Status != 504 {
		t.Fatalf("got %+v, want status 504", resp)
	}
}

// A relaying gateway whose call to the store timed out must report an unknown outcome. The first gateway,
// which reached no store itself, must then not promise that the job will not run.
func TestTimeoutBehindARelayIsOutcomeUnknown(t *testing.T) {
	sim := newSimulation(1)
	network := transport.NewMemoryNetwork()
	partitioned, near := sim.gateways["f0"], sim.gateways["f1"]
	for _, forwarder := range []*jobForwarder{partitioned, near} {
		forwarder.runtime.Transport = network.Transport(forwarder.runtime.Self.Name)
	}
	_ = near.runtime.Transport.Serve(near.runtime.Dispatch)
	// The first gateway knows the stores under addresses that nothing listens on, and the second knows
	// one that does not respond.
	near.leadership = messages.Leadership{Epoch: 1, Address: "silent"}
	_ = network.Transport("silent").Serve(func(messages.Kind, []byte) ([]byte, error) { return nil, nil })
	network.SetPartitioned("silent", true)
	resp, mayHaveRun := partitioned.Forward(&messages.JobCallRequest{Method: "POST", Job: "l"}, clock.Milliseconds(3000))
	if !mayHaveRun || (resp != nil && resp.Status != 504) {
		t.Fatalf("got %+v, may have run: %v, want an unknown outcome", resp, mayHaveRun)
	}
}
