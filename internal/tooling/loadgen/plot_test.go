package loadgen

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

func TestPlot(t *testing.T) {
	result := newResult("lab")
	path := filepath.Join(t.TempDir(), "latency.svg")
	if Plot(path, []*Result{result}) == nil {
		t.Fatal("want an error for a plot without requests")
	}
	for count := 1; count <= 1000; count++ {
		result.countItem(true, time.Duration(count)*time.Millisecond, true)
	}
	points := result.kind("batch").latencyCurve()
	if len(points) != 9 || points[0].Y < 495 || points[0].Y > 505 || points[8].Y < 990 {
		t.Fatal("want 9 points for 1,000 requests, from one in 2 to one in 512 being slower, got", points)
	}
	if err := Plot(path, []*Result{result}); err != nil {
		t.Fatal(err)
	}
	if state, err := os.Stat(path); err != nil || state.Size() < 1000 {
		t.Fatalf("got plot file %v, error %v; want a file of at least 1000 bytes", state, err)
	}
	if CheckPlot("x.txt") == nil || Plot(filepath.Join(path, "x.svg"), []*Result{result}) == nil {
		t.Fatal("want an error for a plot that can't be written")
	}
}
