package workerserver

import (
	"os"
	"path/filepath"
	"testing"

	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/recordlog"
	"lemonarch/internal/tooling/fixture"
)

// goldenWorkers are the workers of the golden files, in the order in which they were written.
var goldenWorkers = []messages.Worker{
	{ID: "w1", Backend: "model", Address: "10.0.1.1:9000", Zone: "north", Capacity: 24, WarmupMs: 300, CallCount: 3, Software: "g7"},
	{ID: "w2", Backend: "model", Address: "10.0.1.2:9000", Zone: "south", Capacity: 12, CallCount: 9, Software: "g7"},
	{ID: "w1", Backend: "model", Address: "10.0.1.1:9000", Zone: "north", Capacity: 24, Phase: messages.PhaseDraining, CallCount: 4, Software: "g7"},
	{ID: "w2", Backend: "model", Address: "10.0.1.2:9000", Zone: "south", Capacity: 12, Phase: messages.PhaseDeparted, CallCount: 10, Software: "g7"},
}

// TestGoldenWorkersFile checks that the file of workers is written and rewritten with exactly the bytes of the
// golden files, which an earlier version wrote, and that these are read, also with a torn tail. A
// changed format would lose the workers of an earlier version at an upgrade.
func TestGoldenWorkersFile(t *testing.T) {
	dir := t.TempDir()
	file, _, err := openWorkerFile(recordlog.Directory(dir))
	if err != nil {
		t.Fatal(err)
	}
	for _, worker := range goldenWorkers {
		if err = file.write([]writeRequest{{workers: []messages.Worker{worker}}}, nil); err != nil {
			t.Fatal(err)
		}
	}
	fixture.CheckGolden(t, filepath.Join(dir, "workers"), "workers-appended")
	newest := goldenWorkers[2:]
	file.requestRewrite()
	if err = file.write(nil, func() []messages.Worker { return newest }); err != nil {
		t.Fatal(err)
	}
	fixture.CheckGolden(t, filepath.Join(dir, "workers"), "workers-rewritten")

	for _, golden := range []struct {
		name   string
		torn   int
		second messages.Phase
	}{
		{"workers-appended", 0, messages.PhaseDeparted},
		{"workers-rewritten", 0, messages.PhaseDeparted},
		{"workers-appended", 3, messages.PhaseSteady},
	} {
		text, err := os.ReadFile(filepath.Join("testdata", golden.name))
		if err != nil {
			t.Fatal(err)
		}
		dir := t.TempDir()
		if err = os.WriteFile(filepath.Join(dir, "workers"), text[:len(text)-golden.torn], 0o644); err != nil {
			t.Fatal(err)
		}
		_, workers, err := openWorkerFile(recordlog.Directory(dir))
		if err != nil {
			t.Fatalf("failed to open %s without its last %d bytes: %v", golden.name, golden.torn, err)
		}
		if len(workers) != 2 || workers[0].Phase != messages.PhaseDraining || workers[1].Phase != golden.second || workers[1].Address != "10.0.1.2:9000" {
			t.Errorf("%s without the last %d bytes: got workers %+v, want w1 draining and w2 %s", golden.name, golden.torn, workers, golden.second)
		}
	}
}
