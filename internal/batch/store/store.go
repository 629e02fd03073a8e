package store

import (
	"sync"
	"sync/atomic"

	"lemonarch/internal/batch/dispatch"
	"lemonarch/internal/batch/replication"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/recordlog"
)

// ErrCorrupt is the error of a store whose disk can't be read or written.
var ErrCorrupt = errs.Define("store")

// replicaFileName is the file of the replica.
const replicaFileName = "replica"

// ReplicaLog is the disk round a replica: it syncs before it answers.
type ReplicaLog struct {
	lock    sync.Mutex
	replica *replication.Replica
	logfile *recordlog.Log
	// commitIndex is the index up to which all is known to be durable.
	commitIndex int64
	rewrite     compactionPolicy
	// base is the replica's, for those who must not wait for a sync.
	base atomic.Int64
}

// OpenReplicaLog reads the disk; an empty one gets the new identity.
func OpenReplicaLog(disk recordlog.Disk, identity string) (*ReplicaLog, error) {
	store := &ReplicaLog{replica: replication.NewReplica(""), rewrite: defaultCompactionPolicy()}
	logfile, err := recordlog.Open(disk, replicaFileName, func(offset int64, body []byte) error {
		record := messages.ReplicaRecord{}
		if _, cause := record.UnmarshalMsg(body); cause != nil {
			return ErrCorrupt.Wrap(cause, replicaFileName)
		}
		if record.Disk != "" {
			store.replica.Disk = record.Disk
		}
		store.replica.SetFencedEpoch(record.Fence)
		if record.HasTruncation {
			store.replica.Truncate(record.TruncateTo)
		}
		if record.Base > 0 {
			store.replica.Reset(replication.Base{Index: record.Base, Epoch: record.BaseEpoch})
		}
		if record.HasEntry {
			return ErrCorrupt.Wrap(store.replica.Restore(&record.Entry, offset), replicaFileName)
		}
		return nil
	})
	if err != nil {
		return nil, ErrCorrupt.Wrap(err, "open")
	}
	store.logfile = logfile
	store.base.Store(store.replica.Base().Index)
	if store.replica.Disk == "" {
		store.replica.Disk = identity
		if err = store.write(messages.ReplicaRecord{Disk: identity}); err != nil {
			return nil, err
		}
	}
	return store, nil
}

// Disk is the identity of the disk.
func (s *ReplicaLog) Disk() string { return s.replica.Disk }

func (s *ReplicaLog) write(records ...messages.ReplicaRecord) error {
	_, err := s.writeAll(records)
	return err
}

func (s *ReplicaLog) writeAll(records []messages.ReplicaRecord) ([]int64, error) {
	bodies := make([][]byte, 0, len(records))
	for i := range records {
		body, err := records[i].MarshalMsg(nil)
		if err != nil {
			return nil, ErrCorrupt.Wrap(err, "record")
		}
		bodies = append(bodies, body)
	}
	offsets, err := s.logfile.Append(bodies...)
	if err == nil {
		err = s.logfile.Sync()
	}
	return offsets, ErrCorrupt.Wrap(err, "append")
}

// Fence takes a new holder's epoch.
func (s *ReplicaLog) Fence(req *messages.FenceRequest) (messages.FenceResponse, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	resp, keep := s.replica.Fence(req)
	if keep {
		if err := s.write(messages.ReplicaRecord{Fence: req.Epoch}); err != nil {
			return messages.FenceResponse{}, err
		}
		s.replica.SetFencedEpoch(req.Epoch)
	}
	return resp, nil
}

