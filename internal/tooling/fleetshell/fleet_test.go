package fleetshell

import (
	"fmt"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// A seed that knows few leads to a controller, which names all, zone by zone; a controller
// that is silent is passed over.
func TestAllAreAskedThroughAController(t *testing.T) {
	room := transport.NewMemoryNetwork()
	columns := []string{"process", "zone", "address"}
	row := func(key, zone string) []string { return []string{key, zone, key + ":1"} }
	zones := map[string][][]string{"a": {row("foreman/y", "a"), row("foreman/x", "a")}, "b": {}}
	for place := 0; place < 150; place++ {
		zone := []string{"a", "b"}[place%2]
		zones[zone] = append(zones[zone], row(fmt.Sprint("forge/n", place), zone))
	}
	serve := func(name string) {
		_ = room.Transport(name + ":1").Serve(func(_ messages.Kind, body []byte) ([]byte, error) {
			question, answer := &messages.StatusRequest{}, &messages.StatusResponse{Columns: []string{"what"}, Rows: [][]string{{"own"}}}
			if err := transport.Decode(body, question); err != nil {
				return nil, err
			}
			switch {
			case question.Query == "zones":
				answer = &messages.StatusResponse{Columns: []string{"zone", "processes"}, Rows: [][]string{{"a", "77"}, {"b", "75"}}}
			case question.Query == "nodes" && question.Zone != "":
				answer = &messages.StatusResponse{Columns: columns, Rows: zones[question.Zone]}
			case question.Query == "nodes":
				answer = &messages.StatusResponse{Columns: columns, Rows: [][]string{row("foreman/x", "a"), row("foreman/y", "a"), row("forge/n0", "a")}}
			}
			return transport.Encode(answer)
		})
	}
	for _, list := range zones {
		for _, one := range list {
			serve(one[0])
		}
	}
	room.SetPartitioned("foreman/x:1", true)
	shell, _ := New(room.Transport("shell"), "forge/n0:1", clock.Milliseconds(500))
	answers, err := shell.Ask("config")
	silent := 0
	for _, one := range answers {
		if one.Silent {
			silent++
		}
	}
	if err != nil || len(answers) != 152 || silent != 1 {
		t.Fatal(len(answers), silent, err)
	}
}
