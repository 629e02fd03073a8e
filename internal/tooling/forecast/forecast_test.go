package forecast

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// The family that a surge overloads is the one that is named, with the resource that it uses
// up; the others are not.
func TestNamesTheFamilyThatTightens(t *testing.T) {
	known := testKnown(t)
	for _, found := range []struct{ what, text, first, of string }{
		{"a little more", surge(traffic("kiosk", "factor = 1.2")), "", ""},
		{"plain requests", surge(traffic("status", "rate = 900.0")), "app", ResourceSlots},
		{"long prompts", surge(traffic("draft", "rate = 400.0\nevents = 2")), "llm/m", ResourcePrefill},
		{"long answers", surge(traffic("kiosk", "rate = 90.0\nfresh-tokens = 10\nprompt-tokens = 20\nevents = 200")), "llm/m", ResourceDecode},
		{"large prompts that are cached", surge(traffic("draft", "rate = 150.0\nprompt-tokens = 90000\nfresh-tokens = 100\nevents = 12")), "llm/m", ResourceMemory},
	} {
		predicted := report(t, known, found.text)
		first, of := "", ""
		if predicted.FirstShort != nil {
			first = *predicted.FirstShort
			for _, capacity := range predicted.Families {
				if capacity.Family == first {
					of = *capacity.ShortOf
				}
			}
		}
		if first != found.first || of != found.of {
			var text bytes.Buffer
			_ = predicted.Table(&text)
			t.Errorf("%s: %q of %q, want %q of %q\n%s", found.what, first, of, found.first, found.of, text.String())
		}
		if predicted.AnyLate() != (found.first != "") {
			t.Errorf("%s: late %v", found.what, predicted.AnyLate())
		}
	}
}

// The same scenario and seed give the same bytes, whatever the order of the summaries.
func TestSameScenarioSameBytes(t *testing.T) {
	text := surge(traffic("kiosk", "factor = 4.0")+traffic("batch", "items = 4000\ndue-s = 8")) + "[[families]]\nname = \"both\"\nservices = [\"llm\", \"app\"]\n"
	var first bytes.Buffer
	known := testKnown(t)
	_ = report(t, known, text).JSON(&first)
	for range 3 {
		rand.Shuffle(len(known.Summaries), func(i, j int) { known.Summaries[i], known.Summaries[j] = known.Summaries[j], known.Summaries[i] })
		var again bytes.Buffer
		if _ = report(t, known, text).JSON(&again); again.String() != first.String() {
			t.Fatal("differs:\n", again.String(), first.String())
		}
	}
}

