package locker

import (
	"sync"

	"lemonarch/internal/almanac"
	"lemonarch/internal/ledgerbox"
	"lemonarch/internal/mishap"
	"lemonarch/internal/pattern"
	"lemonarch/internal/whetstone"
)

// StoreDamaged is the mishap of a store whose disk can't be read or written.
var StoreDamaged = mishap.Define("store")

// storeName is the file of the shelf.
const storeName = "shelf"

// Store is the disk round a shelf: it syncs before it answers.
type Store struct {
	lock  sync.Mutex
	shelf *ledgerbox.Shelf
	stone *whetstone.Stone
	dead  int64
	done  int64
}

// OpenStore reads the disk; an empty one gets the new identity.
func OpenStore(disk whetstone.Disk, identity string) (*Store, error) {
	store := &Store{shelf: ledgerbox.NewShelf("")}
	stone, failure := whetstone.Open(disk, storeName, func(offset int64, body []byte) error {
		record := pattern.ShelfRecord{}
		if _, problem := record.UnmarshalMsg(body); problem != nil {
			return StoreDamaged.Wrap(problem, storeName)
		}
		if record.Disk != "" {
			store.shelf.Disk = record.Disk
		}
		store.shelf.SetFence(record.Fence)
		if record.HasCut {
			store.shelf.Cut(record.CutTo)
		}
		if record.Has {
			store.shelf.Put(&record.Entry, offset)
		}
		return nil
	})
	if failure != nil {
		return nil, StoreDamaged.Wrap(failure, "open")
	}
	store.stone = stone
	if store.shelf.Disk == "" {
		store.shelf.Disk = identity
		if failure = store.write(pattern.ShelfRecord{Disk: identity}); failure != nil {
			return nil, failure
		}
	}
	return store, nil
}

// Disk is the identity of the disk.
func (store *Store) Disk() string { return store.shelf.Disk }

func (store *Store) write(records ...pattern.ShelfRecord) error {
	_, failure := store.writeAll(records)
	return failure
}

func (store *Store) writeAll(records []pattern.ShelfRecord) ([]int64, error) {
	bodies := make([][]byte, 0, len(records))
	for place := range records {
		body, failure := records[place].MarshalMsg(nil)
		if failure != nil {
			return nil, StoreDamaged.Wrap(failure, "record")
		}
		bodies = append(bodies, body)
	}
	offsets, failure := store.stone.Append(bodies...)
	if failure == nil {
		failure = store.stone.Sync()
	}
	return offsets, StoreDamaged.Wrap(failure, "append")
}

// Raise takes a new holder's epoch.
func (store *Store) Raise(question *pattern.Raise) (pattern.Raised, error) {
	store.lock.Lock()
	defer store.lock.Unlock()
	answer, keep := store.shelf.Raise(question)
	if keep {
		if failure := store.write(pattern.ShelfRecord{Fence: store.shelf.Fence()}); failure != nil {
			return pattern.Raised{}, failure
		}
	}
	return answer, nil
}

// Append takes records, and answers once they are synced.
func (store *Store) Append(question *pattern.Append) (pattern.Appended, error) {
	store.lock.Lock()
	defer store.lock.Unlock()
	plan, answer := store.shelf.Append(question)
	if !answer.Granted {
		return answer, nil
	}
	var records []pattern.ShelfRecord
	if plan.Raise || plan.Cut {
		records = append(records, pattern.ShelfRecord{Fence: question.Epoch, HasCut: plan.Cut, CutTo: plan.CutTo})
	}
	marks := len(records)
	for place := range plan.Records {
		records = append(records, pattern.ShelfRecord{Has: true, Entry: plan.Records[place]})
	}
	if len(records) > 0 {
		offsets, failure := store.writeAll(records)
		if failure != nil {
			return pattern.Appended{}, failure
		}
		store.shelf.Commit(plan, question.Epoch, offsets[marks:])
	}
	store.done = max(store.done, min(question.Done, store.shelf.Last()))
	return answer, nil
}

