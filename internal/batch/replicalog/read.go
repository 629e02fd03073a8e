package replicalog

import (
	"lemonarch/internal/batch/dispatch"
	"lemonarch/internal/batch/replication"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Read returns the record at an index with its body. A record that was compacted away is returned
// with its index and epoch only.
func (l *Log) Read(index int64) (*messages.Record, error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.read(index)
}

// read is Read for a caller that holds the lock.
func (l *Log) read(index int64) (*messages.Record, error) {
	if index < 1 || index > l.replica.Last() {
		return nil, ErrReplicaLog.New("record index out of range")
	}
	entry, found := l.replica.EntryAt(index)
	if !found {
		// The record was compacted away as obsolete, for example because its job was forgotten.
		return &messages.Record{Index: index, Epoch: l.replica.EpochAt(index)}, nil
	}
	body, err := l.file.ReadAt(entry.Offset)
	if err != nil {
		return nil, ErrReplicaLog.Wrap(err, "read record")
	}
	record := messages.ReplicaRecord{}
	if _, err = record.UnmarshalMsg(body); err != nil {
		return nil, ErrReplicaLog.Wrap(err, "decode record")
	}
	return &record.Entry, nil
}

// Fetch returns a range of records, limited by AppendBytes. The request is not granted if it names
// another disk or if the replica is incomplete: other stores must not copy from an incomplete replica.
func (l *Log) Fetch(req *messages.FetchRequest) (*messages.FetchResponse, error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if (req.Disk != "" && req.Disk != l.replica.Disk) || !l.replica.Complete() {
		return &messages.FetchResponse{}, nil
	}
	resp := &messages.FetchResponse{Granted: true, Last: l.replica.Last()}
	if base := l.replica.Base(); req.First <= base.Index {
		resp.Base, resp.BaseEpoch = base.Index, base.Epoch
	}
	size := 0
	var cause error
	l.replica.Each(req.First, func(entry replication.IndexEntry) bool {
		record, err := l.read(entry.Index)
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

// Jobs builds the job table from all records.
func (l *Log) Jobs() (*dispatch.JobTable, error) {
	forgotten := map[string]int64{}
	var records []*messages.Record
	err := l.each(func(record *messages.Record) {
		if record.Kind == messages.RecordForget {
			forgotten[record.Job] = record.Index
		}
		if record.Kind == messages.RecordOutput {
			// The output is read from disk when it is requested.
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

// each reads all kept records in order.
func (l *Log) each(visit func(record *messages.Record)) (cause error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.replica.Each(1, func(entry replication.IndexEntry) bool {
		record, err := l.read(entry.Index)
		if err != nil {
			cause = err
			return false
		}
		visit(record)
		return true
	})
	return cause
}

// Compacted returns the index up to which the records are compacted. It never waits for the disk.
func (l *Log) Compacted() int64 { return l.base.Load() }

// Extent returns the extent of the replica, which a leader compares with its own.
func (l *Log) Extent() replication.LogExtent {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.replica.Extent()
}

// EpochAt returns the epoch of the record at an index, or zero if there is none.
func (l *Log) EpochAt(index int64) uint64 {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.replica.EpochAt(index)
}

// Size returns the length of the file in bytes and the number of records kept in it.
func (l *Log) Size() (bytes int64, records int) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.replica.Each(1, func(replication.IndexEntry) bool {
		records++
		return true
	})
	return l.file.Size(), records
}
