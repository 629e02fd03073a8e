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
type rough struct {
	random *rand.Rand
	now    clock.Instant
	gates  map[string]*gate
	stores map[string]*keeper
	// late holds the frames that are still under way.
	late []func()
	// taken says by which try each lot came to stand.
	taken map[string]string
	// calm makes trouble rarer, the more the higher.
	calm int
	// vacant says that nobody gets the duty in this history's time.
	vacant bool
}

// keeper is a store as far as hand-ins see it.
type keeper struct {
	holds, full bool
	once        transport.Deduplicator
}

func (r *rough) deliver(address string, body []byte) []byte {
	if one := r.gates[address]; one != nil {
		answer, _ := one.runtime.Dispatch(messages.KindJobCall, body)
		return answer
	}
	call := &messages.JobCallRequest{}
	_ = transport.Decode(body, call)
	one, answer := r.stores[address], &messages.JobCallResponse{}
	switch {
	case !one.once.First(call.RequestID, r.now):
		answer.Status = 504
	case !one.holds:
		answer.NotLeader = true
	case r.taken[call.Job] != "":
		answer.Status = 202
	case one.full:
		answer.Status = 429
	default:
		r.taken[call.Job] = string(call.Body)
		answer.Status = 202
	}
	packed, _ := transport.Encode(answer)
	return packed
}

// turn lets the duty and the room change, and late frames arrive.
func (r *rough) turn() {
	names := []string{"l0", "l1", "l2"}
	if r.random.Intn(3) == 0 {
		holder := names[r.random.Intn(3)]
		for _, name := range names {
			r.stores[name].holds = !r.vacant && name == holder && r.random.Intn(4) > 0
			r.stores[name].full = r.random.Intn(2) == 0
		}
	}
	for len(r.late) > 0 && r.random.Intn(2) == 0 {
		place := r.random.Intn(len(r.late))
		frame := r.late[place]
		r.late = append(r.late[:place], r.late[place+1:]...)
		frame()
	}
}

// connection is one gateway's transport.
type connection struct{ world *rough }

func (c connection) Serve(transport.Handler) error { return nil }
func (c connection) Close()                        {}

func (c connection) Call(address string, _ messages.Kind, body []byte, span clock.Duration) ([]byte, error) {
	world := c.world
	world.turn()
	again := func() { world.deliver(address, body) }
	switch world.random.Intn(8 + world.calm) {
	case 0:
		world.now = world.now.Add(span)
		return nil, transport.ErrTimeout.New("lost")
	case 1:
		world.now = world.now.Add(span)
		world.late = append(world.late, again)
		return nil, transport.ErrTimeout.New("slow")
	case 2:
		world.now = world.now.Add(span)
		world.deliver(address, body)
		return nil, transport.ErrTimeout.New("answer lost")
	case 3:
		return nil, transport.ErrUnreachable.New("nobody there")
	case 4:
		world.late = append(world.late, again)
	}
	return world.deliver(address, body), nil
}

func newRough(seed int64) *rough {
	world := &rough{random: rand.New(rand.NewSource(seed)), now: 1, gates: map[string]*gate{}, stores: map[string]*keeper{}, taken: map[string]string{}}
	world.calm, world.vacant = world.random.Intn(3)*60, world.random.Intn(4) == 0
	entries := []messages.NodeInfo{}
	for number := 0; number < 3; number++ {
		name := fmt.Sprint("l", number)
		world.stores[name] = &keeper{}
		entries = append(entries, messages.NodeInfo{Name: name, Role: membership.RoleStore, Address: name})
		entries = append(entries, messages.NodeInfo{Name: fmt.Sprint("f", number), Role: membership.RoleGateway, Address: fmt.Sprint("f", number)})
	}
	for number := 0; number < 3; number++ {
		name := fmt.Sprint("f", number)
		nodeSettings := &settings.Settings{NodeName: name, Address: "10.0.0.1", InternalPorts: []int{1, 9}}
		runtime := agent.New(nodeSettings, membership.RoleGateway, 1, "", hclog.NewNullLogger())
		runtime.Transport = connection{world}
		runtime.Observe(entries)
		one := newGate(runtime)
		one.now = func() clock.Instant { return world.now }
		one.pause = func(span clock.Duration) { world.now = world.now.Add(span); world.turn() }
		one.draw = world.random.Float64
		world.gates[name] = one
	}
	return world
}

