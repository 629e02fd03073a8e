package fleetshell

import (
	"bytes"
	"strings"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

func fleet(t *testing.T) (*transport.MemoryNetwork, transport.Transport) {
	t.Helper()

	room := transport.NewMemoryNetwork()
	for _, name := range []string{"forge/a", "forge/b", "locker/c"} {
		_ = room.Transport(name + ":1").Serve(func(kind messages.Kind, body []byte) ([]byte, error) {
			question := &messages.StatusRequest{}
			if kind != messages.KindStatus || transport.Decode(body, question) != nil {
				return nil, nil
			}
			answer := &messages.StatusResponse{Columns: []string{"what"}, Rows: [][]string{{question.Query + " of " + name}}}
			if question.Query == "nodes" {
				answer = &messages.StatusResponse{Columns: []string{"process", "zone", "address"}}
				for _, other := range []string{"forge/a", "forge/b", "locker/c"} {
					answer.Rows = append(answer.Rows, []string{other, "h", other + ":1"})
				}
			}
			return transport.Encode(answer)
		})
	}
	return room, room.Transport("shell")
}

func TestSilenceIsShown(t *testing.T) {
	room, transport := fleet(t)
	room.SetPartitioned("forge/b:1", true)
	shell, err := New(transport, "forge/a:1", clock.Milliseconds(200))
	if err != nil {
		t.Fatal(err)
	}
	answers, err := shell.Ask("index")
	if err != nil || len(answers) != 3 || !answers[1].Silent || answers[0].Silent {
		t.Fatal(answers, err)
	}
	var table, list bytes.Buffer
	Table(&table, answers)
	if !strings.Contains(table.String(), "gateway/b  SILENT") || !strings.Contains(table.String(), "index of locker/c") {
		t.Fatal(table.String())
	}
	if JSON(&list, answers) != nil || !strings.Contains(list.String(), `"silent": true`) {
		t.Fatal(list.String())
	}
	if answers, _ = shell.Ask("nodes"); answers[0].Status.Rows[2][0] != "store/c" {
		t.Fatal("the role's word on the wire is shown", answers)
	}
	if answers, _ = shell.Ask("lots"); len(answers) != 1 || answers[0].Process != "store/c" {
		t.Fatal(answers)
	}
}

func TestBadCalls(t *testing.T) {
	_, transport := fleet(t)
	if _, err := New(transport, "nowhere", 1); !errs.Is(err, ErrInvalidCall) {
		t.Fatal(err)
	}
	shell, _ := New(transport, "forge/a:1", clock.Milliseconds(200))
	if _, err := shell.Ask("weather"); !errs.Is(err, ErrInvalidCall) {
		t.Fatal(err)
	}
	lost, _ := New(transport, "forge/z:1", clock.Milliseconds(200))
	if _, err := lost.Ask("nodes"); !errs.Is(err, ErrNoFleet) {
		t.Fatal(err)
	}
}
