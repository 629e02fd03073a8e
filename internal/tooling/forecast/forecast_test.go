package forecast

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// TestPredictsTheFamilyThatRunsShort guards against a forecast that names the wrong family or resource:
// the family that the surge overloads must be predicted to run short first, of the resource that the
// surge exhausts.
func TestPredictsTheFamilyThatRunsShort(t *testing.T) {
	state := testFleetState(t)
	for _, test := range []struct{ name, text, first, resource string }{
		{"a little more", surgeTOML(trafficTOML("kiosk", "factor = 1.2")), "", ""},
		{"plain requests", surgeTOML(trafficTOML("status", "rate = 900.0")), "app", ResourceSlots},
		{"long prompts", surgeTOML(trafficTOML("draft", "rate = 400.0\nevents = 2")), "llm/m", ResourcePrefill},
		{"long answers", surgeTOML(trafficTOML("kiosk", "rate = 90.0\nfresh-tokens = 10\nprompt-tokens = 20\nevents = 200")), "llm/m", ResourceDecode},
		{"large prompts that are cached", surgeTOML(trafficTOML("draft", "rate = 150.0\nprompt-tokens = 90000\nfresh-tokens = 100\nevents = 12")), "llm/m", ResourceMemory},
	} {
		predicted := runForecast(t, state, test.text)
		first, resource := "", ""
		if predicted.FirstShort != nil {
			first = *predicted.FirstShort
			for _, capacity := range predicted.Families {
				if capacity.Family == first {
					resource = *capacity.ShortOf
				}
			}
		}
		if first != test.first || resource != test.resource {
			var text bytes.Buffer
			_ = predicted.Table(&text)
			t.Errorf("%s: got family %q short of %q, want %q short of %q\n%s", test.name, first, resource, test.first, test.resource, text.String())
		}
		if predicted.AnyLate() != (test.first != "") {
			t.Errorf("%s: got AnyLate %v, want %v", test.name, predicted.AnyLate(), test.first != "")
		}
	}
}

// TestSameScenarioSameBytes guards against reports that depend on the order of the summaries: the same
// scenario and seed must result in the same bytes.
func TestSameScenarioSameBytes(t *testing.T) {
	text := surgeTOML(trafficTOML("kiosk", "factor = 4.0")+trafficTOML("batch", "items = 4000\ndue-s = 8")) + "[[families]]\nname = \"both\"\nservices = [\"llm\", \"app\"]\n"
	var first bytes.Buffer
	state := testFleetState(t)
	_ = runForecast(t, state, text).JSON(&first)
	for range 3 {
		rand.Shuffle(len(state.Summaries), func(i, j int) { state.Summaries[i], state.Summaries[j] = state.Summaries[j], state.Summaries[i] })
		var again bytes.Buffer
		if _ = runForecast(t, state, text).JSON(&again); again.String() != first.String() {
			t.Fatal("report differs from the first one; got and want:\n", again.String(), first.String())
		}
	}
}

// resourceUse returns the use in the surge and the factor left, by family and resource.
func resourceUse(predicted *Report) map[string][2]float64 {
	resources := map[string][2]float64{}
	for _, family := range predicted.Families {
		for _, resource := range family.Resources {
			if resource.UsedSurge == nil {
				continue
			}
			left := 1e9
			if resource.FactorLeft != nil {
				left = *resource.FactorLeft
			}
			resources[family.Family+"/"+resource.Resource] = [2]float64{*resource.UsedSurge, left}
		}
	}
	return resources
}

// TestMoreTrafficNeverGivesMoreCapacity guards against capacity that grows with traffic: a higher rate
// must never lower the use of a resource or raise the factor left.
func TestMoreTrafficNeverGivesMoreCapacity(t *testing.T) {
	state, random := testFleetState(t), rand.New(rand.NewPCG(4, 4))
	for range 30 {
		route := []string{"kiosk", "draft", "status"}[random.IntN(3)]
		rate := random.Float64() * 200
		higherRate := rate * (1 + random.Float64())
		atRate := resourceUse(runForecast(t, state, surgeTOML(trafficTOML(route, fmt.Sprintf("rate = %f", rate)))))
		for name, atHigher := range resourceUse(runForecast(t, state, surgeTOML(trafficTOML(route, fmt.Sprintf("rate = %f", higherRate))))) {
			if atHigher[0] < atRate[name][0] || atHigher[1] > atRate[name][1] {
				t.Fatalf("%s with route %s at rate %.1f: use and factor left %v; at the higher rate %.1f: %v", name, route, rate, atRate[name], higherRate, atHigher)
			}
		}
	}
}

