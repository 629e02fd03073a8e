package hollowfleet

import (
	"encoding/json"
	"math"
	"math/rand"
	"os"
	"strings"
	"testing"

	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// small is a fleet that plays in a moment, with something of everything.
func small(seed int64) Plan {
	plan := Usual()
	plan.Nodes, plan.Workers, plan.Zones, plan.StoreEach = 12, 18, 4, 3
	plan.WarmS, plan.DurationS, plan.Seed = 4, 12, seed
	plan.Changes, plan.Turns, plan.Lots, plan.LotItems, plan.Failures, plan.DownS = 30, 30, 20, 20, 15, 5
	plan.ConfigBytes, plan.ZoneS, plan.PartS = 2000, 1, 2
	return plan
}

func told(t *testing.T, result *Result) string {
	t.Helper()

	text, err := json.Marshal(result.Simulated)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestSameSeedSameResult(t *testing.T) {
	first, again, other := New(small(3), nil).Run(), New(small(3), nil).Run(), New(small(4), nil).Run()
	if told(t, first) != told(t, again) {
		t.Fatalf("one seed, two results:\n%s\n%s", told(t, first), told(t, again))
	}
	if told(t, first) == told(t, other) {
		t.Fatal("two seeds, one result")
	}
}

func TestUpdatesReachEverybody(t *testing.T) {
	plan := small(5)
	plan.ZoneS, plan.PartS, plan.Failures = 0, 0, 0
	result := New(plan, nil).Run()
	for _, kind := range []string{"configuration", "worker drains"} {
		times := result.Simulated.Known[kind]
		if times.Count == 0 || times.Unfinished > 0 || times.WorstMs > 1000 {
			t.Errorf("%s: %+v", kind, times)
		}
	}
	if result.Simulated.Lots.HandedIn == 0 || result.Simulated.Lots.Listed == 0 || result.Simulated.Lots.Durable.Count == 0 {
		t.Errorf("lots: %+v", result.Simulated.Lots)
	}
	for _, role := range roleNames {
		traffic, cost := result.Simulated.Roles[role], result.Measured.Roles[role]
		if traffic.Processes == 0 || traffic.Out.Bytes <= 0 || traffic.In.Bytes <= 0 || cost.control() <= 0 || sum(cost.HeapKB) <= 0 {
			t.Errorf("%s: %+v %+v", role, traffic, cost)
		}
	}
}

// Controllers keep their leases and every process reports to two controllers. While regions
// are parted neither half has a majority: orders are refused, and drains are not
// acknowledged, until they meet again.
func TestContactIsPlayed(t *testing.T) {
	plan := small(7)
	plan.ZoneS, plan.PartS, plan.Failures, plan.DurationS = 0, 0, 0, 20
	result := New(plan, nil).Run()
	// Four controllers ask three others: calls and answers of one kind.
	requested := 4 * 3 * 2 / constants.ContactPeriod.Seconds()
	if frames := framesOf(result, messages.KindContact); math.Abs(frames-requested) > 0.02*requested {
		t.Errorf("%.1f contact frames a second, want %.1f", frames, requested)
	}
	reports := float64(plan.Nodes) * 2 * (1 + 1/constants.SecondReportPeriod.Seconds())
	if frames := framesOf(result, messages.KindShuffle); frames < 0.98*reports || frames > 1.2*reports {
		t.Errorf("%.1f report frames a second, want %.1f and the shuffles", frames, reports)
	}
	if len(result.Simulated.Refused) > 0 {
		t.Errorf("refused: %v", result.Simulated.Refused)
	}
	plan.PartS = 10
	parted := New(plan, nil).Run()
	if parted.Simulated.Refused["configuration"] == 0 || parted.Simulated.Acknowledged["worker drains"].Count >= result.Simulated.Acknowledged["worker drains"].Count {
		t.Errorf("parted: refused %v, acknowledged %+v", parted.Simulated.Refused, parted.Simulated.Acknowledged)
	}
}

func framesOf(result *Result, kind messages.Kind) (frames float64) {
	for _, rate := range result.Simulated.Kinds[kind.String()] {
		frames += rate.Frames
	}
	return frames
}

// What goes out of one process comes into another, or is on its way to one that is
// gone; the kinds add up to the same.
func TestBytesAddUp(t *testing.T) {
	plan := small(6)
	plan.ZoneS, plan.PartS, plan.Failures = 0, 0, 0
	result := New(plan, nil).Run()
	out, in, kinds := 0.0, 0.0, 0.0
	for _, traffic := range result.Simulated.Roles {
		out += traffic.Out.Bytes * float64(traffic.Processes)
		in += traffic.In.Bytes * float64(traffic.Processes)
	}
	for _, rates := range result.Simulated.Kinds {
		for _, rate := range rates {
			kinds += rate.Bytes
		}
	}
	if math.Abs(out-in) > 1e-6*out || math.Abs(out-kinds) > 1e-6*out {
		t.Fatalf("out %f in %f by kind %f", out, in, kinds)
	}
}

func TestFitRecoversSlopes(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	for _, entry := range []struct {
		shape Shape
		of    func(float64) float64
	}{
		{ShapeConstant, func(float64) float64 { return 40 }},
		{ShapeLogarithmic, func(size float64) float64 { return 5 + 3*math.Log2(size) }},
		{ShapeLinear, func(size float64) float64 { return 7 + 0.5*size }},
		{ShapeQuadratic, func(size float64) float64 { return 100 + 0.25*size*size }},
	} {
		var points []Point
		for _, size := range []float64{25, 50, 100, 200, 390} {
			points = append(points, Point{size, entry.of(size) * (1 + 0.01*random.NormFloat64())})
		}
		best, all := BestFit(points)
		if best.Shape != entry.shape || len(all) != 4 {
			t.Errorf("%s taken for %s", entry.shape, best.Shape)
		}
		if want := entry.of(800); math.Abs(best.At(800)-want) > 0.06*want {
			t.Errorf("%s: %f at 800, want %f", entry.shape, best.At(800), want)
		}
		if best.Error > 0.05 {
			t.Errorf("%s: error %f", entry.shape, best.Error)
		}
	}
}

func TestPlanNamesWhatIsSenseless(t *testing.T) {
	for flag, spoil := range map[string]func(*Plan){
		"--nodes":        func(plan *Plan) { plan.Nodes = 1 },
		"--zones":        func(plan *Plan) { plan.Zones = 51 },
		"--regions":      func(plan *Plan) { plan.Regions = 9 },
		"--workers":      func(plan *Plan) { plan.Workers = 0 },
		"--part":         func(plan *Plan) { plan.PartS, plan.Regions = 5, 1 },
		"--zone":         func(plan *Plan) { plan.ZoneS = 100 },
		"--duration":     func(plan *Plan) { plan.DurationS = 0 },
		"--lot-items":    func(plan *Plan) { plan.LotItems = 0 },
		"--config-bytes": func(plan *Plan) { plan.ConfigBytes = 10 },
		"--failures":     func(plan *Plan) { plan.Failures = -1 },
	} {
		plan := Usual()
		spoil(&plan)
		findings := plan.Check()
		if len(findings) == 0 || !strings.HasPrefix(findings[0], flag+" ") {
			t.Errorf("%s: %q", flag, findings)
		}
	}
	if plan := Usual(); len(plan.Check()) > 0 {
		t.Error(plan.Check())
	}
}

func TestChartIsSmall(t *testing.T) {
	folder := t.TempDir()
	points := []Point{{25, 10}, {50, 20}, {100, 41}}
	best, _ := BestFit(points)
	chart := Chart{Title: "Some Title", Budget: 30, Lines: map[string]Slope{"gateway": {Unit: "ms", Points: points, Best: best}}}
	if err := chart.Draw(folder); err != nil {
		t.Fatal(err)
	}
	found, err := os.Stat(folder + "/some-title.svg")
	if err != nil || found.Size() < 1000 || found.Size() > 60<<10 {
		t.Fatal(found, err)
	}
}
