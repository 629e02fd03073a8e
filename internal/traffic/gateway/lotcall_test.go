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

// holder is a store that answers each call with the name of its lot, and keeps count of
// the hand-ins that it took.
type holder struct {
	wire  *transport.TCP
	lock  sync.Mutex
	taken map[string]int
}

func newHolder(t *testing.T) *holder {
	t.Helper()

	one := &holder{wire: transport.NewTCP("127.0.0.1:0"), taken: map[string]int{}}
	err := one.wire.Serve(func(_ messages.Kind, body []byte) ([]byte, error) {
		call := &messages.JobCallRequest{}
		if err := transport.Decode(body, call); err != nil {
			return nil, err
		}
		if call.Method == http.MethodPost {
			one.lock.Lock()
			one.taken[call.Job]++
			one.lock.Unlock()
		}
		return transport.Encode(&messages.JobCallResponse{Status: http.StatusOK, Body: []byte(call.Job)})
	})
	if err != nil {
		t.Fatal(err)
	}
	return one
}

func (h *holder) took(lot string) int {
	h.lock.Lock()
	defer h.lock.Unlock()
	return h.taken[lot]
}

// lotFrameLength is about as long as a hand-in of this test, or its answer, is on the wire.
const lotFrameLength = 130

// Whatever befalls the connection to the store that holds the lots, at whichever byte: a
// caller's answer is that of its own lot, and no hand-in that was taken is told as one that
// never will be.
func TestLotCallsAtEveryByte(t *testing.T) {
	const step = 7
	for _, trouble := range faultrelay.Troubles() {
		for place := int(trouble) % step; place < 2*lotFrameLength; place += step {
			struck := faultrelay.Strike{Trouble: trouble, Answer: place >= lotFrameLength, At: place % lotFrameLength}
			t.Run(fmt.Sprint(trouble, struck.Answer, struck.At), func(t *testing.T) {
				t.Parallel()
				playLotCalls(t, struck)
			})
		}
	}
}

func playLotCalls(t *testing.T, struck faultrelay.Strike) {
	t.Helper()

	store := newHolder(t)
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
	one := newGate(runtime)
	one.duty = messages.Leadership{Epoch: 1, Address: relay.Address()}
	var lock sync.Mutex
	refused := map[string]bool{}
	call := func(method, lot string) {
		answer, maybe := one.Pass(&messages.JobCallRequest{Method: method, Job: lot}, clock.Milliseconds(40))
		if answer != nil && answer.Status == http.StatusOK && string(answer.Body) != lot {
			t.Errorf("%s %s was answered for %q", method, lot, answer.Body)
		}
		lock.Lock()
		defer lock.Unlock()
		refused[lot] = (answer == nil && !maybe) || (answer != nil && promises(answer.Status))
	}
	call(http.MethodGet, "rest")
	relay.Arm(&struck)
	var group sync.WaitGroup
	for place, method := range []string{http.MethodPost, http.MethodGet, http.MethodPost} {
		group.Add(1)
		go func() {
			defer group.Done()
			call(method, fmt.Sprint("lot-", place))
		}()
	}
	group.Wait()
	relay.Thaw()
	call(http.MethodGet, "next")
	relay.End()
	for lot, never := range refused {
		if never && store.took(lot) > 0 {
			t.Errorf("%s was taken, and told as one that never will be", lot)
		}
		if store.took(lot) > 1 {
			t.Errorf("%s was taken %d times", lot, store.took(lot))
		}
	}
}