// A lot is handed in at one node after the other while calls are slow, lost and
// doubled in every order. A try that was told 429 or 503 never leaves a record.
func TestRefusedLotsNeverStand(t *testing.T) {
	told := map[int]int{}
	for seed := int64(1); seed <= 1500; seed++ {
		world := newRough(seed)
		refused := map[string]int{}
		for lot := 0; lot < 2; lot++ {
			for try := 0; try < 3; try++ {
				name, mark := fmt.Sprint("lot", lot), fmt.Sprint(lot, "/", try)
				call := &messages.JobCallRequest{Method: "POST", Job: name, Body: []byte(mark)}
				answer, maybe := world.gates[fmt.Sprint("f", try)].Pass(call, clock.Milliseconds(3000))
				status := 503
				if answer != nil {
					status = answer.Status
				} else if maybe {
					status = 504
				}
				told[status]++
				if status == 202 && world.taken[name] == "" {
					t.Fatalf("seed %d: %s was told 202 and does not stand", seed, mark)
				}
				if promises(status) {
					refused[mark] = status
				}
				world.turn()
			}
		}
		// Whatever is still under way arrives in the end.
		for _, one := range world.stores {
			one.holds, one.full = true, false
		}
		for len(world.late) > 0 {
			frame := world.late[0]
			world.late = world.late[1:]
			frame()
		}
		for lot, mark := range world.taken {
			if status := refused[mark]; status > 0 {
				t.Fatalf("seed %d: %s was told %d and then taken by that very try", seed, lot, status)
			}
		}
	}
	for _, status := range []int{202, 429, 503, 504} {
		if told[status] < 50 {
			t.Error("too few to say anything: ", status, told)
		}
	}
	t.Log(told)
}

// The call that waited on a silent holder may still be taken there: a refusal by
// the one after it is no promise.
func TestRefusalAfterSilenceIsNoPromise(t *testing.T) {
	room := transport.NewMemoryNetwork()
	nodeSettings := &settings.Settings{NodeName: "n", Address: "10.0.0.1", InternalPorts: []int{1, 9}}
	runtime := agent.New(nodeSettings, membership.RoleGateway, 1, "", hclog.NewNullLogger())
	runtime.Transport = room.Transport("gateway")
	one := newGate(runtime)
	asked, hold := make(chan struct{}), make(chan struct{})
	defer close(hold)
	_ = room.Transport("old").Serve(func(messages.Kind, []byte) ([]byte, error) {
		close(asked)
		<-hold
		return nil, nil
	})
	_ = room.Transport("new").Serve(func(messages.Kind, []byte) ([]byte, error) {
		return transport.Encode(&messages.JobCallResponse{Status: 429})
	})
	one.duty = messages.Leadership{Epoch: 1, Address: "old"}
	back := make(chan *messages.JobCallResponse, 1)
	go func() {
		answer, _ := one.Pass(&messages.JobCallRequest{Method: "POST", Job: "l"}, clock.Milliseconds(60_000))
		back <- answer
	}()
	<-asked
	one.learn(&messages.LeaderAnnouncement{Leadership: messages.Leadership{Epoch: 2, Address: "new"}})
	if answer := <-back; answer == nil || answer.Status != 504 {
		t.Fatal(answer)
	}
}

// A relay that met silence says so: the first gateway, which reached nobody itself,
// has nothing to promise.
func TestSilenceBehindARelayIsNoPromise(t *testing.T) {
	world := newRough(1)
	room := transport.NewMemoryNetwork()
	cut, near := world.gates["f0"], world.gates["f1"]
	for _, one := range []*gate{cut, near} {
		one.runtime.Transport = room.Transport(one.runtime.Self.Name)
	}
	_ = near.runtime.Transport.Serve(near.runtime.Dispatch)
	// The stores are known under addresses at which the first gateway finds nobody,
	// and the second finds one that stays silent.
	near.duty = messages.Leadership{Epoch: 1, Address: "silent"}
	_ = room.Transport("silent").Serve(func(messages.Kind, []byte) ([]byte, error) { return nil, nil })
	room.SetPartitioned("silent", true)
	answer, maybe := cut.Pass(&messages.JobCallRequest{Method: "POST", Job: "l"}, clock.Milliseconds(3000))
	if !maybe || (answer != nil && answer.Status != 504) {
		t.Fatal(answer, maybe)
	}
}
