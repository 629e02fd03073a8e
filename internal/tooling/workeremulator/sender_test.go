package workeremulator

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/traffic/admission"
	"lemonarch/internal/traffic/proxy"
	"lemonarch/internal/traffic/workerconn"
)

const senderConfig = `{"generation":1,"channels":[
{"name":"stream","host":"h","path-prefix":"/stream/","route-kind":"streaming","resumable":true,"cutoff-ms":4000,"setpoint-ms":100,"backend":"s","tries":3},
{"name":"rigid","host":"h","path-prefix":"/rigid/","route-kind":"streaming","cutoff-ms":4000,"setpoint-ms":100,"backend":"s","tries":3}
],"backends":[{"name":"s","conn-limit":50}],"limits":{"max-header-bytes":8192,"max-body-bytes":1000,"header-wait-ms":3000,"idle-ms":5000}}`

// startDataPlane starts the gateway's data plane in front of emulated workers. The first worker
// is preferred.
func startDataPlane(t *testing.T, addresses ...string) string {
	t.Helper()

	scheduler := admission.New(messages.NodeInfo{Name: "n", Role: membership.RoleGateway, Zone: "h"}, time.Second)
	sender := proxy.Sender{Scheduler: scheduler, Pool: workerconn.NewPool(), Budget: func(messages.Worker) int { return 20 }}
	plane := proxy.New(sender, nil, hclog.NewNullLogger())
	config, err := routeconfig.Parse([]byte(senderConfig))
	if err != nil {
		t.Fatal(err)
	}
	plane.SetConfig(config)
	var list []messages.Worker
	for i, address := range addresses {
		list = append(list, messages.Worker{ID: fmt.Sprint("w", i+1), Backend: "s", Address: address, Zone: strings.Repeat("h", i+1), Capacity: 4, CallCount: 1})
	}
	scheduler.Merge(list, clock.Now())
	server := httptest.NewServer(plane)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func sendThrough(t *testing.T, address, path string) (*http.Response, string, error) {
	t.Helper()

	request, _ := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader("body"))
	request.Host = "h"
	for name, value := range map[string]string{headerAttempt: "one", headerTokens: "20,32", headerPrefix: "a:10", headerModel: "m", headerTimeLeft: "3000"} {
		request.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func completeStream(attempt string) string {
	text := ""
	for number := int64(1); number <= 8; number++ {
		text += fmt.Sprintf("id: %d\ndata: %s\n\n", number, EventData(attempt, number))
	}
	return text
}

// TestSenderForwardsTheStream checks that the gateway's sender and stream handling work with an emulated
// worker as with a real one.
func TestSenderForwardsTheStream(t *testing.T) {
	_, record, address, _ := start(t, engineSettings)
	resp, body, err := sendThrough(t, startDataPlane(t, address), "/rigid/x")
	if err != nil || resp.StatusCode != 200 || body != completeStream("one") {
		t.Fatalf("response %v with body %q and error %v, want 200 with the complete stream", resp, body, err)
	}
	if _, valid := VerifySeal(resp.Header.Get(headerSeal), "one"); !valid {
		t.Fatalf("response headers %v, want a valid seal for the attempt", resp.Header)
	}
	if runs, _ := record.WithPrefix(""); len(runs) != 1 || !runs[0].Ended {
		t.Fatalf("runs %+v, want one that has ended", runs)
	}
}

// TestSenderRetriesElsewhere checks that a stream which the first worker cuts off is resumed at the
// second worker, after its last event.
func TestSenderRetriesElsewhere(t *testing.T) {
	first, before, firstAddress, _ := start(t, engineSettings)
	first.SetFaults(Faults{Cut: 1})
	settings := engineSettings
	settings.ID = "w2"
	_, after, secondAddress, _ := start(t, settings)
	resp, body, err := sendThrough(t, startDataPlane(t, firstAddress, secondAddress), "/stream/x")
	if err != nil || resp.StatusCode != 200 || body != completeStream("one") {
		t.Fatalf("response %v with body %q and error %v, want 200 with the complete stream", resp, body, err)
	}
	runs, _ := before.WithPrefix("")
	more, _ := after.WithPrefix("")
	if len(runs) != 1 || len(more) != 1 || more[0].From != 4 {
		t.Fatalf("runs %+v at the first worker and %+v at the second, want one each, the second resumed after event 4", runs, more)
	}
}
