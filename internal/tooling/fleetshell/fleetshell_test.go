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

func newTestFleet(t *testing.T) (*transport.MemoryNetwork, transport.Transport) {
	t.Helper()

	network := transport.NewMemoryNetwork()
	for _, name := range []string{"forge/a", "forge/b", "locker/c"} {
		_ = network.Transport(name + ":1").Serve(func(kind messages.Kind, body []byte) ([]byte, error) {
			req := &messages.StatusRequest{}
			if kind != messages.KindStatus || transport.Decode(body, req) != nil {
				return nil, nil
			}
			resp := &messages.StatusResponse{Columns: []string{"what"}, Rows: [][]string{{req.Query + " of " + name}}}
			if req.Query == "nodes" {
				resp = &messages.StatusResponse{Columns: []string{"process", "zone", "address"}}
				for _, other := range []string{"forge/a", "forge/b", "locker/c"} {
					resp.Rows = append(resp.Rows, []string{other, "h", other + ":1"})
				}
			}
			return transport.Encode(resp)
		})
	}
	return network, network.Transport("shell")
}

// TestTimeoutIsShown checks that a process which does not respond in time is shown as such in both formats.
// It also checks that the output has program names in place of the roles' names on the wire, and that the
// alias lots queries the stores only.
func TestTimeoutIsShown(t *testing.T) {
	network, transport := newTestFleet(t)
	network.SetPartitioned("forge/b:1", true)
	shell, err := New(transport, "forge/a:1", clock.Milliseconds(200))
	if err != nil {
		t.Fatal(err)
	}
	responses, err := shell.Query("index")
	if err != nil || len(responses) != 3 || !responses[1].TimedOut || responses[0].TimedOut {
		t.Fatalf("got responses %+v, error %v; want 3 responses, only the second of which timed out", responses, err)
	}
	var table, list bytes.Buffer
	Table(&table, responses)
	if !strings.Contains(table.String(), "gateway/b  SILENT") || !strings.Contains(table.String(), "index of locker/c") {
		t.Fatalf("table does not show the timeout of gateway/b or the response of locker/c:\n%s", table.String())
	}
	if JSON(&list, responses) != nil || !strings.Contains(list.String(), `"silent": true`) {
		t.Fatalf("JSON does not show the timeout of gateway/b:\n%s", list.String())
	}
	if responses, _ = shell.Query("nodes"); responses[0].Status.Rows[2][0] != "store/c" {
		t.Fatalf("got responses %+v, want the program name store/c in place of the role's name on the wire", responses)
	}
	if responses, _ = shell.Query("lots"); len(responses) != 1 || responses[0].Process != "store/c" {
		t.Fatalf("got responses %+v to the alias lots, want one response of store/c", responses)
	}
}

func TestInvalidCallsAreRejected(t *testing.T) {
	_, transport := newTestFleet(t)
	if _, err := New(transport, "nowhere", 1); !errs.Is(err, ErrInvalidCall) {
		t.Fatalf("seed without a port: got error %v, want ErrInvalidCall", err)
	}
	shell, _ := New(transport, "forge/a:1", clock.Milliseconds(200))
	if _, err := shell.Query("weather"); !errs.Is(err, ErrInvalidCall) {
		t.Fatalf("unknown query: got error %v, want ErrInvalidCall", err)
	}
	unreachable, _ := New(transport, "forge/z:1", clock.Milliseconds(200))
	if _, err := unreachable.Query("nodes"); !errs.Is(err, ErrNoFleet) {
		t.Fatalf("unreachable seed: got error %v, want ErrNoFleet", err)
	}
}