// TestSplitSurgeHasSameCapacity checks that splitting the traffic of a surge into two equal parts does
// not change the predicted capacity.
func TestSplitSurgeHasSameCapacity(t *testing.T) {
	state := testFleetState(t)
	whole := resourceUse(runForecast(t, state, surgeTOML(trafficTOML("draft", "rate = 80.0"))))
	halves := resourceUse(runForecast(t, state, surgeTOML(trafficTOML("draft", "rate = 40.0")+trafficTOML("draft", "rate = 40.0"))))
	for name := range whole {
		if whole[name] != halves[name] {
			t.Errorf("%s: use and factor left %v with the surge in two halves, want %v", name, halves[name], whole[name])
		}
	}
}

// TestUnobservedClassesAreUnknown guards against predictions without a basis: a family without a surge
// must not run short, and a class with too few observed requests must be reported as unknown instead of
// with figures.
func TestUnobservedClassesAreUnknown(t *testing.T) {
	state := testFleetState(t)
	predicted := runForecast(t, state, surgeTOML(trafficTOML("draft", "rate = 900.0")))
	for _, capacity := range predicted.Families {
		if capacity.Family == "app" && capacity.ShortAtS != nil {
			t.Errorf("family app, which has no surge, runs short at %v s, want never", *capacity.ShortAtS)
		}
	}
	for i := range state.Summaries {
		if state.Summaries[i].Route == "status" {
			state.Summaries[i].Placed = observationsMin - 1
		}
	}
	predicted = runForecast(t, state, surgeTOML(trafficTOML("status", "rate = 900.0")))
	for _, class := range predicted.Classes {
		if class.Class == "status" && (class.Unknown == "" || class.Late != nil || class.LateShare != nil) {
			t.Errorf("class status: got %+v, want unknown and no figures", class)
		}
	}
	if predicted.FirstShort != nil {
		t.Errorf("first family to run short is %q, want none since class status is unknown", *predicted.FirstShort)
	}
}

// TestMissingNodesWidenTheIntervals checks that nodes which did not respond are named in the report and
// widen the intervals.
func TestMissingNodesWidenTheIntervals(t *testing.T) {
	text := surgeTOML(trafficTOML("kiosk", "factor = 7.0"))
	width := func(state *FleetState) float64 {
		for _, class := range runForecast(t, state, text).Classes {
			if class.Class == "kiosk" && class.Low != nil {
				return *class.High - *class.Low
			}
		}
		t.Fatal("class kiosk has no interval")
		return 0
	}
	state := testFleetState(t)
	full := width(state)
	state.Missing = []string{"gateway/a", "gateway/b", "gateway/c", "gateway/d"}
	// The missing nodes are assumed to have observed the same traffic, so with twice the time the
	// rate stays the same.
	state.ObservedS *= 2
	if half := width(state); half <= full && full < 1 {
		t.Fatalf("width of the interval %v with half of the nodes missing, want above the %v with all", half, full)
	}
	if predicted := runForecast(t, state, text); len(predicted.NodesMissing) != 4 || predicted.NodesAnswered != 4 {
		t.Fatalf("missing nodes %v and %d nodes that answered, want 4 of each", predicted.NodesMissing, predicted.NodesAnswered)
	}
}

// TestExcludedZoneReducesCapacity checks that excluding one of two equal zones doubles the use of slots.
func TestExcludedZoneReducesCapacity(t *testing.T) {
	state := testFleetState(t)
	text := surgeTOML(trafficTOML("kiosk", "factor = 2.0"))
	complete, withoutZone := resourceUse(runForecast(t, state, text)), resourceUse(runForecast(t, state, text+"[[without]]\nzone = \"a\"\n"))
	if before, after := complete["llm/m/slots"][0], withoutZone["llm/m/slots"][0]; after < 1.9*before || after > 2.1*before {
		t.Fatalf("use of slots %v without a zone, want about twice the %v with it", after, before)
	}
}

