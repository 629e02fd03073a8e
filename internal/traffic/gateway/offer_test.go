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

// offering forwards a long job through a gateway to a store that answers offers by a list of
// statuses and takes what is sent; it gives the answer and how often the job itself was sent.
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
				t.Error("offered as ", len(call.Body), call.BodyBytes, call.WaitMs)
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

// A long job is sent when the leader asks for it, or knows no offers; it is not sent where the
// leader has it, refuses it, or never asks for it, and then nothing of it may have run.
func TestLongJobsAreOfferedFirst(t *testing.T) {
	const second = 1000
	for _, found := range []struct {
		what     string
		statuses []int
		status   int
		sent     int
		maybe    bool
	}{
		{"asked for", []int{messages.StatusSendNow}, 202, 1, true},
		{"asked for later", []int{503, 503, messages.StatusSendNow}, 202, 1, true},
		{"a leader that knows no offers", []int{404}, 202, 1, true},
		{"known already", []int{202}, 202, 0, true},
		{"does not fit", []int{429}, 429, 0, true},
	} {
		resp, maybe, sent := forwardOffered(t, clock.Milliseconds(second), found.statuses...)
		if resp == nil || resp.Status != found.status || sent != found.sent || maybe != found.maybe {
			t.Errorf("%s: %+v %v, sent %d times", found.what, resp, maybe, sent)
		}
	}
	if resp, maybe, sent := forwardOffered(t, clock.Milliseconds(second/10), 503); resp != nil || maybe || sent > 0 {
		t.Errorf("never asked for: %+v %v, sent %d times", resp, maybe, sent)
	}
}
