package replicalog

import (
	"lemonarch/internal/batch/dispatch"
	"lemonarch/internal/batch/replication"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Read gives a record with its body.
func (l *Log) Read(index int64) (*messages.Record, error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.read(index)
}

func (l *Log) read(index int64) (*messages.Record, error) {
	if index < 1 || index > l.replica.Last() {
		return nil, ErrCorrupt.New("no such record")
	}
	slot, found := l.replica.EntryAt(index)
	if !found {
		// It was compacted away: its job was forgotten.
		return &messages.Record{Index: index, Epoch: l.replica.EpochAt(index)}, nil
	}
	body, err := l.file.ReadAt(slot.Offset)
	if err != nil {
		return nil, ErrCorrupt.Wrap(err, "read")
	}
	record := messages.ReplicaRecord{}
	if _, err = record.UnmarshalMsg(body); err != nil {
		return nil, ErrCorrupt.Wrap(err, "read")
	}
	return &record.Entry, nil
}

// Fetch gives a range of records. A copy that is not complete is no source.
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
	l.replica.Each(req.First, func(slot replication.IndexEntry) bool {
		record, err := l.read(slot.Index)
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

// Jobs makes the job table from all records.
func (l *Log) Jobs() (*dispatch.JobTable, error) {
	forgotten := map[string]int64{}
	var records []*messages.Record
	err := l.each(func(record *messages.Record) {
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
func (l *Log) each(visit func(record *messages.Record)) (cause error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.replica.Each(1, func(slot replication.IndexEntry) bool {
		record, err := l.read(slot.Index)
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
func (l *Log) Compacted() int64 { return l.base.Load() }

// Extent gives what a leader compares.
func (l *Log) Extent() replication.LogExtent {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.replica.Extent()
}

// EpochAt gives the epoch of a record.
func (l *Log) EpochAt(index int64) uint64 {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.replica.EpochAt(index)
}

// Size tells how many bytes the file has and how many records are kept in it.
func (l *Log) Size() (bytes int64, records int) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.replica.Each(1, func(replication.IndexEntry) bool {
		records++
		return true
	})
	return l.file.Size(), records
}
