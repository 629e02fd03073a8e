package replicalog

import (
	"errors"
	"fmt"
	"testing"

	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// refusing makes a disk whose syncs fail while the flag is set.
func refusing(seed int64) (*simulation.Disk, *bool) {
	disk, refuse := simulation.NewDisk(seed), new(bool)
	disk.Intercept = func(operation simulation.Operation, _ string) error {
		if *refuse && operation == simulation.OperationSync {
			return errors.New("input/output error")
		}
		return nil
	}
	return disk, refuse
}

// recordsOf makes records of one job's output each, under one epoch.
func recordsOf(epoch uint64, first, last int64) (records []messages.Record) {
	for index := first; index <= last; index++ {
		records = append(records, messages.Record{Index: index, Epoch: epoch, Kind: messages.RecordOutput, Job: fmt.Sprint("l", index), Item: "i"})
	}
	return records
}

// history names a store's records, read from its disk.
func history(t *testing.T, store *Log) string {
	t.Helper()

	last := store.Extent().Last
	text := ""
	for index := int64(1); index <= last; index++ {
		record, err := store.Read(index)
		if err != nil {
			t.Fatal(err)
		}
		text += fmt.Sprintf("%d.%d:%s ", record.Index, record.Epoch, record.Job)
	}
	return text
}

// Records that were written but whose sync failed are sent again; the file then has
// them twice, and a process that reads it must not take the second for what follows.
func TestFailedSyncLeavesNoRecordTwice(t *testing.T) {
	disk, refuse := refusing(1)
	store, err := Open(disk, "d")
	if err != nil {
		t.Fatal(err)
	}
	send := func(epoch uint64, first, last int64) error {
		_, err := store.Append(&messages.AppendRequest{Epoch: epoch, Disk: "d", PreviousIndex: first - 1, PreviousEpoch: store.EpochAt(first - 1), Records: recordsOf(epoch, first, last)})
		return err
	}
	if err = send(1, 1, 3); err != nil {
		t.Fatal(err)
	}
	*refuse = true
	if send(1, 4, 6) == nil {
		t.Fatal("told as synced")
	}
	*refuse = false
	if err = send(1, 4, 5); err != nil {
		t.Fatal(err)
	}
	want := history(t, store)
	again, err := Open(disk, "d")
	if err != nil {
		t.Fatal(err)
	}
	if found := history(t, again); found != want {
		t.Fatalf("the process had %s and the next one has %s", want, found)
	}
}

// A tail that an earlier leader left is not durable, though the leader of now says
// that so many records are: what a record says there must not be acted on.
func TestStaleTailIsNotCommitted(t *testing.T) {
	store, err := Open(simulation.NewDisk(1), "d")
	if err != nil {
		t.Fatal(err)
	}
	_, _ = store.Append(&messages.AppendRequest{Epoch: 1, Disk: "d", Records: recordsOf(1, 1, 9)})
	resp, err := store.Append(&messages.AppendRequest{Epoch: 2, Disk: "d", PreviousIndex: 3, PreviousEpoch: 1, Records: recordsOf(1, 4, 4), CommitIndex: 9})
	if err != nil || !resp.Granted || store.commitIndex != 4 {
		t.Fatal(resp, err, store.commitIndex)
	}
}

// A raise whose sync failed is not granted at the second try without a sync: after a
// loss of power the earlier leader could write here again.
func TestFenceIsSyncedBeforeItIsGranted(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		disk, refuse := refusing(seed)
		store, err := Open(disk, "d")
		if err != nil {
			t.Fatal(err)
		}
		*refuse = true
		if _, err = store.Fence(&messages.FenceRequest{Epoch: 7, Disk: "d"}); err == nil {
			t.Fatal("granted though nothing was synced")
		}
		*refuse = false
		if resp, err := store.Fence(&messages.FenceRequest{Epoch: 7, Disk: "d"}); err != nil || !resp.Granted {
			t.Fatal(resp, err)
		}
		disk.PowerLoss()
		again, err := Open(disk, "d")
		if err != nil {
			t.Fatal(err)
		}
		if resp, _ := again.Append(&messages.AppendRequest{Epoch: 6, Disk: "d", Records: recordsOf(6, 1, 1)}); resp.Granted {
			t.Fatalf("seed %d: a fenced holder writes again after a loss of power", seed)
		}
	}
}
