package controller

import (
	"os"
	"testing"

	"lemonarch/internal/control/assignmentserver"
	"lemonarch/internal/control/registerserver"
	"lemonarch/internal/control/workerserver"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/recordlog"
)

// TestGoldenNames holds the names of the files in data-dir: another name would lose what
// an earlier version left there.
func TestGoldenNames(t *testing.T) {
	dir := t.TempDir()
	first := []messages.Member{{Address: "10.0.0.1:7660", Disk: "first"}}
	if _, err := registerserver.Open(recordlog.Directory(dir), first, "first"); err != nil {
		t.Fatal(err)
	}
	if _, err := registerserver.OpenNamed(recordlog.Directory(dir), assignmentserver.RegisterName, first, "first"); err != nil {
		t.Fatal(err)
	}
	if _, err := workerserver.OpenTable(recordlog.Directory(dir), 0); err != nil {
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
