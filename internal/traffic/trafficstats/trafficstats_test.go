package trafficstats

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

func observation(route string, random *rand.Rand) *Observation {
	return &Observation{Class: Class{Route: route, Service: "s", Model: "m"}, Outcome: Outcome(random.IntN(3)), Placed: true,
		PromptTokens: random.IntN(5000), FreshTokens: random.IntN(500), OutTokens: random.IntN(300), Events: 2 + random.IntN(20),
		QueueWait: clock.Duration(random.IntN(20_000_000)), FirstEvent: clock.Duration(1 + random.IntN(400_000_000)),
		Duration: clock.Duration(random.IntN(2_000_000_000)), EventGap: clock.Duration(1 + random.IntN(80_000_000)), LoadKnown: true, Running: random.IntN(12)}
}

func encoded(t *testing.T, summaries []messages.TrafficSummary) []byte {
	t.Helper()
	body, err := (&messages.TrafficSummaryResponse{Summaries: summaries}).MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// Merging the summaries of several processes returns the same result in any order, also if some of
// them are results of a merge.
func TestMergeIsOrderIndependent(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var all []messages.TrafficSummary
	for range 6 {
		recorder := New(0)
		for range 300 {
			recorder.Record(observation(fmt.Sprint("r", random.IntN(4)), random), 1)
		}
		summaries, _ := recorder.Summaries(1)
		all = append(all, summaries...)
	}
	merge := func(summaries []messages.TrafficSummary) []messages.TrafficSummary {
		merged := Merged{}
		for i := range summaries {
			merged.Add(&summaries[i])
		}
		return merged.Summaries()
	}
	want := encoded(t, merge(all))
	for range 20 {
		random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		cut := random.IntN(len(all))
		halves := append(merge(all[:cut]), merge(all[cut:])...)
		if !bytes.Equal(encoded(t, merge(halves)), want) {
			t.Fatalf("merged summaries depend on the order (split at %d)", cut)
		}
	}
}

// Summaries cover the current and the previous window, and exclude older requests.
func TestSummariesCoverTwoWindows(t *testing.T) {
	recorder, random := New(0), rand.New(rand.NewPCG(2, 2))
	at := func(seconds float64) clock.Instant { return clock.Instant(0).Add(clock.Milliseconds(seconds * 1000)) }
	count := func(now float64) (placed int64, observed float64) {
		summaries, covered := recorder.Summaries(at(now))
		for _, summary := range summaries {
			placed += summary.Placed
		}
		return placed, covered.Seconds()
	}
	recorder.Record(observation("r", random), at(10))
	recorder.Record(observation("r", random), at(70))
	if placed, observed := count(80); placed != 2 || observed != 80 {
		t.Fatalf("%d placed in %v s, want 2 in 80 s", placed, observed)
	}
	recorder.Record(observation("r", random), at(140))
	if placed, observed := count(141); placed != 2 || observed != 71 {
		t.Fatalf("%d placed in %v s, want 2 in 71 s", placed, observed)
	}
	if placed, observed := count(600); placed != 0 || observed != constants.TrafficWindow.Seconds() {
		t.Fatalf("%d placed in %v s, want none in one empty window", placed, observed)
	}
}

// Classes beyond the limit are counted together, so that the encoded summaries have at most 200 KiB. A
// histogram returns a duration within 10%. A nil recorder records nothing.
func TestSummariesAreBounded(t *testing.T) {
	recorder, random := New(0), rand.New(rand.NewPCG(3, 3))
	for i := range 10 * constants.TrafficClasses {
		recorder.Record(observation(fmt.Sprint("r", i), random), 1)
	}
	summaries, _ := recorder.Summaries(1)
	if len(summaries) != constants.TrafficClasses+1 {
		t.Fatalf("%d summaries, want %d", len(summaries), constants.TrafficClasses+1)
	}
	if body := encoded(t, summaries); len(body) > 200<<10 {
		t.Fatalf("the encoded summaries have %d bytes, want at most 200 KiB", len(body))
	}
	for _, milliseconds := range []float64{0.1, 1, 37, 800, 25_000, 119_000} {
		histogram := newHistogram()
		observe(histogram, clock.Milliseconds(milliseconds))
		packed := encode(histogram)
		got, known := Quantile(&packed, 50)
		if !known || got < 0.9*milliseconds || got > 1.1*milliseconds {
			t.Errorf("median of %v ms is %v ms, want it within 10%%", milliseconds, got)
		}
	}
	var disabled *Recorder
	disabled.Record(observation("r", random), 1)
	if summaries, observed := disabled.Summaries(1); summaries != nil || observed != 0 {
		t.Fatalf("a nil recorder returned %v over %v, want nothing", summaries, observed)
	}
}

// BenchmarkRecord measures the cost of recording one request.
func BenchmarkRecord(b *testing.B) {
	recorder, random := New(0), rand.New(rand.NewPCG(4, 4))
	o := observation("r", random)
	o.Outcome = OutcomeServed
	b.ReportAllocs()
	for b.Loop() {
		recorder.Record(o, 1)
	}
}
