package gateway

import (
	"bytes"
	"testing"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/control/agent"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/settings"
	"lemonarch/internal/platform/transport"
)

// forwardOffered forwards a job of OfferMinBytes through a gateway to a store that responds to offers with a
// list of statuses, the last one repeated, and accepts each job sent. It returns the results of Forward
// and how often the job itself was sent.
func forwardOffered(t *testing.T, timeout clock.Duration, statuses ...int) (resp *messages.JobCallResponse, mayHaveRun bool, sent int) {
	t.Helper()
	network := transport.NewMemoryNetwork()
	runtime := agent.New(&settings.Settings{NodeName: "n", Address: "10.0.0.1", InternalPorts: []int{1, 9}}, membership.RoleGateway, 1, "", hclog.NewNullLogger())
	runtime.Transport = network.Transport("gateway")
	forwarder := newJobForwarder(runtime)
	_ = network.Transport("store").Serve(func(_ messages.Kind, body []byte) ([]byte, error) {
		call := &messages.JobCallRequest{}
		if err := transport.Decode(body, call); err != nil {
			return nil, err
		}
		if call.Method == messages.MethodOffer {
			if len(call.Body) > 0 || call.BodyBytes != constants.OfferMinBytes || call.WaitMs <= 0 {
				t.Errorf("got an offer with %d bytes of body, length %d and a wait of %d ms, want no body, length %d and a wait",
					len(call.Body), call.BodyBytes, call.WaitMs, constants.OfferMinBytes)
			}
			status := statuses[0]
			if len(statuses) > 1 {
				statuses = statuses[1:]
			}
			return transport.Encode(&messages.JobCallResponse{Status: status})
		}
		sent++
		return transport.Encode(&messages.JobCallResponse{Status: 202})
	})
	forwarder.leadership = messages.Leadership{Epoch: 1, Address: "store"}
	call := &messages.JobCallRequest{Method: "POST", Job: "l", Body: bytes.Repeat([]byte("x"), constants.OfferMinBytes)}
	resp, mayHaveRun = forwarder.Forward(call, timeout)
	return resp, mayHaveRun, sent
}

// A large job must be sent if the leader requests it or does not know offers. It must not be sent if the
// leader already has it, rejects it, or never requests it; in the last case it must not be reported as
// possibly run.
func TestLargeJobsAreOfferedFirst(t *testing.T) {
	const second = 1000
	for _, testCase := range []struct {
		what       string
		statuses   []int
		status     int
		sent       int
		mayHaveRun bool
	}{
		{"requested", []int{messages.StatusSendNow}, 202, 1, true},
		{"requested later", []int{503, 503, messages.StatusSendNow}, 202, 1, true},
		{"leader does not know offers", []int{404}, 202, 1, true},
		{"known already", []int{202}, 202, 0, true},
		{"does not fit", []int{429}, 429, 0, true},
	} {
		resp, mayHaveRun, sent := forwardOffered(t, clock.Milliseconds(second), testCase.statuses...)
		if resp == nil || resp.Status != testCase.status || sent != testCase.sent || mayHaveRun != testCase.mayHaveRun {
			t.Errorf("%s: got %+v, may have run: %v, sent %d times; want %+v", testCase.what, resp, mayHaveRun, sent, testCase)
		}
	}
	if resp, mayHaveRun, sent := forwardOffered(t, clock.Milliseconds(second/10), 503); resp != nil || mayHaveRun || sent > 0 {
		t.Errorf("never requested: got %+v, may have run: %v, sent %d times; want no response, not run, not sent", resp, mayHaveRun, sent)
	}
}