// capacity gives the use of each resource in the surge and the factors left, by family.
func capacity(predicted *Report) map[string][2]float64 {
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

// More traffic never gives more capacity.
func TestMoreTrafficNeverGivesMoreCapacity(t *testing.T) {
	known, random := testKnown(t), rand.New(rand.NewPCG(4, 4))
	for range 30 {
		route := []string{"kiosk", "draft", "status"}[random.IntN(3)]
		rate := random.Float64() * 200
		more := rate * (1 + random.Float64())
		less := capacity(report(t, known, surge(traffic(route, fmt.Sprintf("rate = %f", rate)))))
		for name, with := range capacity(report(t, known, surge(traffic(route, fmt.Sprintf("rate = %f", more))))) {
			if with[0] < less[name][0] || with[1] > less[name][1] {
				t.Fatalf("%s at %s %.1f: %v, at %.1f: %v", name, route, rate, less[name], more, with)
			}
		}
	}
}

// Splitting a surge in two halves at the same time changes no capacity.
func TestHalvesEqualTheSum(t *testing.T) {
	known := testKnown(t)
	whole := capacity(report(t, known, surge(traffic("draft", "rate = 80.0"))))
	halves := capacity(report(t, known, surge(traffic("draft", "rate = 40.0")+traffic("draft", "rate = 40.0"))))
	for name := range whole {
		if whole[name] != halves[name] {
			t.Error(name, whole[name], halves[name])
		}
	}
}

// A family without traffic never runs short, and what was hardly observed is unknown, not a number.
func TestNothingIsMadeUp(t *testing.T) {
	known := testKnown(t)
	predicted := report(t, known, surge(traffic("draft", "rate = 900.0")))
	for _, capacity := range predicted.Families {
		if capacity.Family == "app" && capacity.ShortAtS != nil {
			t.Error("short without a surge: ", *capacity.ShortAtS)
		}
	}
	for i := range known.Summaries {
		if known.Summaries[i].Route == "status" {
			known.Summaries[i].Placed = observedMin - 1
		}
	}
	predicted = report(t, known, surge(traffic("status", "rate = 900.0")))
	for _, class := range predicted.Classes {
		if class.Class == "status" && (class.Unknown == "" || class.Late != nil || class.LateShare != nil) {
			t.Errorf("%+v", class)
		}
	}
	if predicted.FirstShort != nil {
		t.Error("named although unknown: ", *predicted.FirstShort)
	}
}

// Missing nodes are named, and widen the intervals.
func TestMissingNodesWidenTheIntervals(t *testing.T) {
	text := surge(traffic("kiosk", "factor = 7.0"))
	width := func(known *Known) float64 {
		for _, class := range report(t, known, text).Classes {
			if class.Class == "kiosk" && class.Low != nil {
				return *class.High - *class.Low
			}
		}
		t.Fatal("no interval")
		return 0
	}
	known := testKnown(t)
	full := width(known)
	known.Missing = []string{"gateway/a", "gateway/b", "gateway/c", "gateway/d"}
	// What the missing ones saw is taken to be as much: half as much was observed of the same traffic.
	known.ObservedS *= 2
	if half := width(known); half <= full && full < 1 {
		t.Fatal(half, full)
	}
	if predicted := report(t, known, text); len(predicted.NodesMissing) != 4 || predicted.NodesAnswered != 4 {
		t.Fatal(predicted.NodesMissing, predicted.NodesAnswered)
	}
}

// Workers that are thought away leave less capacity.
func TestWithoutAZone(t *testing.T) {
	known := testKnown(t)
	text := surge(traffic("kiosk", "factor = 2.0"))
	all, less := capacity(report(t, known, text)), capacity(report(t, known, text+"[[without]]\nzone = \"a\"\n"))
	if most, half := all["llm/m/slots"][0], less["llm/m/slots"][0]; half < 1.9*most || half > 2.1*most {
		t.Fatal(most, half)
	}
}

// Each wrong field is named in a line, and nothing is answered.
func TestFindings(t *testing.T) {
	for _, found := range []struct{ text, want string }{
		{"", "surges: missing"},
		{"x", "not readable as TOML"},
		{surge(traffic("kiosk", "rate = -1.0")), "surges[0].traffic[0].rate"},
		{surge(traffic("kiosk", "factor = 0.5")), "surges[0].traffic[0].factor"},
		{surge(traffic("kiosk", "rate = 1.0\nfactor = 2.0")), "one of rate, factor and items"},
		{surge(traffic("kiosk", "")), "one of rate, factor and items"},
		{surge(traffic("kiosk", "rate = 1.0\npace = 3")), "surges[0].traffic[0].pace"},
		{"[[surges]]\nname = \"s\"\n" + traffic("kiosk", "rate = 1.0"), "surges[0].duration-s: missing"},
		{surge(traffic("kiosk", "rate = 1.0")) + "[[families]]\nname = \"a\"\nmodels = [\"m\"]\n[[families]]\nname = \"b\"\nservices = [\"llm\"]\n", "overlaps"},
		{surge(traffic("kiosk", "rate = 1.0")) + "[[families]]\nname = \"a\"\n", "models or services"},
		{surge(traffic("kiosk", "rate = 1.0")) + "[[without]]\nworkers = 2\n", "one of zone and service"},
		{surge(traffic("nobody", "rate = 1.0")), `no route is named "nobody"`},
		{surge(traffic("batch", "rate = 1.0")), "items go with batch routes"},
		{surge(traffic("kiosk", "rate = 1.0")) + "[[families]]\nname = \"a\"\nmodels = [\"other\"]\n", `nothing that is known belongs to "a"`},
	} {
		scenario, findings := Read([]byte(found.text))
		if len(findings) == 0 {
			_, findings = Forecast(scenario, testKnown(t), 1)
		}
		if !strings.Contains(strings.Join(findings, "\n"), found.want) {
			t.Errorf("%q: %v, want %s", found.text, findings, found.want)
		}
	}
}

// A kept forecast is read back as it was, and a review names the family that tightened.
func TestRecordAndReview(t *testing.T) {
	known, path := testKnown(t), t.TempDir()+"/kept.json"
	text := surge(traffic("status", "rate = 900.0"))
	kept := &Record{Asked: ask(t, text), Known: known, Predicted: report(t, known, text)}
	if err := kept.Write(path); err != nil {
		t.Fatal(err)
	}
	again, err := ReadRecord(path)
	if err != nil {
		t.Fatal(err)
	}
	seen := testKnown(t)
	for i := range seen.Summaries {
		if seen.Summaries[i].Route == "status" {
			seen.Summaries[i].Rejected = seen.Summaries[i].Served
		}
	}
	review := NewReview(again, seen)
	if !review.Agrees || review.Tightened == nil || *review.Tightened != "app" {
		t.Fatalf("%+v", review)
	}
	if calm := NewReview(again, testKnown(t)); calm.Agrees || calm.Tightened != nil {
		t.Fatalf("%+v", calm)
	}
	if _, err = ReadRecord(path + ".none"); err == nil {
		t.Fatal("read what is not there")
	}
}
