package store

import (
	"errors"
	"fmt"
	"testing"

	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/recordlog"
	"lemonarch/internal/tooling/simulation"
)

// unsyncedDisk refuses to sync files while it is told to, after it took the bytes.
type unsyncedDisk struct {
	*simulation.Disk
	refuse bool
}

type unsyncedFile struct {
	recordlog.File
	disk *unsyncedDisk
}

func (disk *unsyncedDisk) Open(name string) (recordlog.File, error) {
	file, err := disk.Disk.Open(name)
	return &unsyncedFile{file, disk}, err
}

func (file *unsyncedFile) Sync() error {
	if file.disk.refuse {
		return errors.New("input/output error")
	}
	return file.File.Sync()
}

// recordsOf makes records of one lot's output each, under one epoch.
func recordsOf(epoch uint64, first, last int64) (records []messages.Record) {
	for index := first; index <= last; index++ {
		records = append(records, messages.Record{Index: index, Epoch: epoch, Kind: messages.RecordOutput, Lot: fmt.Sprint("l", index), Item: "i"})
	}
	return records
}

// history names a store's records, read from its disk.
func history(test *testing.T, store *Store) string {
	last := store.Extent().Last
	text := ""
	for index := int64(1); index <= last; index++ {
		record, err := store.Read(index)
		if err != nil {
			test.Fatal(err)
		}
		text += fmt.Sprintf("%d.%d:%s ", record.Index, record.Epoch, record.Lot)
	}
	return text
}

// Records that were written but whose sync failed are sent again; the file then has
// them twice, and a process that reads it must not take the second for what follows.
func TestFailedSyncLeavesNoRecordTwice(test *testing.T) {
	disk := &unsyncedDisk{Disk: simulation.NewDisk(1)}
	store, err := OpenStore(disk, "d")
	if err != nil {
		test.Fatal(err)
	}
	send := func(epoch uint64, first, last int64) error {
		_, err := store.Append(&messages.Append{Epoch: epoch, Disk: "d", PreviousIndex: first - 1, PreviousEpoch: store.EpochAt(first - 1), Records: recordsOf(epoch, first, last)})
		return err
	}
	if err = send(1, 1, 3); err != nil {
		test.Fatal(err)
	}
	disk.refuse = true
	if send(1, 4, 6) == nil {
		test.Fatal("told as synced")
	}
	disk.refuse = false
	if err = send(1, 4, 5); err != nil {
		test.Fatal(err)
	}
	want := history(test, store)
	again, err := OpenStore(disk, "d")
	if err != nil {
		test.Fatal(err)
	}
	if found := history(test, again); found != want {
		test.Fatalf("the process had %s and the next one has %s", want, found)
	}
}

// A tail that an earlier holder left is not durable, though the holder of now says
// that so many records are: what a record says there must not be acted on.
func TestStaleTailIsNotDurable(test *testing.T) {
	store, err := OpenStore(simulation.NewDisk(1), "d")
	if err != nil {
		test.Fatal(err)
	}
	_, _ = store.Append(&messages.Append{Epoch: 1, Disk: "d", Records: recordsOf(1, 1, 9)})
	answer, err := store.Append(&messages.Append{Epoch: 2, Disk: "d", PreviousIndex: 3, PreviousEpoch: 1, Records: recordsOf(1, 4, 4), Done: 9})
	if err != nil || !answer.Granted || store.done != 4 {
		test.Fatal(answer, err, store.done)
	}
}
