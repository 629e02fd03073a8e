package hollowfleet

import (
	"bytes"
	"os"
	"strings"
	"testing"
)

func TestProbedJobsGrowWithTheirItems(t *testing.T) {
	series := ProbeLots([]int{500, 4000, 16000}, 50, nil)
	if len(series.Probes) != 3 || len(series.Slopes) != 6 {
		t.Fatalf("%+v", series)
	}
	for i, probe := range series.Probes {
		if !probe.Fits || probe.TakeMs <= 0 || probe.OutputUs <= 0 || probe.HeapMB <= 0 {
			t.Errorf("%+v", probe)
		}
		if i > 0 && probe.HeapMB <= series.Probes[i-1].HeapMB {
			t.Errorf("heap %f of %d items", probe.HeapMB, probe.Items)
		}
	}
}

func TestSpentIsReadOfTheKernel(t *testing.T) {
	for count := 0; count < 30_000_000; count++ {
		_ = count
	}
	found := spentBy(os.Getpid())
	if found.resident <= 0 || found.own <= 0 || found.own > found.resident {
		t.Fatalf("%+v", found)
	}
	if departed := spentBy(1 << 30); departed != (spent{}) {
		t.Fatalf("%+v of no process", departed)
	}
}

func TestTableMarksMeasuredAndFitted(t *testing.T) {
	points := []Point{{25, 10}, {50, 20}, {100, 40}}
	best, _ := BestFit(points)
	series := &Series{Runs: []*Result{{Plan: Plan{Nodes: 25}}, {Plan: Plan{Nodes: 50}}, {Plan: Plan{Nodes: 100}}},
		Slopes: map[string]Slope{"gateway bytes": {Unit: "bytes a second", Points: points, Best: best, AtPage: best.At(PageNodes)}, "nothing": {Points: []Point{{25, 0}}}}}
	var text bytes.Buffer
	series.Table(&text, "run.json")
	if !strings.Contains(text.String(), "| gateway bytes (bytes a second) | 10 | 20 | 40 | linear (0%) | 156 fitted | run.json |") ||
		strings.Contains(text.String(), "nothing") {
		t.Fatal(text.String())
	}
	series.Slopes["gateway bytes"] = Slope{Unit: "bytes a second", Points: []Point{{25, 10}, {50, 20}, {390, 12345}}, Best: best}
	text.Reset()
	series.Table(&text, "run.json")
	if !strings.Contains(text.String(), "12.3k measured") {
		t.Fatal(text.String())
	}
}

func TestFramesCostProcessorTime(t *testing.T) {
	cost, err := WireCost()
	if err != nil || cost <= 0 || cost > 10_000 {
		t.Fatal(cost, err)
	}
}
