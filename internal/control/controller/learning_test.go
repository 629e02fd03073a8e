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

// reported gives a controller's answer to a gateway's report.
func reported(controller *Controller) *messages.Shuffle {
	var answer *messages.Shuffle
	asker := messages.Entry{Name: "f", Role: membership.RoleGateway, Address: "127.0.0.3:1", Zone: "h"}
	controller.Node.Viewed(func(view *membership.View) {
		answer = view.Answer(&messages.Shuffle{Entries: []messages.Entry{asker}}, clock.Now())
	})
	controller.addWorkers(answer)
	return answer
}

// A controller that has just started acknowledges no drain, counts nobody and vouches for
// no worker until a majority of the acceptors was heard on the workers.
func TestStartingControllerLearnsFirst(t *testing.T) {
	controllers, room := voters(t, 3)
	starting := controllers[1]
	server := httptest.NewServer(starting.calls())
	defer server.Close()
	room.Cut(controllers[2].Node.Own.Address, true)
	room.Cut(controllers[3].Node.Own.Address, true)
	if starting.recallOnce() || starting.inContact() {
		t.Fatal("no majority answers")
	}
	if status, _ := call(t, server, "POST", "/-/Workers.Heartbeat/w", "", drainCall); status != 503 {
		t.Fatal(status)
	}
	if answer := reported(starting); !answer.Detached || len(answer.Counts) != 0 || answer.Judging || answer.Workers.Life != 0 {
		t.Fatal(answer)
	}
	if status, _ := call(t, server, "POST", "/-/Configuration.Replace", "0", config(2)); status != 504 {
		t.Fatal(status)
	}
	room.Cut(controllers[2].Node.Own.Address, false)
	starting.contactRound()
	meet(t, starting)
	if answer := reported(starting); answer.Detached || len(answer.Counts) == 0 || !answer.Judging {
		t.Fatal(answer)
	}
	if status, body := clearCall(t, server, "POST", "/-/Workers.Heartbeat/w", "", drainCall); status != 200 {
		t.Fatal(status, body)
	}
}

// A drain that the other acceptors do not write in time is not acknowledged, and the
// worker hears so within the second that it waits.
func TestDrainIsNotAcknowledgedByOneDisk(t *testing.T) {
	controllers, _ := voters(t, 3)
	meet(t, controllers[1])
	server := httptest.NewServer(controllers[1].calls())
	defer server.Close()
	hang := make(chan struct{})
	defer close(hang)
	for number := 2; number <= 3; number++ {
		controllers[number].Node.Answer(messages.KindWorkersKeep, func([]byte) ([]byte, error) {
			<-hang
			return nil, nil
		})
	}
	if status, _ := call(t, server, "POST", "/-/Workers.Heartbeat/w", "", drainCall); status != 503 {
		t.Fatal(status)
	}
	const second, slack = 1_000_000_000, 100_000_000
	if constants.ContactTime/2+constants.TreeTime > second-slack {
		t.Fatal("the bounds of a worker's call do not fit into its second")
	}
}
