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

// TestGoldenNames checks the names of the files in data-dir: with another name, the data of an
// earlier version would be lost.
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
	files, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, file := range files {
		names = append(names, file.Name())
	}
	want := []string{"register", "register-plans", "register-plans-taken", "register-taken", "workers"}
	if len(names) != len(want) {
		t.Fatalf("got files %v, want %v", names, want)
	}
	for i := range want {
		if names[i] != want[i] {
			t.Errorf("got file %s, want %s", names[i], want[i])
		}
	}
}
