package forecast

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/traffic/trafficstats"
)

const testConfig = `{"generation":1,"channels":[
{"name":"kiosk","host":"h","path-prefix":"/k/","route-kind":"streaming","cutoff-ms":6000,"setpoint-ms":200,"priority":0,"backend":"llm","affine":true,"gap-setpoint-ms":250},
{"name":"draft","host":"h","path-prefix":"/d/","route-kind":"streaming","cutoff-ms":4000,"setpoint-ms":400,"priority":0,"backend":"llm","affine":true,"gap-setpoint-ms":250},
{"name":"batch","host":"h","path-prefix":"/b/","route-kind":"bulk","cutoff-ms":4000,"setpoint-ms":400,"result-setpoint-ms":10000,"priority":2,"backend":"llm"},
{"name":"status","host":"h","path-prefix":"/s/","route-kind":"idempotent","cutoff-ms":4000,"setpoint-ms":300,"priority":0,"backend":"app"}],
"backends":[{"name":"llm","conn-limit":200,"engine":{"capacity":12,"cache-tokens":300000}},{"name":"app","conn-limit":100}],"limits":{}}`

// recordRequests adds requests to a recorder, as gateways observe them. The requests vary around template.
func recordRequests(recorder *trafficstats.Recorder, count int, template trafficstats.Observation, random *rand.Rand) {
	for range count {
		observation := template
		observation.Outcome, observation.Placed = trafficstats.OutcomeServed, true
		observation.Running = 1 + random.IntN(8)
		observation.LoadKnown = true
		if template.Events > 1 {
			observation.FreshTokens = int(float64(template.FreshTokens) * (0.5 + random.Float64()))
			// The first event takes 2 ms plus 1 ms per 100 fresh tokens; the gap between two events
			// is 20 ms plus 1 ms for each running request.
			observation.FirstEvent = clock.Milliseconds(2 + float64(observation.FreshTokens)/100)
			observation.EventGap = clock.Milliseconds(20 + float64(observation.Running))
			observation.Duration = observation.FirstEvent + observation.EventGap*clock.Duration(template.Events-1)
		}
		recorder.Record(&observation, 1)
	}
}

// testFleetState returns the state of a fleet of 10 model workers and 2 plain workers, observed for 60 s.
func testFleetState(t *testing.T) *FleetState {
	t.Helper()
	config, err := routeconfig.Parse([]byte(testConfig))
	if err != nil {
		t.Fatal(err)
	}
	random, recorder := rand.New(rand.NewPCG(1, 2)), trafficstats.New(0)
	class := func(route, service, model string) trafficstats.Class {
		return trafficstats.Class{Route: route, Service: service, Model: model}
	}
	recordRequests(recorder, 3000, trafficstats.Observation{Class: class("kiosk", "llm", "m"), PromptTokens: 700, FreshTokens: 500, Events: 10}, random)
	recordRequests(recorder, 600, trafficstats.Observation{Class: class("draft", "llm", "m"), PromptTokens: 17000, FreshTokens: 4000, Events: 6}, random)
	recordRequests(recorder, 600, trafficstats.Observation{Class: class("batch", "llm", "m"), Bulk: true, PromptTokens: 1200, FreshTokens: 800, Events: 20}, random)
	recordRequests(recorder, 1200, trafficstats.Observation{Class: class("status", "app", ""), Duration: clock.Milliseconds(30)}, random)
	summaries, _ := recorder.Summaries(2)
	return &FleetState{Config: config, ObservedS: 60, Summaries: summaries, Answered: 4,
		Workers: []messages.WorkerGroup{{Service: "app", Zone: "a", Workers: 2, Slots: 12}, {Service: "llm", Zone: "a", Workers: 5, Slots: 60}, {Service: "llm", Zone: "b", Workers: 5, Slots: 60}}}
}

func parseScenario(t *testing.T, text string) *Scenario {
	t.Helper()
	scenario, findings := Read([]byte(text))
	if len(findings) > 0 {
		t.Fatalf("findings %v when the scenario is read, want none", findings)
	}
	return scenario
}

func runForecast(t *testing.T, state *FleetState, text string) *Report {
	t.Helper()
	predicted, findings := Forecast(parseScenario(t, text), state, 1)
	if len(findings) > 0 {
		t.Fatalf("findings %v of the forecast, want none", findings)
	}
	return predicted
}

func surgeTOML(lines string) string {
	return "[[surges]]\nname = \"s\"\nstart-s = 5\nduration-s = 15\n" + lines
}

func trafficTOML(route, amount string) string {
	return fmt.Sprintf("[[surges.traffic]]\nroute = %q\n%s\n", route, amount)
}
