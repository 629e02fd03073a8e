package registerserver

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/recordlog"
	"lemonarch/internal/tooling/fixture"
)

// goldenFirst is the acceptor set of the golden files.
var goldenFirst = []messages.Member{{Name: "a", Address: "10.0.0.1:7660", Disk: "first", Zone: "north"}}

// goldenVersions is the number of versions committed for the golden files, and goldenChunks the
// number of chunks in their archive.
const (
	goldenVersions = 70
	goldenChunks   = 4
)

// writeGolden has an acceptor accept goldenVersions versions one after the other.
func writeGolden(t *testing.T, dir string) *Replica {
	t.Helper()
	replica, err := Open(recordlog.Directory(dir), goldenFirst, "first")
	if err != nil {
		t.Fatal(err)
	}
	for generation := int64(1); generation <= goldenVersions; generation++ {
		ballot := messages.Ballot{Counter: uint64(generation), Node: "a"}
		if _, err = replica.Prepare(&messages.PrepareRequest{Ballot: ballot, Disk: "first"}); err != nil {
			t.Fatal(err)
		}
		version := messages.Version{Generation: generation, Base: generation - 1, Hash: fmt.Sprint("h", generation)}
		var result register.Result
		value, _ := register.Replace(version, fmt.Appendf(nil, "body %d", generation), &result)(replica.Record().Value)
		if resp, err := replica.Accept(&messages.AcceptRequest{Ballot: ballot, Disk: "first", Value: value}); err != nil || !resp.Granted {
			t.Fatalf("accept of generation %d: granted %v, want true; error %v", generation, resp.Granted, err)
		}
	}
	return replica
}

// copyGolden copies a golden file into a folder without its last truncate bytes.
func copyGolden(t *testing.T, golden, dir, name string, truncate int) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", golden))
	if err != nil {
		t.Fatal(err)
	}
	if err = os.WriteFile(filepath.Join(dir, name), text[:len(text)-truncate], 0o644); err != nil {
		t.Fatal(err)
	}
}

// TestGoldenRegisterFile checks that the acceptor's file is written and rewritten to the same bytes
// that an earlier release wrote, and that it can be read, also with a torn tail.
func TestGoldenRegisterFile(t *testing.T) {
	dir := t.TempDir()
	replica := writeGolden(t, dir)
	fixture.CheckGolden(t, filepath.Join(dir, "register"), "register-appended")
	record := replica.Record()
	body, err := record.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := replica.logfile.Rewrite(recordlog.Records(body)); err != nil {
		t.Fatal(err)
	}
	fixture.CheckGolden(t, filepath.Join(dir, "register"), "register-rewritten")

	for _, file := range []struct {
		golden     string
		torn       int
		generation int64
		counter    uint64
	}{
		{"register-appended", 0, goldenVersions, goldenVersions},
		{"register-rewritten", 0, goldenVersions, goldenVersions},
		// The last record is that of the second round of the last version, so the record of its
		// first round becomes the last one.
		{"register-appended", 3, goldenVersions - 1, goldenVersions},
	} {
		t.Run(fmt.Sprint(file.golden, " less ", file.torn), func(t *testing.T) {
			dir := t.TempDir()
			copyGolden(t, file.golden, dir, "register", file.torn)
			copyGolden(t, "register-taken-appended", dir, "register-taken", 0)
			replica, err := Open(recordlog.Directory(dir), nil, "other")
			if err != nil {
				t.Fatal(err)
			}
			record := replica.Record()
			if record.Disk != "first" || record.Value.Current.Generation != file.generation || record.Promised.Counter != file.counter {
				t.Errorf("read disk %s, generation %d, ballot counter %d, want first, %d, %d",
					record.Disk, record.Value.Current.Generation, record.Promised.Counter, file.generation, file.counter)
			}
		})
	}
}

// TestGoldenArchiveFile does the same for the archive of committed versions. Its chunks contain the
// day on which they were written, so the chunks are read and written again with that day as the
// current one: on a later day the archive would drop chunks older than constants.ArchiveDays.
func TestGoldenArchiveFile(t *testing.T) {
	for _, golden := range []string{"register-taken-appended", "register-taken-rewritten"} {
		t.Run(golden, func(t *testing.T) {
			dir := t.TempDir()
			copyGolden(t, golden, dir, "register-taken", 0)
			archive, err := openArchive(recordlog.Directory(dir), "register-taken")
			if err != nil {
				t.Fatal(err)
			}
			if archive.lastChunk() != goldenChunks {
				t.Fatalf("archive has %d chunks, want %d", archive.lastChunk(), goldenChunks)
			}
			chunks := archive.state.Chunks()
			today := func() int64 { return chunks[0].Day }
			archive.today = today
			if golden == "register-taken-rewritten" {
				archive.stale = true
				if err = archive.write(nil); err != nil {
					t.Fatal(err)
				}
			} else {
				other := t.TempDir()
				if archive, err = openArchive(recordlog.Directory(other), "register-taken"); err != nil {
					t.Fatal(err)
				}
				archive.today = today
				for i := range chunks[1:] {
					if err = archive.write(chunks[i+1 : i+2]); err != nil {
						t.Fatal(err)
					}
				}
				dir = other
			}
			fixture.CheckGolden(t, filepath.Join(dir, "register-taken"), golden)
		})
	}
	dir := t.TempDir()
	copyGolden(t, "register-taken-appended", dir, "register-taken", 3)
	if archive, err := openArchive(recordlog.Directory(dir), "register-taken"); err != nil || archive.lastChunk() != goldenChunks-1 {
		t.Errorf("open of an archive with a torn tail: error %v, last chunk %d, want %d", err, archive.lastChunk(), goldenChunks-1)
	}
}
