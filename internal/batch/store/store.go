package store

import (
	"sync"

	"lemonarch/internal/batch/lots"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/recordlog"
)

// StoreDamaged is the error of a store whose disk can't be read or written.
var StoreDamaged = errs.Define("store")

// storeName is the file of the replica.
const storeName = "replica"

// Store is the disk round a replica: it syncs before it answers.
type Store struct {
	lock    sync.Mutex
	replica *lots.Replica
	logfile *recordlog.Logfile
	done    int64
}

// OpenStore reads the disk; an empty one gets the new identity.
func OpenStore(disk recordlog.Disk, identity string) (*Store, error) {
	store := &Store{replica: lots.NewReplica("")}
	logfile, err := recordlog.Open(disk, storeName, func(offset int64, body []byte) error {
		record := messages.ReplicaRecord{}
		if _, problem := record.UnmarshalMsg(body); problem != nil {
			return StoreDamaged.Wrap(problem, storeName)
		}
		if record.Disk != "" {
			store.replica.Disk = record.Disk
		}
		store.replica.SetFence(record.Fence)
		if record.HasCut {
			store.replica.Cut(record.CutTo)
		}
		if record.Has {
			store.replica.Put(&record.Entry, offset)
		}
		return nil
	})
	if err != nil {
		return nil, StoreDamaged.Wrap(err, "open")
	}
	store.logfile = logfile
	if store.replica.Disk == "" {
		store.replica.Disk = identity
		if err = store.write(messages.ReplicaRecord{Disk: identity}); err != nil {
			return nil, err
		}
	}
	return store, nil
}

// Disk is the identity of the disk.
func (store *Store) Disk() string { return store.replica.Disk }

func (store *Store) write(records ...messages.ReplicaRecord) error {
	_, err := store.writeAll(records)
	return err
}

func (store *Store) writeAll(records []messages.ReplicaRecord) ([]int64, error) {
	bodies := make([][]byte, 0, len(records))
	for place := range records {
		body, err := records[place].MarshalMsg(nil)
		if err != nil {
			return nil, StoreDamaged.Wrap(err, "record")
		}
		bodies = append(bodies, body)
	}
	offsets, err := store.logfile.Append(bodies...)
	if err == nil {
		err = store.logfile.Sync()
	}
	return offsets, StoreDamaged.Wrap(err, "append")
}

// Raise takes a new holder's epoch.
func (store *Store) Raise(question *messages.Raise) (messages.Raised, error) {
	store.lock.Lock()
	defer store.lock.Unlock()
	answer, keep := store.replica.Raise(question)
	if keep {
		if err := store.write(messages.ReplicaRecord{Fence: store.replica.Fence()}); err != nil {
			return messages.Raised{}, err
		}
	}
	return answer, nil
}

// Append takes records, and answers once they are synced.
func (store *Store) Append(question *messages.Append) (messages.Appended, error) {
	store.lock.Lock()
	defer store.lock.Unlock()
	plan, answer := store.replica.Append(question)
	if !answer.Granted {
		return answer, nil
	}
	var records []messages.ReplicaRecord
	if plan.Raise || plan.Cut {
		records = append(records, messages.ReplicaRecord{Fence: question.Epoch, HasCut: plan.Cut, CutTo: plan.CutTo})
	}
	marks := len(records)
	for place := range plan.Records {
		records = append(records, messages.ReplicaRecord{Has: true, Entry: plan.Records[place]})
	}
	if len(records) > 0 {
		offsets, err := store.writeAll(records)
		if err != nil {
			return messages.Appended{}, err
		}
		store.replica.Commit(plan, question.Epoch, offsets[marks:])
	}
	store.done = max(store.done, min(question.Done, store.replica.Last()))
	return answer, nil
}

// Read gives a record with its body.
func (store *Store) Read(index int64) (*messages.Record, error) {
	store.lock.Lock()
	defer store.lock.Unlock()
	return store.read(index)
}

func (store *Store) read(index int64) (*messages.Record, error) {
	slot, found := store.replica.Slot(index)
	if !found {
		return nil, StoreDamaged.New("no such record")
	}
	if slot.Offset < 0 {
		// An empty place that a rewrite left: its lot was forgotten.
		return &messages.Record{Index: index, Epoch: slot.Epoch}, nil
	}
	body, err := store.logfile.ReadAt(slot.Offset)
	if err != nil {
		return nil, StoreDamaged.Wrap(err, "read")
	}
	record := messages.ReplicaRecord{}
	if _, err = record.UnmarshalMsg(body); err != nil {
		return nil, StoreDamaged.Wrap(err, "read")
	}
	return &record.Entry, nil
}

// Fetch gives a stretch of records.
func (store *Store) Fetch(question *messages.Fetch) (*messages.Fetched, error) {
	store.lock.Lock()
	defer store.lock.Unlock()
	if question.Disk != "" && question.Disk != store.replica.Disk {
		return &messages.Fetched{}, nil
	}
	answer := &messages.Fetched{Granted: true, Last: store.replica.Last()}
	size := 0
	for index := question.First; index <= store.replica.Last() && size < constants.AppendBytes; index++ {
		record, err := store.read(index)
		if err != nil {
			return nil, err
		}
		size += len(record.Body) + 128
		answer.Records = append(answer.Records, *record)
	}
	return answer, nil
}

// State gives what a holder compares.
func (store *Store) State() (last int64, stretches []messages.Stretch) {
	store.lock.Lock()
	defer store.lock.Unlock()
	return store.replica.Last(), store.replica.Stretches()
}

// EpochAt gives the epoch of a record.
func (store *Store) EpochAt(index int64) uint64 {
	store.lock.Lock()
	defer store.lock.Unlock()
	return store.replica.EpochAt(index)
}

// Tidy rewrites the file once it is long and lots in it are forgotten for good.
func (store *Store) Tidy() error {
	store.lock.Lock()
	defer store.lock.Unlock()
	if store.logfile.Size() < constants.RewriteBytes {
		return nil
	}
	forgotten := store.replica.Forgotten(store.done)
	gone := func(index int64) bool {
		slot, _ := store.replica.Slot(index)
		return index <= store.done && slot.Lot != "" && slot.Kind != messages.RecordForget && forgotten[slot.Lot]
	}
	count := int64(0)
	for index := int64(1); index <= store.replica.Last(); index++ {
		if gone(index) {
			count++
		}
	}
	// Rewriting pays only once half of it is gone.
	if count*2 < store.replica.Last() {
		return nil
	}
	return store.rewrite(gone)
}

func (store *Store) rewrite(gone func(index int64) bool) error {
	index := int64(0)
	offsets, err := store.logfile.Rewrite(func() ([]byte, bool, error) {
		if index == 0 {
			index = 1
			head := messages.ReplicaRecord{Disk: store.replica.Disk, Fence: store.replica.Fence()}
			body, problem := head.MarshalMsg(nil)
			return body, true, problem
		}
		if index > store.replica.Last() {
			return nil, false, nil
		}
		record := messages.ReplicaRecord{Has: true, Entry: messages.Record{Index: index, Epoch: store.replica.EpochAt(index)}}
		if !gone(index) {
			entry, problem := store.read(index)
			if problem != nil {
				return nil, false, problem
			}
			record.Entry = *entry
		}
		index++
		body, problem := record.MarshalMsg(nil)
		return body, true, problem
	})
	if err != nil {
		return StoreDamaged.Wrap(err, "rewrite")
	}
	for index := int64(1); index <= store.replica.Last(); index++ {
		store.replica.Move(index, offsets[index], gone(index))
	}
	return nil
}
