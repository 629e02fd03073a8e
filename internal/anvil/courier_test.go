package anvil

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/carriage"
	"lemonarch/internal/chisel"
	"lemonarch/internal/jig"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
	"lemonarch/internal/workbench"
)

const courierConfig = `{"generation":1,"channels":[
{"name":"stream","host":"h","path-prefix":"/stream/","route-kind":"streaming","resumable":true,"cutoff-ms":4000,"setpoint-ms":100,"backend":"s","tries":3},
{"name":"rigid","host":"h","path-prefix":"/rigid/","route-kind":"streaming","cutoff-ms":4000,"setpoint-ms":100,"backend":"s","tries":3}
],"backends":[{"name":"s","conn-limit":50}],"limits":{"max-header-bytes":8192,"max-body-bytes":1000,"header-wait-ms":3000,"idle-ms":5000}}`

// edge puts the real data plane in front of emulated workers; the first is preferred.
func edge(test *testing.T, addresses ...string) string {
	bench := workbench.New(pattern.Entry{Name: "n", Role: "forge", Hall: "h"}, time.Second)
	courier := carriage.Courier{Bench: bench, Chest: chisel.NewChest(), Budget: func(pattern.Worker) int { return 20 }}
	plane := carriage.New(courier, nil, hclog.NewNullLogger())
	config, failure := jig.Parse([]byte(courierConfig))
	if failure != nil {
		test.Fatal(failure)
	}
	plane.SetConfig(config)
	var list []pattern.Worker
	for place, address := range addresses {
		list = append(list, pattern.Worker{ID: fmt.Sprint("w", place+1), Backend: "s", Address: address, Hall: strings.Repeat("h", place+1), Capacity: 4, Count: 1})
	}
	bench.Merge(list, watch.Now())
	server := httptest.NewServer(plane)
	test.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func through(test *testing.T, address, path string) (*http.Response, string, error) {
	request, _ := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader("body"))
	request.Host = "h"
	for name, value := range map[string]string{headerAttempt: "one", headerTokens: "20,32", headerPrefix: "a:10", headerModel: "m", headerTimeLeft: "3000"} {
		request.Header.Set(name, value)
	}
	answer, failure := http.DefaultClient.Do(request)
	if failure != nil {
		return nil, "", failure
	}
	defer answer.Body.Close()
	body, failure := io.ReadAll(answer.Body)
	return answer, string(body), failure
}

func whole(attempt string) string {
	text := ""
	for number := int64(1); number <= 8; number++ {
		text += fmt.Sprintf("id: %d\ndata: %s\n\n", number, EventData(attempt, number))
	}
	return text
}

// Our own courier and streams take an emulated worker for a real one.
func TestCourierTakesTheStream(test *testing.T) {
	_, record, address, _ := start(test, engineSettings)
	answer, body, failure := through(test, edge(test, address), "/rigid/x")
	if failure != nil || answer.StatusCode != 200 || body != whole("one") {
		test.Fatal(answer, body, failure)
	}
	if _, holds := Sealed(answer.Header.Get(headerSeal), "one"); !holds {
		test.Fatal(answer.Header)
	}
	if runs, _ := record.Of(""); len(runs) != 1 || !runs[0].Ended {
		test.Fatal(runs)
	}
}

// A stream that the first worker cuts goes on at the second, behind its last event.
func TestCourierGoesOnElsewhere(test *testing.T) {
	first, before, firstAddress, _ := start(test, engineSettings)
	first.SetFaults(Faults{Cut: 1})
	settings := engineSettings
	settings.ID = "w2"
	_, after, secondAddress, _ := start(test, settings)
	answer, body, failure := through(test, edge(test, firstAddress, secondAddress), "/stream/x")
	if failure != nil || answer.StatusCode != 200 || body != whole("one") {
		test.Fatal(answer, body, failure)
	}
	runs, _ := before.Of("")
	more, _ := after.Of("")
	if len(runs) != 1 || len(more) != 1 || more[0].From != 4 {
		test.Fatal(runs, more)
	}
}
