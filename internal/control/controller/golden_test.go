package controller

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"lemonarch/internal/control/registerserver"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/recordlog"
)

// goldenWorkers are the workers of the golden files, as they were written one by one.
var goldenWorkers = []messages.Worker{
	{ID: "w1", Backend: "model", Address: "10.0.1.1:9000", Zone: "north", Capacity: 24, WarmupMs: 300, CallCount: 3, Software: "g7"},
	{ID: "w2", Backend: "model", Address: "10.0.1.2:9000", Zone: "south", Capacity: 12, CallCount: 9, Software: "g7"},
	{ID: "w1", Backend: "model", Address: "10.0.1.1:9000", Zone: "north", Capacity: 24, Phase: messages.PhaseDraining, CallCount: 4, Software: "g7"},
	{ID: "w2", Backend: "model", Address: "10.0.1.2:9000", Zone: "south", Capacity: 12, Phase: messages.PhaseDeparted, CallCount: 10, Software: "g7"},
}

func checkGolden(t *testing.T, path, golden string) {
	t.Helper()
	written, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile(filepath.Join("testdata", golden))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(written, want) {
		t.Errorf("%s: %d bytes differ from the %d of %s", filepath.Base(path), len(written), len(want), golden)
	}
}

// TestGoldenWorkersFile has the file of workers written and rewritten to the bytes that an
// earlier version wrote, and read, also with a torn tail.
func TestGoldenWorkersFile(t *testing.T) {
	dir := t.TempDir()
	memory, _, err := openWorkerFile(recordlog.Directory(dir))
	if err != nil {
		t.Fatal(err)
	}
	for _, worker := range goldenWorkers {
		if err = memory.write([]writeRequest{{workers: []messages.Worker{worker}}}, nil); err != nil {
			t.Fatal(err)
		}
	}
	checkGolden(t, filepath.Join(dir, "workers"), "workers-appended")
	newest := goldenWorkers[2:]
	if err = memory.write([]writeRequest{{rewrite: true}}, func() []messages.Worker { return newest }); err != nil {
		t.Fatal(err)
	}
	checkGolden(t, filepath.Join(dir, "workers"), "workers-rewritten")

	for _, file := range []struct {
		golden string
		torn   int
		second messages.Phase
	}{
		{"workers-appended", 0, messages.PhaseDeparted},
		{"workers-rewritten", 0, messages.PhaseDeparted},
		{"workers-appended", 3, messages.PhaseSteady},
	} {
		text, err := os.ReadFile(filepath.Join("testdata", file.golden))
		if err != nil {
			t.Fatal(err)
		}
		dir := t.TempDir()
		if err = os.WriteFile(filepath.Join(dir, "workers"), text[:len(text)-file.torn], 0o644); err != nil {
			t.Fatal(err)
		}
		_, workers, err := openWorkerFile(recordlog.Directory(dir))
		if err != nil {
			t.Fatal(file.golden, err)
		}
		if len(workers) != 2 || workers[0].Phase != messages.PhaseDraining || workers[1].Phase != file.second || workers[1].Address != "10.0.1.2:9000" {
			t.Errorf("%s less %d bytes: read %+v", file.golden, file.torn, workers)
		}
	}
}

// TestGoldenNames holds the names of the files in data-dir: another name would lose what
// an earlier version left there.
func TestGoldenNames(t *testing.T) {
	dir := t.TempDir()
	first := []messages.Member{{Address: "10.0.0.1:7660", Disk: "first"}}
	if _, err := registerserver.Open(recordlog.Directory(dir), first, "first"); err != nil {
		t.Fatal(err)
	}
	if _, err := registerserver.OpenNamed(recordlog.Directory(dir), PlansRegister, first, "first"); err != nil {
		t.Fatal(err)
	}
	if _, _, err := openWorkerFile(recordlog.Directory(dir)); err != nil {
		t.Fatal(err)
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	want := []string{"register", "register-plans", "register-plans-taken", "register-taken", "workers"}
	if len(names) != len(want) {
		t.Fatalf("files %v, want %v", names, want)
	}
	for i := range want {
		if names[i] != want[i] {
			t.Errorf("file %s, want %s", names[i], want[i])
		}
	}
}
