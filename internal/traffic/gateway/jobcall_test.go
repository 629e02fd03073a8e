package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/control/agent"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/settings"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/tooling/faultrelay"
)

// leaderStub is a store that answers each call with the name of its job, and keeps count of
// the hand-ins that it took.
type leaderStub struct {
	wire  *transport.TCP
	lock  sync.Mutex
	taken map[string]int
}

func newLeaderStub(t *testing.T) *leaderStub {
	t.Helper()

	entry := &leaderStub{wire: transport.NewTCP("127.0.0.1:0"), taken: map[string]int{}}
	err := entry.wire.Serve(func(_ messages.Kind, body []byte) ([]byte, error) {
		call := &messages.JobCallRequest{}
		if err := transport.Decode(body, call); err != nil {
			return nil, err
		}
		if call.Method == http.MethodPost {
			entry.lock.Lock()
			entry.taken[call.Job]++
			entry.lock.Unlock()
		}
		return transport.Encode(&messages.JobCallResponse{Status: http.StatusOK, Body: []byte(call.Job)})
	})
	if err != nil {
		t.Fatal(err)
	}
	return entry
}

func (h *leaderStub) submissions(job string) int {
	h.lock.Lock()
	defer h.lock.Unlock()
	return h.taken[job]
}

// jobFrameLength is about as long as a hand-in of this test, or its response, is on the wire.
const jobFrameLength = 130

// Whatever befalls the connection to the store that leads, at whichever byte: a
// caller's response is that of its own job, and no submission that was taken is answered as one that
// never will be.
func TestJobCallsAtEveryByte(t *testing.T) {
	const step = 7
	for _, trouble := range faultrelay.Faults() {
		for i := int(trouble) % step; i < 2*jobFrameLength; i += step {
			struck := faultrelay.Strike{Fault: trouble, Response: i >= jobFrameLength, At: i % jobFrameLength}
			t.Run(fmt.Sprint(trouble, struck.Response, struck.At), func(t *testing.T) {
				t.Parallel()
				runJobCalls(t, struck)
			})
		}
	}
}

func runJobCalls(t *testing.T, struck faultrelay.Strike) {
	t.Helper()

	store := newLeaderStub(t)
	defer store.wire.Close()
	relay, err := faultrelay.New(store.wire.Address())
	if err != nil {
		t.Fatal(err)
	}
	nodeSettings := &settings.Settings{NodeName: "n", Address: "127.0.0.1", InternalPorts: []int{1, 9}}
	runtime := agent.New(nodeSettings, membership.RoleGateway, 1, "", hclog.NewNullLogger())
	wire := transport.NewTCP("")
	defer wire.Close()
	runtime.Transport = wire
	entry := newJobForwarder(runtime)
	entry.leadership = messages.Leadership{Epoch: 1, Address: relay.Address()}
	var lock sync.Mutex
	refused := map[string]bool{}
	call := func(method, job string) {
		resp, mayHaveRun := entry.Forward(&messages.JobCallRequest{Method: method, Job: job}, clock.Milliseconds(40))
		if resp != nil && resp.Status == http.StatusOK && string(resp.Body) != job {
			t.Errorf("%s %s was answered for %q", method, job, resp.Body)
		}
		lock.Lock()
		defer lock.Unlock()
		refused[job] = (resp == nil && !mayHaveRun) || (resp != nil && promisesNotRun(resp.Status))
	}
	call(http.MethodGet, "rest")
	relay.Arm(&struck)
	var group sync.WaitGroup
	for i, method := range []string{http.MethodPost, http.MethodGet, http.MethodPost} {
		group.Add(1)
		go func() {
			defer group.Done()
			call(method, fmt.Sprint("lot-", i))
		}()
	}
	group.Wait()
	relay.Thaw()
	call(http.MethodGet, "next")
	relay.End()
	for job, never := range refused {
		if never && store.submissions(job) > 0 {
			t.Errorf("%s was taken, and told as one that never will be", job)
		}
		if store.submissions(job) > 1 {
			t.Errorf("%s was taken %d times", job, store.submissions(job))
		}
	}
}
