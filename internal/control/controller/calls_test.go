package controller

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/settings"
)

func nodeSettings(folder string, bootstrap bool) *settings.Settings {
	return &settings.Settings{NodeName: "m", Address: "127.0.0.1", Zone: "h", InternalPorts: []int{21100, 21110},
		Seeds: []string{"127.0.0.1:21000"}, Bootstrap: bootstrap, DataDir: folder, HeartbeatMs: 1200}
}

// open starts a controller with a data directory, and an HTTP server for its calls.
func open(t *testing.T, folder string, bootstrap bool) (*Controller, *httptest.Server) {
	t.Helper()

	controller, err := New(nodeSettings(folder, bootstrap), hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	renewContact(t, controller)
	startUp(t, controller)
	server := httptest.NewServer(controller.handler())
	t.Cleanup(server.Close)
	return controller, server
}

// renewContact renews the contact lease periodically, as Run does, until the test ends.
func renewContact(t *testing.T, controller *Controller) {
	t.Helper()

	go clock.Every(constants.ContactPeriod, controller.Node.Stop, controller.contact().Round)
	t.Cleanup(controller.Node.Shutdown)
}

// clearCall makes a call as an operator or a worker does: a call with an unknown outcome (503, 504)
// is retried. On a loaded machine a contact lease may expire in the meantime.
func clearCall(t *testing.T, server *httptest.Server, method, path, base, body string) (int, string) {
	t.Helper()

	return callUntilClear(t, server, method, path, base, body, http.StatusServiceUnavailable, http.StatusGatewayTimeout)
}

// callUntilClear retries a call, at most 100 times, until its status is none of outcomeUnknown.
func callUntilClear(t *testing.T, server *httptest.Server, method, path, base, body string, outcomeUnknown ...int) (int, string) {
	t.Helper()

	const attempts = 100
	for attempt := 1; ; attempt++ {
		status, text := call(t, server, method, path, base, body)
		if !slices.Contains(outcomeUnknown, status) || attempt == attempts {
			return status, text
		}
		<-clock.After(constants.TickPeriod)
	}
}

// recoverWorkers makes a controller recover the workers from the acceptors, if a majority responds.
func recoverWorkers(controller *Controller) {
	for attempts := 0; controller.workers.Recovering() && attempts < 3 && !controller.workers.RecoverRound(); attempts++ {
		continue
	}
}

// startUp makes a controller do what it does in the first second after its start: contact the acceptors,
// and recover the workers from a majority of them.
func startUp(t *testing.T, controller *Controller) {
	t.Helper()

	for attempts := 0; !controller.contact().Await() || !controller.workers.RecoverRound(); attempts++ {
		if attempts > 100 {
			t.Fatal("no contact with a majority, or workers not recovered, after 100 attempts")
		}
		controller.contact().Round()
	}
}

// setJustStarted makes a controller behave as if it had just started, however slow the test machine
// is.
func setJustStarted(controller *Controller) {
	controller.Node.StartedAt = clock.Now().Add(clock.Milliseconds(3_600_000))
}

// setLongRunning makes a controller behave as a minute after its start.
func setLongRunning(controller *Controller) {
	controller.Node.StartedAt = clock.Now().Add(-clock.Milliseconds(60_000))
}

func call(t *testing.T, server *httptest.Server, method, path, base, body string) (int, string) {
	t.Helper()

	request, _ := http.NewRequest(method, server.URL+path, strings.NewReader(body))
	if base != "" {
		request.Header.Set("Lemonarch-Base-Revision", base)
	}
	resp, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

func config(generation int) string {
	return fmt.Sprintf(`{"generation":%d,"channels":[{"name":"a","host":"h","path-prefix":"/a/","route-kind":"idempotent","cutoff-ms":5,"backend":"s"}],"backends":[{"name":"s"}],"limits":{}}`, generation)
}

// TestReplaceAndRead checks the rules of PROTOCOL for changes of the configuration, with a real disk, and the
// configuration after a restart.
func TestReplaceAndRead(t *testing.T) {
	folder := t.TempDir()
	_, server := open(t, folder, true)
	steps := []struct {
		name, base, body string
		status           int
	}{
		{"first", "0", config(2), 200},
		{"resent", "0", config(2), 200},
		{"lost its race", "0", config(3), 412},
		{"old generation", "2", config(2) + " ", 400},
		{"cut short", "2", config(3)[:40], 400},
		{"unknown service", "2", strings.Replace(config(3), `"backend":"s"`, `"backend":"t"`, 1), 400},
		{"no base", "", config(3), 400},
		{"too large", "2", strings.Repeat(" ", 17<<20), 413},
		{"next", "2", config(5), 200},
		{"resent late", "0", config(2), 200},
	}
	for _, step := range steps {
		if status, body := clearCall(t, server, "POST", "/-/Configuration.Replace", step.base, step.body); status != step.status {
			t.Errorf("%s: got %d %s, want %d", step.name, status, body, step.status)
		}
	}
	if status, body := clearCall(t, server, "GET", "/-/Configuration.Read", "", ""); status != 200 || body != config(5) {
		t.Fatalf("configuration read: got status %d and body %s, want 200 and generation 5", status, body)
	}
	_, restarted := open(t, folder, false)
	if status, body := clearCall(t, restarted, "GET", "/-/Configuration.Read", "", ""); status != 200 || body != config(5) {
		t.Fatalf("configuration read after a restart: got status %d and body %s, want 200 and generation 5", status, body)
	}
}

// A worker's valid calls are acknowledged and its invalid ones rejected, and no call moves the worker
// back to an earlier phase. Otherwise a late heartbeat would end a drain.
func TestWorkersCallsNeverRevertAPhase(t *testing.T) {
	folder := t.TempDir()
	controller, server := open(t, folder, true)
	heartbeat := `{"backend":"s","address":"a:1","zone":"h","generation":"v1","capacity":4,"phase":"%s","call-count":%d}`
	for _, step := range []struct {
		path, body string
		status     int
		phase      messages.Phase
	}{
		{"Workers.Heartbeat/w", fmt.Sprintf(heartbeat, "steady", 3), 200, messages.PhaseSteady},
		{"Workers.Heartbeat/w", fmt.Sprintf(heartbeat, "draining", 5), 200, messages.PhaseDraining},
		{"Workers.Heartbeat/w", fmt.Sprintf(heartbeat, "steady", 4), 200, messages.PhaseDraining},
		{"Workers.Heartbeat/w", "{", 400, messages.PhaseDraining},
		{"Workers.Heartbeat/" + strings.Repeat("w", constants.WorkerNameBytes+1), fmt.Sprintf(heartbeat, "steady", 3), 400, messages.PhaseDraining},
		{"Workers.Depart/" + strings.Repeat("w", constants.WorkerNameBytes+1), "{}", 400, messages.PhaseDraining},
		{"Workers.Heartbeat/w", `{"call-count":9}`, 400, messages.PhaseDraining},
		{"Workers.Depart/w", `{"call-count":6}`, 200, messages.PhaseDeparted},
		{"Workers.Heartbeat/w", fmt.Sprintf(heartbeat, "steady", 7), 200, messages.PhaseDeparted},
	} {
		status, body := clearCall(t, server, "POST", "/-/"+step.path, "", step.body)
		worker, _ := controller.workers.Get("w")
		if status != step.status || worker.Phase != step.phase {
			t.Fatalf("%s %s: got %d %s and phase %s, want %d and phase %s", step.path, step.body, status, body, worker.Phase, step.status, step.phase)
		}
	}
}

// The retirement of an unknown store and that of the last store are rejected. A controller that has just
// started can't tell that a store is unknown, so it responds with 503 instead of 404.
func TestRetireOfUnknownAndLastStoreIsRejected(t *testing.T) {
	controller, server := open(t, t.TempDir(), true)
	setJustStarted(controller)
	if status, _ := callUntilClear(t, server, "POST", "/-/Retire.Open/store-1", "", "{}", http.StatusGatewayTimeout); status != 503 {
		t.Fatal("a controller that has just started must respond with 503 for an unknown store, got ", status)
	}
	setLongRunning(controller)
	if status, _ := clearCall(t, server, "POST", "/-/Retire.Open/store-1", "", "{}"); status != 404 {
		t.Fatalf("retiring an unknown store: got status %d, want 404", status)
	}
	controller.Node.Observe([]messages.NodeInfo{{Name: "store-1", Role: membership.RoleStore, Address: "x:1"}})
	if status, _ := clearCall(t, server, "POST", "/-/Retire.Open/store-1", "", "{}"); status != 409 {
		t.Fatal("retiring the last store: want 409, got ", status)
	}
	if status, _ := clearCall(t, server, "GET", "/-/Retire.Read/store-1", "", ""); status != 404 {
		t.Fatalf("reading the retirement of a store that is not being retired: got status %d, want 404", status)
	}
}
