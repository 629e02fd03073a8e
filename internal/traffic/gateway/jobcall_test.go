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

// leaderStub is a store that responds to each call with the name of its job, and counts the submissions
// that it accepted.
type leaderStub struct {
	wire     *transport.TCP
	lock     sync.Mutex
	accepted map[string]int
}

func newLeaderStub(t *testing.T) *leaderStub {
	t.Helper()

	leader := &leaderStub{wire: transport.NewTCP("127.0.0.1:0"), accepted: map[string]int{}}
	err := leader.wire.Serve(func(_ messages.Kind, body []byte) ([]byte, error) {
		call := &messages.JobCallRequest{}
		if err := transport.Decode(body, call); err != nil {
			return nil, err
		}
		if call.Method == http.MethodPost {
			leader.lock.Lock()
			leader.accepted[call.Job]++
			leader.lock.Unlock()
		}
		return transport.Encode(&messages.JobCallResponse{Status: http.StatusOK, Body: []byte(call.Job)})
	})
	if err != nil {
		t.Fatal(err)
	}
	return leader
}

// submissions returns how often a job was submitted.
func (h *leaderStub) submissions(job string) int {
	h.lock.Lock()
	defer h.lock.Unlock()
	return h.accepted[job]
}

// jobFrameLength is the approximate length of a submission of this test, or its response, on the wire, in
// bytes.
const jobFrameLength = 130

// Injects each fault into the connection to the leading store, at every seventh byte of a submission and of
// a response, while three calls are in flight. A caller must get the response of its own job. A submission
// must be accepted once at most, and if it was accepted, must not get a status that promises that it will
// not run.
func TestJobCallOutcomesUnderConnectionFaults(t *testing.T) {
	const step = 7
	for _, fault := range faultrelay.Faults() {
		for i := int(fault) % step; i < 2*jobFrameLength; i += step {
			injection := faultrelay.Injection{Fault: fault, Response: i >= jobFrameLength, At: i % jobFrameLength}
			t.Run(fmt.Sprint(fault, injection.Response, injection.At), func(t *testing.T) {
				t.Parallel()
				runJobCalls(t, injection)
			})
		}
	}
}

func runJobCalls(t *testing.T, injection faultrelay.Injection) {
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
	forwarder := newJobForwarder(runtime)
	forwarder.leadership = messages.Leadership{Epoch: 1, Address: relay.Address()}
	var lock sync.Mutex
	rejected := map[string]bool{}
	call := func(method, job string) {
		resp, mayHaveRun := forwarder.Forward(&messages.JobCallRequest{Method: method, Job: job}, clock.Milliseconds(40))
		if resp != nil && resp.Status == http.StatusOK && string(resp.Body) != job {
			t.Errorf("%s %s got the response of job %q", method, job, resp.Body)
		}
		lock.Lock()
		defer lock.Unlock()
		rejected[job] = (resp == nil && !mayHaveRun) || (resp != nil && promisesNotRun(resp.Status))
	}
	call(http.MethodGet, "rest")
	relay.Arm(&injection)
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
	relay.Close()
	for job, promised := range rejected {
		if promised && store.submissions(job) > 0 {
			t.Errorf("%s was accepted, but its response promised that it will not run", job)
		}
		if store.submissions(job) > 1 {
			t.Errorf("%s was accepted %d times", job, store.submissions(job))
		}
	}
}
