package replicalog

import (
	"errors"
	"fmt"
	"testing"

	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// newFailingDisk returns a disk whose syncs fail while the flag is set.
func newFailingDisk(seed int64) (*simulation.Disk, *bool) {
	disk, failSync := simulation.NewDisk(seed), new(bool)
	disk.Intercept = func(operation simulation.Operation, _ string) error {
		if *failSync && operation == simulation.OperationSync {
			return errors.New("input/output error")
		}
		return nil
	}
	return disk, failSync
}

// recordsOf returns output records of one epoch, each of a different job.
func recordsOf(epoch uint64, first, last int64) (records []messages.Record) {
	for index := first; index <= last; index++ {
		records = append(records, messages.Record{Index: index, Epoch: epoch, Kind: messages.RecordOutput, Job: fmt.Sprint("l", index), Item: "i"})
	}
	return records
}

// history describes the records of a log, read from its disk.
func history(t *testing.T, log *Log) string {
	t.Helper()

	last := log.Extent().Last
	text := ""
	for index := int64(1); index <= last; index++ {
		record, err := log.Read(index)
		if err != nil {
			t.Fatal(err)
		}
		text += fmt.Sprintf("%d.%d:%s ", record.Index, record.Epoch, record.Job)
	}
	return text
}

// Records that were written but whose sync failed are sent again, so the file contains them twice.
// A process that reads the file must not treat the second copy as further records.
func TestFailedSyncDuplicatesNoRecord(t *testing.T) {
	disk, failSync := newFailingDisk(1)
	log, err := Open(disk, "d")
	if err != nil {
		t.Fatal(err)
	}
	send := func(epoch uint64, first, last int64) error {
		_, err := log.Append(&messages.AppendRequest{Epoch: epoch, Disk: "d", PreviousIndex: first - 1, PreviousEpoch: log.EpochAt(first - 1), Records: recordsOf(epoch, first, last)})
		return err
	}
	if err = send(1, 1, 3); err != nil {
		t.Fatal(err)
	}
	*failSync = true
	if send(1, 4, 6) == nil {
		t.Fatal("append succeeded although the sync failed")
	}
	*failSync = false
	if err = send(1, 4, 5); err != nil {
		t.Fatal(err)
	}
	want := history(t, log)
	reopened, err := Open(disk, "d")
	if err != nil {
		t.Fatal(err)
	}
	if got := history(t, reopened); got != want {
		t.Fatalf("want records %s after reopening, got %s", want, got)
	}
}

// A tail from an earlier leader is not committed, even if the commit index of the current leader is
// higher: the leader's records at these indexes may differ, so those of the tail must not be applied.
func TestStaleTailIsNotCommitted(t *testing.T) {
	log, err := Open(simulation.NewDisk(1), "d")
	if err != nil {
		t.Fatal(err)
	}
	_, _ = log.Append(&messages.AppendRequest{Epoch: 1, Disk: "d", Records: recordsOf(1, 1, 9)})
	resp, err := log.Append(&messages.AppendRequest{Epoch: 2, Disk: "d", PreviousIndex: 3, PreviousEpoch: 1, Records: recordsOf(1, 4, 4), CommitIndex: 9})
	if err != nil || !resp.Granted || log.commitIndex != 4 {
		t.Fatalf("append: granted %v, error %v, commit index %d; want it granted with commit index 4", resp.Granted, err, log.commitIndex)
	}
}

// If the sync of a fence fails, a retry must sync it before granting it. Otherwise the fence could
// be lost with the power, and the earlier leader could append again.
func TestFenceIsSyncedBeforeItIsGranted(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		disk, failSync := newFailingDisk(seed)
		log, err := Open(disk, "d")
		if err != nil {
			t.Fatal(err)
		}
		*failSync = true
		if _, err = log.Fence(&messages.FenceRequest{Epoch: 7, Disk: "d"}); err == nil {
			t.Fatal("fence granted although the sync failed")
		}
		*failSync = false
		if resp, err := log.Fence(&messages.FenceRequest{Epoch: 7, Disk: "d"}); err != nil || !resp.Granted {
			t.Fatalf("fence repeated after a failed sync: granted %v, error %v; want it granted", resp.Granted, err)
		}
		disk.PowerLoss()
		reopened, err := Open(disk, "d")
		if err != nil {
			t.Fatal(err)
		}
		if resp, _ := reopened.Append(&messages.AppendRequest{Epoch: 6, Disk: "d", Records: recordsOf(6, 1, 1)}); resp.Granted {
			t.Fatalf("seed %d: append of a fenced leader granted after a power loss", seed)
		}
	}
}
