package replicalog

import (
	"os"
	"path/filepath"
	"testing"

	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/recordlog"
	"lemonarch/internal/tooling/fixture"
)

// goldenRecords are the records of the golden files, from two epochs: one job is open, the other one
// was forgotten.
var goldenRecords = []messages.Record{
	{Index: 1, Epoch: 4, Kind: messages.RecordJob, Job: "old", AtMs: 1_700_000_000_000, Route: "r", Host: "h", Body: []byte("lot old")},
	{Index: 2, Epoch: 4, Kind: messages.RecordOutput, Job: "old", Item: "i1", Position: 1, Body: []byte("text"), Acquisition: 3},
	{Index: 3, Epoch: 4, Kind: messages.RecordJobEnd, Job: "old", AtMs: 1_700_000_001_000},
	{Index: 4, Epoch: 4, Kind: messages.RecordForget, Job: "old"},
	{Index: 5, Epoch: 4, Kind: messages.RecordJob, Job: "new", AtMs: 1_700_000_002_000, Route: "r", Host: "h", Body: []byte("lot new")},
	{Index: 6, Epoch: 6, Kind: messages.RecordExecutor, Host: "10.0.0.5:7661", Body: []byte("driver")},
	{Index: 7, Epoch: 6, Kind: messages.RecordOutput, Job: "new", Item: "i1", Position: 1, Body: []byte("packed"), Compressed: true, Acquisition: 9},
	{Index: 8, Epoch: 6, Kind: messages.RecordItemError, Job: "new", Item: "i2", Acquisition: 10},
}

// writeGoldenReplica appends goldenRecords to a new log in two epochs. The second epoch first
// truncates a record that the first one left.
func writeGoldenReplica(t *testing.T, dir string) *Log {
	t.Helper()
	log, err := Open(recordlog.Directory(dir), "disk-1")
	if err != nil {
		t.Fatal(err)
	}
	mustAppend := func(req *messages.AppendRequest) {
		t.Helper()
		if resp, err := log.Append(req); err != nil || !resp.Granted {
			t.Fatalf("append after index %d: granted %v, error %v; want it granted", req.PreviousIndex, resp.Granted, err)
		}
	}
	if resp, err := log.Fence(&messages.FenceRequest{Epoch: 4, Disk: "disk-1"}); err != nil || !resp.Granted {
		t.Fatalf("fence: granted %v, error %v; want it granted", resp.Granted, err)
	}
	truncated := messages.Record{Index: 6, Epoch: 4, Kind: messages.RecordJobEnd, Job: "new"}
	mustAppend(&messages.AppendRequest{Epoch: 4, Disk: "disk-1", Records: goldenRecords[:3]})
	mustAppend(&messages.AppendRequest{Epoch: 4, Disk: "disk-1", PreviousIndex: 3, PreviousEpoch: 4, Records: append(goldenRecords[3:5:5], truncated), CommitIndex: 3})
	mustAppend(&messages.AppendRequest{Epoch: 6, Disk: "disk-1", PreviousIndex: 5, PreviousEpoch: 4, Records: goldenRecords[5:], CommitIndex: 5})
	return log
}

// TestGoldenReplicaFile checks that the replica's file is written and compacted to the same bytes as in
// an earlier version, and that such files are read, also with a torn tail.
func TestGoldenReplicaFile(t *testing.T) {
	dir := t.TempDir()
	log := writeGoldenReplica(t, dir)
	fixture.CheckGolden(t, filepath.Join(dir, "replica"), "replica-appended")
	if err := log.compact(5); err != nil {
		t.Fatal(err)
	}
	fixture.CheckGolden(t, filepath.Join(dir, "replica"), "replica-rewritten")

	for _, file := range []struct {
		golden     string
		torn       int
		last, base int64
	}{
		{"replica-appended", 0, 8, 0},
		{"replica-rewritten", 0, 8, 5},
		{"replica-appended", 3, 7, 0},
	} {
		content, err := os.ReadFile(filepath.Join("testdata", file.golden))
		if err != nil {
			t.Fatal(err)
		}
		dir := t.TempDir()
		if err = os.WriteFile(filepath.Join(dir, "replica"), content[:len(content)-file.torn], 0o644); err != nil {
			t.Fatal(err)
		}
		log, err := Open(recordlog.Directory(dir), "other")
		if err != nil {
			t.Fatalf("open %s less %d bytes: %v", file.golden, file.torn, err)
		}
		extent := log.Extent()
		if log.Disk() != "disk-1" || extent.Last != file.last || extent.Base != file.base || log.EpochAt(5) != 4 || log.EpochAt(6) != 6 {
			t.Errorf("%s less %d bytes: disk %s, extent %+v, epochs %d and %d of records 5 and 6; want disk-1, last %d, base %d, epochs 4 and 6",
				file.golden, file.torn, log.Disk(), extent, log.EpochAt(5), log.EpochAt(6), file.last, file.base)
		}
		record, err := log.Read(7)
		if err != nil || string(record.Body) != "packed" || record.Acquisition != 9 {
			t.Errorf("%s less %d bytes: record 7 is %+v, error %v; want body packed, acquisition 9 and no error",
				file.golden, file.torn, record, err)
		}
	}
}