// Read gives a record with its body.
func (store *Store) Read(index int64) (*pattern.Record, error) {
	store.lock.Lock()
	defer store.lock.Unlock()
	return store.read(index)
}

func (store *Store) read(index int64) (*pattern.Record, error) {
	slot, found := store.shelf.Slot(index)
	if !found {
		return nil, StoreDamaged.New("no such record")
	}
	if slot.Offset < 0 {
		// An empty place that a rewrite left: its lot was forgotten.
		return &pattern.Record{Index: index, Epoch: slot.Epoch}, nil
	}
	body, failure := store.stone.ReadAt(slot.Offset)
	if failure != nil {
		return nil, StoreDamaged.Wrap(failure, "read")
	}
	record := pattern.ShelfRecord{}
	if _, failure = record.UnmarshalMsg(body); failure != nil {
		return nil, StoreDamaged.Wrap(failure, "read")
	}
	return &record.Entry, nil
}

// Fetch gives a stretch of records.
func (store *Store) Fetch(question *pattern.Fetch) (*pattern.Fetched, error) {
	store.lock.Lock()
	defer store.lock.Unlock()
	if question.Disk != "" && question.Disk != store.shelf.Disk {
		return &pattern.Fetched{}, nil
	}
	answer := &pattern.Fetched{Granted: true, Last: store.shelf.Last()}
	size := 0
	for index := question.First; index <= store.shelf.Last() && size < almanac.AppendBytes; index++ {
		record, failure := store.read(index)
		if failure != nil {
			return nil, failure
		}
		size += len(record.Body) + 128
		answer.Records = append(answer.Records, *record)
	}
	return answer, nil
}

// State gives what a holder compares.
func (store *Store) State() (last int64, stretches []pattern.Stretch) {
	store.lock.Lock()
	defer store.lock.Unlock()
	return store.shelf.Last(), store.shelf.Stretches()
}

// EpochAt gives the epoch of a record.
func (store *Store) EpochAt(index int64) uint64 {
	store.lock.Lock()
	defer store.lock.Unlock()
	return store.shelf.EpochAt(index)
}

// Tidy rewrites the file once it is long and lots in it are forgotten for good.
func (store *Store) Tidy() error {
	store.lock.Lock()
	defer store.lock.Unlock()
	if store.stone.Size() < almanac.RewriteBytes {
		return nil
	}
	forgotten := store.shelf.Forgotten(store.done)
	gone := func(index int64) bool {
		slot, _ := store.shelf.Slot(index)
		return index <= store.done && slot.Lot != "" && slot.Kind != pattern.RecordForget && forgotten[slot.Lot]
	}
	count := int64(0)
	for index := int64(1); index <= store.shelf.Last(); index++ {
		if gone(index) {
			count++
		}
	}
	// Rewriting pays only once half of it is gone.
	if count*2 < store.shelf.Last() {
		return nil
	}
	return store.rewrite(gone)
}

func (store *Store) rewrite(gone func(index int64) bool) error {
	index := int64(0)
	offsets, failure := store.stone.Rewrite(func() ([]byte, bool, error) {
		if index == 0 {
			index = 1
			head := pattern.ShelfRecord{Disk: store.shelf.Disk, Fence: store.shelf.Fence()}
			body, problem := head.MarshalMsg(nil)
			return body, true, problem
		}
		if index > store.shelf.Last() {
			return nil, false, nil
		}
		record := pattern.ShelfRecord{Has: true, Entry: pattern.Record{Index: index, Epoch: store.shelf.EpochAt(index)}}
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
	if failure != nil {
		return StoreDamaged.Wrap(failure, "rewrite")
	}
	for index := int64(1); index <= store.shelf.Last(); index++ {
		store.shelf.Move(index, offsets[index], gone(index))
	}
	return nil
}
