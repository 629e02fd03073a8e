package controller

import (
	"net/http/httptest"
	"testing"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

const drainCall = `{"backend":"s","address":"127.0.0.1:1","zone":"h","capacity":4,"phase":"draining","call-count":3}`

// reportResponse returns a controller's response to a gateway's report.
func reportResponse(controller *Controller) *messages.Shuffle {
	var resp *messages.Shuffle
	reporter := messages.NodeInfo{Name: "f", Role: membership.RoleGateway, Address: "127.0.0.3:1", Zone: "h"}
	controller.Node.WithView(func(view *membership.View) {
		resp = view.RespondToReport(&messages.Shuffle{Entries: []messages.NodeInfo{reporter}}, clock.Now())
	})
	controller.completeReportResponse(resp)
	return resp
}

// Until a controller that has just started has recovered the workers from a majority of the acceptors, it
// acknowledges no drain, and its responses to reports contain no counts and confirm no workers. Its file
// may lack a drain that was acknowledged meanwhile.
func TestStartingControllerRecoversFirst(t *testing.T) {
	controllers, network := voters(t, 3)
	starting := controllers[1]
	server := httptest.NewServer(starting.handler())
	defer server.Close()
	network.SetPartitioned(controllers[2].Node.Self.Address, true)
	network.SetPartitioned(controllers[3].Node.Self.Address, true)
	if starting.workers.RecoverRound() || starting.contact().Await() {
		t.Fatal("recovered or in contact without a majority")
	}
	if status, _ := call(t, server, "POST", "/-/Workers.Heartbeat/w", "", drainCall); status != 503 {
		t.Fatalf("drain at a controller that has not recovered: got status %d, want 503", status)
	}
	if resp := reportResponse(starting); !resp.Detached || len(resp.Counts) != 0 || resp.OverdueComplete || resp.Workers.Incarnation != 0 {
		t.Fatalf("report response without a majority: got %+v, want Detached, no counts, no overdue list and no digest", resp)
	}
	if status, _ := call(t, server, "POST", "/-/Configuration.Replace", "0", config(2)); status != 504 {
		t.Fatalf("replacing without a majority: got status %d, want 504", status)
	}
	network.SetPartitioned(controllers[2].Node.Self.Address, false)
	starting.contact().Round()
	startUp(t, starting)
	if resp := reportResponse(starting); resp.Detached || len(resp.Counts) == 0 || !resp.OverdueComplete {
		t.Fatalf("report response after the recovery: got %+v, want counts and an overdue list, and not Detached", resp)
	}
	if status, body := clearCall(t, server, "POST", "/-/Workers.Heartbeat/w", "", drainCall); status != 200 {
		t.Fatalf("drain after the recovery: got status %d (%s), want 200", status, body)
	}
}

// A drain that the other acceptors do not write to disk in time is not acknowledged, and the worker
// receives the 503 response within the second that it waits.
func TestDrainIsNotAcknowledgedByOneDisk(t *testing.T) {
	controllers, _ := voters(t, 3)
	startUp(t, controllers[1])
	server := httptest.NewServer(controllers[1].handler())
	defer server.Close()
	hang := make(chan struct{})
	defer close(hang)
	for number := 2; number <= 3; number++ {
		node := controllers[number].Node
		node.Transport.Close()
		err := node.Transport.Serve(func(kind messages.Kind, body []byte) ([]byte, error) {
			if kind == messages.KindWorkersPersist {
				<-hang
				return nil, nil
			}
			return node.Dispatch(kind, body)
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if status, _ := call(t, server, "POST", "/-/Workers.Heartbeat/w", "", drainCall); status != 503 {
		t.Fatalf("drain that only one disk has: got status %d, want 503", status)
	}
	const second, slack = 1_000_000_000, 100_000_000
	if constants.ContactTimeout/2+constants.BroadcastTimeout > second-slack {
		t.Fatal("the timeouts of a worker's call add up to more than the second that the worker waits")
	}
}