// Append takes records, and answers once they are synced.
func (s *ReplicaLog) Append(req *messages.AppendRequest) (messages.AppendResponse, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	plan, resp := s.replica.Append(req)
	if !resp.Granted {
		return resp, nil
	}
	var records []messages.ReplicaRecord
	if plan.RaiseFence || plan.Truncate || plan.Reset != nil {
		head := messages.ReplicaRecord{Fence: req.Epoch, HasTruncation: plan.Truncate, TruncateTo: plan.TruncateTo}
		if plan.Reset != nil {
			head.Base, head.BaseEpoch = plan.Reset.Index, plan.Reset.Epoch
		}
		records = append(records, head)
	}
	hashes := len(records)
	for i := range plan.Records {
		records = append(records, messages.ReplicaRecord{HasEntry: true, Entry: plan.Records[i]})
	}
	if len(records) > 0 {
		offsets, err := s.writeAll(records)
		if err != nil {
			return messages.AppendResponse{}, err
		}
		s.replica.Commit(plan, req.Epoch, offsets[hashes:])
		s.base.Store(s.replica.Base().Index)
	}
	// Behind what joins on to the holder's records there may be a tail of an earlier one.
	s.commitIndex = max(s.commitIndex, min(req.CommitIndex, resp.Last))
	return resp, nil
}

// Read gives a record with its body.
func (s *ReplicaLog) Read(index int64) (*messages.Record, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.read(index)
}

func (s *ReplicaLog) read(index int64) (*messages.Record, error) {
	if index < 1 || index > s.replica.Last() {
		return nil, ErrCorrupt.New("no such record")
	}
	slot, found := s.replica.EntryAt(index)
	if !found {
		// It was compacted away: its lot was forgotten.
		return &messages.Record{Index: index, Epoch: s.replica.EpochAt(index)}, nil
	}
	body, err := s.logfile.ReadAt(slot.Offset)
	if err != nil {
		return nil, ErrCorrupt.Wrap(err, "read")
	}
	record := messages.ReplicaRecord{}
	if _, err = record.UnmarshalMsg(body); err != nil {
		return nil, ErrCorrupt.Wrap(err, "read")
	}
	return &record.Entry, nil
}

// Fetch gives a stretch of records. A copy that is not whole is no source.
func (s *ReplicaLog) Fetch(req *messages.FetchRequest) (*messages.FetchResponse, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if (req.Disk != "" && req.Disk != s.replica.Disk) || !s.replica.Complete() {
		return &messages.FetchResponse{}, nil
	}
	resp := &messages.FetchResponse{Granted: true, Last: s.replica.Last()}
	if base := s.replica.Base(); req.First <= base.Index {
		resp.Base, resp.BaseEpoch = base.Index, base.Epoch
	}
	size := 0
	var cause error
	s.replica.Each(req.First, func(slot replication.IndexEntry) bool {
		record, err := s.read(slot.Index)
		if err != nil {
			cause = err
			return false
		}
		size += len(record.Body) + 128
		resp.Records = append(resp.Records, *record)
		return size < constants.AppendBytes
	})
	if cause != nil {
		return nil, cause
	}
	return resp, nil
}

// Jobs makes the book of lots from all records.
func (s *ReplicaLog) Jobs() (*dispatch.JobTable, error) {
	forgotten := map[string]int64{}
	var records []*messages.Record
	err := s.each(func(record *messages.Record) {
		if record.Kind == messages.RecordForget {
			forgotten[record.Job] = record.Index
		}
		if record.Kind == messages.RecordOutput {
			// Its text is read from disk when it is asked for.
			record.Body = nil
		}
		records = append(records, record)
	})
	jobs := dispatch.NewJobTable()
	for _, record := range records {
		if err == nil && (record.Job == "" || record.Index > forgotten[record.Job]) {
			err = jobs.Apply(record)
		}
	}
	return jobs, err
}

// each reads all records that are kept, in order.
func (s *ReplicaLog) each(visit func(record *messages.Record)) (cause error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.replica.Each(1, func(slot replication.IndexEntry) bool {
		record, err := s.read(slot.Index)
		if err != nil {
			cause = err
			return false
		}
		visit(record)
		return true
	})
	return cause
}

// Compacted is the index up to which the records are compacted.
func (s *ReplicaLog) Compacted() int64 { return s.base.Load() }

// Extent gives what a holder compares.
func (s *ReplicaLog) Extent() replication.LogExtent {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.replica.Extent()
}

// EpochAt gives the epoch of a record.
func (s *ReplicaLog) EpochAt(index int64) uint64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.replica.EpochAt(index)
}
