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

// rough is a world in which calls come late, twice, or not at all, and answers get
// lost. One seed gives one history: nothing in it waits.
type simulation struct {
	random   *rand.Rand
	now      clock.Instant
	gateways map[string]*jobForwarder
	stores   map[string]*storeStub
	// late holds the frames that are still under way.
	late []func()
	// taken says by which attempt each job came to stand.
	taken map[string]string
	// calm makes trouble rarer, the more the higher.
	faultRarity int
	// vacant says that nobody leads in this history's time.
	noLeader bool
}

// storeStub is a store as far as hand-ins see it.
type storeStub struct {
	leads, full  bool
	deduplicator transport.Deduplicator
}

func (r *simulation) deliver(address string, body []byte) []byte {
	if entry := r.gateways[address]; entry != nil {
		resp, _ := entry.runtime.Dispatch(messages.KindJobCall, body)
		return resp
	}
	call := &messages.JobCallRequest{}
	_ = transport.Decode(body, call)
	entry, resp := r.stores[address], &messages.JobCallResponse{}
	switch {
	case !entry.deduplicator.First(call.RequestID, r.now):
		resp.Status = 504
	case !entry.leads:
		resp.NotLeader = true
	case r.taken[call.Job] != "":
		resp.Status = 202
	case entry.full:
		resp.Status = 429
	default:
		r.taken[call.Job] = string(call.Body)
		resp.Status = 202
	}
	packed, _ := transport.Encode(resp)
	return packed
}

// turn lets the leadership and the network change, and late frames arrive.
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

// connection is one gateway's transport.
type simulatedTransport struct{ world *simulation }

func (c simulatedTransport) Serve(transport.Handler) error { return nil }
func (c simulatedTransport) Close()                        {}

func (c simulatedTransport) Call(address string, _ messages.Kind, body []byte, timeout clock.Duration) ([]byte, error) {
	world := c.world
	world.step()
	again := func() { world.deliver(address, body) }
	switch world.random.Intn(8 + world.faultRarity) {
	case 0:
		world.now = world.now.Add(timeout)
		return nil, transport.ErrTimeout.New("lost")
	case 1:
		world.now = world.now.Add(timeout)
		world.late = append(world.late, again)
		return nil, transport.ErrTimeout.New("slow")
	case 2:
		world.now = world.now.Add(timeout)
		world.deliver(address, body)
		return nil, transport.ErrTimeout.New("answer lost")
	case 3:
		return nil, transport.ErrUnreachable.New("nobody there")
	case 4:
		world.late = append(world.late, again)
	}
	return world.deliver(address, body), nil
}

func newSimulation(seed int64) *simulation {
	world := &simulation{random: rand.New(rand.NewSource(seed)), now: 1, gateways: map[string]*jobForwarder{}, stores: map[string]*storeStub{}, taken: map[string]string{}}
	world.faultRarity, world.noLeader = world.random.Intn(3)*60, world.random.Intn(4) == 0
	entries := []messages.NodeInfo{}
	for number := 0; number < 3; number++ {
		name := fmt.Sprint("l", number)
		world.stores[name] = &storeStub{}
		entries = append(entries, messages.NodeInfo{Name: name, Role: membership.RoleStore, Address: name})
		entries = append(entries, messages.NodeInfo{Name: fmt.Sprint("f", number), Role: membership.RoleGateway, Address: fmt.Sprint("f", number)})
	}
	for number := 0; number < 3; number++ {
		name := fmt.Sprint("f", number)
		nodeSettings := &settings.Settings{NodeName: name, Address: "10.0.0.1", InternalPorts: []int{1, 9}}
		runtime := agent.New(nodeSettings, membership.RoleGateway, 1, "", hclog.NewNullLogger())
		runtime.Transport = simulatedTransport{world}
		runtime.Observe(entries)
		entry := newJobForwarder(runtime)
		entry.now = func() clock.Instant { return world.now }
		entry.sleep = func(timeout clock.Duration) { world.now = world.now.Add(timeout); world.step() }
		entry.random = world.random.Float64
		world.gateways[name] = entry
	}
	return world
}