// TestWrongFieldsAreReported checks that each wrong field of a scenario is named in a finding, whether it
// is found when the scenario is read or when it is compared with the state of the fleet.
func TestWrongFieldsAreReported(t *testing.T) {
	for _, test := range []struct{ text, want string }{
		{"", "surges: missing"},
		{"x", "not readable as TOML"},
		{surgeTOML(trafficTOML("kiosk", "rate = -1.0")), "surges[0].traffic[0].rate"},
		{surgeTOML(trafficTOML("kiosk", "factor = 0.5")), "surges[0].traffic[0].factor"},
		{surgeTOML(trafficTOML("kiosk", "rate = 1.0\nfactor = 2.0")), "one of rate, factor and items"},
		{surgeTOML(trafficTOML("kiosk", "")), "one of rate, factor and items"},
		{surgeTOML(trafficTOML("kiosk", "rate = 1.0\npace = 3")), "surges[0].traffic[0].pace"},
		{"[[surges]]\nname = \"s\"\n" + trafficTOML("kiosk", "rate = 1.0"), "surges[0].duration-s: missing"},
		{surgeTOML(trafficTOML("kiosk", "rate = 1.0")) + "[[families]]\nname = \"a\"\nmodels = [\"m\"]\n[[families]]\nname = \"b\"\nservices = [\"llm\"]\n", "overlaps"},
		{surgeTOML(trafficTOML("kiosk", "rate = 1.0")) + "[[families]]\nname = \"a\"\n", "models or services"},
		{surgeTOML(trafficTOML("kiosk", "rate = 1.0")) + "[[without]]\nworkers = 2\n", "one of zone and service"},
		{surgeTOML(trafficTOML("nobody", "rate = 1.0")), `no route is named "nobody"`},
		{surgeTOML(trafficTOML("batch", "rate = 1.0")), "items go with batch routes"},
		{surgeTOML(trafficTOML("kiosk", "rate = 1.0")) + "[[families]]\nname = \"a\"\nmodels = [\"other\"]\n", `nothing that is known belongs to "a"`},
	} {
		scenario, findings := Read([]byte(test.text))
		if len(findings) == 0 {
			_, findings = Forecast(scenario, testFleetState(t), 1)
		}
		if !strings.Contains(strings.Join(findings, "\n"), test.want) {
			t.Errorf("%q: got findings %v, want one with %s", test.text, findings, test.want)
		}
	}
}

// TestRecordAndReview checks that a written forecast can be read, and that a review names the family that
// ran short since: the one whose requests were rejected, or none if there were no rejections.
func TestRecordAndReview(t *testing.T) {
	state, path := testFleetState(t), t.TempDir()+"/kept.json"
	text := surgeTOML(trafficTOML("status", "rate = 900.0"))
	record := &Record{Scenario: parseScenario(t, text), State: state, Predicted: runForecast(t, state, text)}
	if err := record.Write(path); err != nil {
		t.Fatal(err)
	}
	reread, err := ReadRecord(path)
	if err != nil {
		t.Fatal(err)
	}
	observed := testFleetState(t)
	for i := range observed.Summaries {
		if observed.Summaries[i].Route == "status" {
			observed.Summaries[i].Rejected = observed.Summaries[i].Served
		}
	}
	review := NewReview(reread, observed)
	if !review.Agrees || review.ObservedShort == nil || *review.ObservedShort != "app" {
		t.Fatalf("review: got %+v, want agreement on family app", review)
	}
	if unchanged := NewReview(reread, testFleetState(t)); unchanged.Agrees || unchanged.ObservedShort != nil {
		t.Fatalf("review without rejections: got %+v, want no family and no agreement", unchanged)
	}
	if _, err = ReadRecord(path + ".none"); err == nil {
		t.Fatal("got no error for a missing file")
	}
}
