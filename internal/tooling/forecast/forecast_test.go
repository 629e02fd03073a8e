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
		told := answer(t, known, found.text)
		first, of := "", ""
		if told.FirstShort != nil {
			first = *told.FirstShort
			for _, room := range told.Families {
				if room.Family == first {
					of = *room.ShortOf
				}
			}
		}
		if first != found.first || of != found.of {
			var text bytes.Buffer
			_ = told.Table(&text)
			t.Errorf("%s: %q of %q, want %q of %q\n%s", found.what, first, of, found.first, found.of, text.String())
		}
		if told.AnyLate() != (found.first != "") {
			t.Errorf("%s: late %v", found.what, told.AnyLate())
		}
	}
}

// The same question and seed give the same bytes, whatever the order of the summaries.
func TestSameQuestionSameBytes(t *testing.T) {
	text := surge(traffic("kiosk", "factor = 4.0")+traffic("batch", "items = 4000\ndue-s = 8")) + "[[families]]\nname = \"both\"\nservices = [\"llm\", \"app\"]\n"
	var first bytes.Buffer
	known := testKnown(t)
	_ = answer(t, known, text).JSON(&first)
	for range 3 {
		rand.Shuffle(len(known.Summaries), func(i, j int) { known.Summaries[i], known.Summaries[j] = known.Summaries[j], known.Summaries[i] })
		var again bytes.Buffer
		if _ = answer(t, known, text).JSON(&again); again.String() != first.String() {
			t.Fatal("differs:\n", again.String(), first.String())
		}
	}
}

// room gives the use of each resource in the surge and the factors left, by family.
func room(told *Answer) map[string][2]float64 {
	rooms := map[string][2]float64{}
	for _, family := range told.Families {
		for _, resource := range family.Resources {
			if resource.UsedSurge == nil {
				continue
			}
			left := 1e9
			if resource.FactorLeft != nil {
				left = *resource.FactorLeft
			}
			rooms[family.Family+"/"+resource.Resource] = [2]float64{*resource.UsedSurge, left}
		}
	}
	return rooms
}

// More traffic never gives more room.
func TestMoreTrafficNeverGivesMoreRoom(t *testing.T) {
	known, random := testKnown(t), rand.New(rand.NewPCG(4, 4))
	for range 30 {
		route := []string{"kiosk", "draft", "status"}[random.IntN(3)]
		rate := random.Float64() * 200
		more := rate * (1 + random.Float64())
		less := room(answer(t, known, surge(traffic(route, fmt.Sprintf("rate = %f", rate)))))
		for name, with := range room(answer(t, known, surge(traffic(route, fmt.Sprintf("rate = %f", more))))) {
			if with[0] < less[name][0] || with[1] > less[name][1] {
				t.Fatalf("%s at %s %.1f: %v, at %.1f: %v", name, route, rate, less[name], more, with)
			}
		}
	}
}

// Splitting a surge in two halves at the same time changes no room.
func TestHalvesAreTheWhole(t *testing.T) {
	known := testKnown(t)
	whole := room(answer(t, known, surge(traffic("draft", "rate = 80.0"))))
	halves := room(answer(t, known, surge(traffic("draft", "rate = 40.0")+traffic("draft", "rate = 40.0"))))
	for name := range whole {
		if whole[name] != halves[name] {
			t.Error(name, whole[name], halves[name])
		}
	}
}

// A family without traffic never runs short, and what was hardly seen is unknown, not a number.
func TestNothingIsMadeUp(t *testing.T) {
	known := testKnown(t)
	told := answer(t, known, surge(traffic("draft", "rate = 900.0")))
	for _, room := range told.Families {
		if room.Family == "app" && room.ShortAtS != nil {
			t.Error("short without a surge: ", *room.ShortAtS)
		}
	}
	for i := range known.Summaries {
		if known.Summaries[i].Route == "status" {
			known.Summaries[i].Placed = observedMin - 1
		}
	}
	told = answer(t, known, surge(traffic("status", "rate = 900.0")))
	for _, class := range told.Classes {
		if class.Class == "status" && (class.Unknown == "" || class.Late != nil || class.LateShare != nil) {
			t.Errorf("%+v", class)
		}
	}
	if told.FirstShort != nil {
		t.Error("named although unknown: ", *told.FirstShort)
	}
}

// Missing nodes are named, and widen the intervals.
func TestMissingNodesWidenTheIntervals(t *testing.T) {
	text := surge(traffic("kiosk", "factor = 7.0"))
	width := func(known *Known) float64 {
		for _, class := range answer(t, known, text).Classes {
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
	// What the missing ones saw is taken to be as much: half as much was seen of the same traffic.
	known.ObservedS *= 2
	if half := width(known); half <= full && full < 1 {
		t.Fatal(half, full)
	}
	if told := answer(t, known, text); len(told.NodesMissing) != 4 || told.NodesAnswered != 4 {
		t.Fatal(told.NodesMissing, told.NodesAnswered)
	}
}

// Workers that are thought away leave less room.
func TestWithoutAZone(t *testing.T) {
	known := testKnown(t)
	text := surge(traffic("kiosk", "factor = 2.0"))
	all, less := room(answer(t, known, text)), room(answer(t, known, text+"[[without]]\nzone = \"a\"\n"))
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
		question, findings := Read([]byte(found.text))
		if len(findings) == 0 {
			_, findings = Forecast(question, testKnown(t), 1)
		}
		if !strings.Contains(strings.Join(findings, "\n"), found.want) {
			t.Errorf("%q: %v, want %s", found.text, findings, found.want)
		}
	}
}

// A kept forecast is read back as it was, and a review names the family that tightened.
func TestKeptAndReviewed(t *testing.T) {
	known, path := testKnown(t), t.TempDir()+"/kept.json"
	text := surge(traffic("status", "rate = 900.0"))
	kept := &Kept{Asked: ask(t, text), Known: known, Told: answer(t, known, text)}
	if err := kept.Write(path); err != nil {
		t.Fatal(err)
	}
	again, err := ReadKept(path)
	if err != nil {
		t.Fatal(err)
	}
	came := testKnown(t)
	for i := range came.Summaries {
		if came.Summaries[i].Route == "status" {
			came.Summaries[i].Rejected = came.Summaries[i].Served
		}
	}
	review := NewReview(again, came)
	if !review.Agrees || review.Tightened == nil || *review.Tightened != "app" {
		t.Fatalf("%+v", review)
	}
	if calm := NewReview(again, testKnown(t)); calm.Agrees || calm.Tightened != nil {
		t.Fatalf("%+v", calm)
	}
	if _, err = ReadKept(path + ".none"); err == nil {
		t.Fatal("read what is not there")
	}
}
