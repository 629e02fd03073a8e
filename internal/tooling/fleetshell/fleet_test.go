package fleetshell

import (
	"fmt"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// TestQueryUsesControllerDirectory checks that a query reaches all processes although the seed knows only
// a few of them: a controller lists them zone by zone, and a controller that does not respond is skipped.
func TestQueryUsesControllerDirectory(t *testing.T) {
	network := transport.NewMemoryNetwork()
	columns := []string{"process", "zone", "address"}
	row := func(key, zone string) []string { return []string{key, zone, key + ":1"} }
	zones := map[string][][]string{"a": {row("foreman/y", "a"), row("foreman/x", "a")}, "b": {}}
	for i := 0; i < 150; i++ {
		zone := []string{"a", "b"}[i%2]
		zones[zone] = append(zones[zone], row(fmt.Sprint("forge/n", i), zone))
	}
	serve := func(name string) {
		_ = network.Transport(name + ":1").Serve(func(_ messages.Kind, body []byte) ([]byte, error) {
			req, resp := &messages.StatusRequest{}, &messages.StatusResponse{Columns: []string{"what"}, Rows: [][]string{{"own"}}}
			if err := transport.Decode(body, req); err != nil {
				return nil, err
			}
			switch {
			case req.Query == "zones":
				resp = &messages.StatusResponse{Columns: []string{"zone", "processes"}, Rows: [][]string{{"a", "77"}, {"b", "75"}}}
			case req.Query == "nodes" && req.Zone != "":
				resp = &messages.StatusResponse{Columns: columns, Rows: zones[req.Zone]}
			case req.Query == "nodes":
				resp = &messages.StatusResponse{Columns: columns, Rows: [][]string{row("foreman/x", "a"), row("foreman/y", "a"), row("forge/n0", "a")}}
			}
			return transport.Encode(resp)
		})
	}
	for _, rows := range zones {
		for _, process := range rows {
			serve(process[0])
		}
	}
	network.SetPartitioned("foreman/x:1", true)
	shell, _ := New(network.Transport("shell"), "forge/n0:1", clock.Milliseconds(500))
	responses, err := shell.Query("config")
	timedOut := 0
	for _, response := range responses {
		if response.TimedOut {
			timedOut++
		}
	}
	if err != nil || len(responses) != 152 || timedOut != 1 {
		t.Fatalf("got %d responses, %d of them timed out, error %v; want 152 responses, 1 timed out", len(responses), timedOut, err)
	}
}
