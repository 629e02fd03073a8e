// Package replicalog keeps a store's replica of the records of batch jobs on disk. What may
// be answered and what must be synced before that is decided by package replication; this
// package does the I/O.
package replicalog

import (
	"sync"
	"sync/atomic"

	"lemonarch/internal/batch/replication"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/recordlog"
)

// ErrCorrupt is the error of a store whose disk can't be read or written.
var ErrCorrupt = errs.Define("store")

// replicaFileName is the file of the replica.
const replicaFileName = "replica"

// Log is a replica on disk: it syncs before it answers. It is safe for concurrent use; a sync
// holds its lock.
type Log struct {
	lock    sync.Mutex
	replica *replication.Replica
	file    *recordlog.Log
	// commitIndex is the index up to which all is known to be durable.
	commitIndex      int64
	compactionPolicy compactionState
	// base is the replica's, for those who must not wait for a sync.
	base atomic.Int64
	// bytes is the length of the file, readable without the lock, which is held while the disk
	// is waited for.
	bytes atomic.Int64
}

// Open reads the disk; an empty one gets the new identity.
func Open(disk recordlog.Disk, identity string) (*Log, error) {
	log := &Log{replica: replication.NewReplica(""), compactionPolicy: compactionState{Compaction: DefaultCompaction()}}
	file, err := recordlog.Open(disk, replicaFileName, func(offset int64, body []byte) error {
		record := messages.ReplicaRecord{}
		if _, cause := record.UnmarshalMsg(body); cause != nil {
			return ErrCorrupt.Wrap(cause, replicaFileName)
		}
		if record.Disk != "" {
			log.replica.Disk = record.Disk
		}
		log.replica.SetFencedEpoch(record.Fence)
		if record.HasTruncation {
			log.replica.Truncate(record.TruncateTo)
		}
		if record.Base > 0 {
			log.replica.Reset(replication.Base{Index: record.Base, Epoch: record.BaseEpoch})
		}
		if record.HasEntry {
			return ErrCorrupt.Wrap(log.replica.Restore(&record.Entry, offset), replicaFileName)
		}
		return nil
	})
	if err != nil {
		return nil, ErrCorrupt.Wrap(err, "open")
	}
	log.file = file
	log.bytes.Store(file.Size())
	log.base.Store(log.replica.Base().Index)
	if log.replica.Disk == "" {
		log.replica.Disk = identity
		if err = log.write(messages.ReplicaRecord{Disk: identity}); err != nil {
			return nil, err
		}
	}
	return log, nil
}

// Bytes is the length of the file. It never waits.
func (l *Log) Bytes() int64 { return l.bytes.Load() }

// Disk is the identity of the disk.
func (l *Log) Disk() string { return l.replica.Disk }

func (l *Log) write(records ...messages.ReplicaRecord) error {
	_, err := l.writeAll(records)
	return err
}

func (l *Log) writeAll(records []messages.ReplicaRecord) ([]int64, error) {
	bodies := make([][]byte, 0, len(records))
	for i := range records {
		body, err := records[i].MarshalMsg(nil)
		if err != nil {
			return nil, ErrCorrupt.Wrap(err, "record")
		}
		bodies = append(bodies, body)
	}
	offsets, err := l.file.Append(bodies...)
	if err == nil {
		err = l.file.Sync()
	}
	l.bytes.Store(l.file.Size())
	return offsets, ErrCorrupt.Wrap(err, "append")
}

// Fence takes a new leader's epoch.
func (l *Log) Fence(req *messages.FenceRequest) (messages.FenceResponse, error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	resp, persist := l.replica.Fence(req)
	if persist {
		if err := l.write(messages.ReplicaRecord{Fence: req.Epoch}); err != nil {
			return messages.FenceResponse{}, err
		}
		l.replica.SetFencedEpoch(req.Epoch)
	}
	return resp, nil
}

// Append takes records, and answers once they are synced.
func (l *Log) Append(req *messages.AppendRequest) (messages.AppendResponse, error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	plan, resp := l.replica.Append(req)
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
		offsets, err := l.writeAll(records)
		if err != nil {
			return messages.AppendResponse{}, err
		}
		l.replica.Commit(plan, req.Epoch, offsets[hashes:])
		l.base.Store(l.replica.Base().Index)
	}
	// Behind what joins on to the leader's records there may be a tail of an earlier one.
	l.commitIndex = max(l.commitIndex, min(req.CommitIndex, resp.Last))
	return resp, nil
}