// A job is submitted at one node after the other while calls are slow, lost and
// doubled in every order. A try that was told 429 or 503 never leaves a record.
func TestRejectedJobsNeverRun(t *testing.T) {
	rejected := map[int]int{}
	for seed := int64(1); seed <= 1500; seed++ {
		world := newSimulation(seed)
		refused := map[string]int{}
		for job := 0; job < 2; job++ {
			for attempt := 0; attempt < 3; attempt++ {
				name, mark := fmt.Sprint("lot", job), fmt.Sprint(job, "/", attempt)
				call := &messages.JobCallRequest{Method: "POST", Job: name, Body: []byte(mark)}
				resp, mayHaveRun := world.gateways[fmt.Sprint("f", attempt)].Forward(call, clock.Milliseconds(3000))
				status := 503
				if resp != nil {
					status = resp.Status
				} else if mayHaveRun {
					status = 504
				}
				rejected[status]++
				if status == 202 && world.taken[name] == "" {
					t.Fatalf("seed %d: %s was told 202 and does not stand", seed, mark)
				}
				if promisesNotRun(status) {
					refused[mark] = status
				}
				world.step()
			}
		}
		// Whatever is still under way arrives in the end.
		for _, entry := range world.stores {
			entry.leads, entry.full = true, false
		}
		for len(world.late) > 0 {
			frame := world.late[0]
			world.late = world.late[1:]
			frame()
		}
		for job, mark := range world.taken {
			if status := refused[mark]; status > 0 {
				t.Fatalf("seed %d: %s was told %d and then taken by that very try", seed, job, status)
			}
		}
	}
	for _, status := range []int{202, 429, 503, 504} {
		if rejected[status] < 50 {
			t.Error("too few to say anything: ", status, rejected)
		}
	}
	t.Log(rejected)
}

// The call that waited on a silent holder may still be taken there: a refusal by
// the one after it is no promise.
func TestRejectionAfterTimeoutIsOutcomeUnknown(t *testing.T) {
	network := transport.NewMemoryNetwork()
	nodeSettings := &settings.Settings{NodeName: "n", Address: "10.0.0.1", InternalPorts: []int{1, 9}}
	runtime := agent.New(nodeSettings, membership.RoleGateway, 1, "", hclog.NewNullLogger())
	runtime.Transport = network.Transport("gateway")
	entry := newJobForwarder(runtime)
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
	entry.leadership = messages.Leadership{Epoch: 1, Address: "old"}
	results := make(chan *messages.JobCallResponse, 1)
	go func() {
		resp, _ := entry.Forward(&messages.JobCallRequest{Method: "POST", Job: "l"}, clock.Milliseconds(60_000))
		results <- resp
	}()
	<-tried
	entry.observeLeader(&messages.LeaderAnnouncement{Leadership: messages.Leadership{Epoch: 2, Address: "new"}})
	if resp := <-results; resp == nil || resp.Status != 504 {
		t.Fatal(resp)
	}
}

// A relay that met silence says so: the first gateway, which reached nobody itself,
// has nothing to promise.
func TestTimeoutBehindARelayIsOutcomeUnknown(t *testing.T) {
	world := newSimulation(1)
	network := transport.NewMemoryNetwork()
	partitioned, near := world.gateways["f0"], world.gateways["f1"]
	for _, entry := range []*jobForwarder{partitioned, near} {
		entry.runtime.Transport = network.Transport(entry.runtime.Self.Name)
	}
	_ = near.runtime.Transport.Serve(near.runtime.Dispatch)
	// The stores are known under addresses at which the first gateway finds nobody,
	// and the second finds one that stays silent.
	near.leadership = messages.Leadership{Epoch: 1, Address: "silent"}
	_ = network.Transport("silent").Serve(func(messages.Kind, []byte) ([]byte, error) { return nil, nil })
	network.SetPartitioned("silent", true)
	resp, mayHaveRun := partitioned.Forward(&messages.JobCallRequest{Method: "POST", Job: "l"}, clock.Milliseconds(3000))
	if !mayHaveRun || (resp != nil && resp.Status != 504) {
		t.Fatal(resp, mayHaveRun)
	}
}
