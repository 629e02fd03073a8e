// Package replicalog stores a store process's replica of the records of batch jobs on disk. Package
// replication decides how to respond to requests and what must be synced before the response; this
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

// ErrReplicaLog is the error of a replica whose disk can't be read or written.
var ErrReplicaLog = errs.Define("replica log")

// replicaFileName is the name of the replica's file.
const replicaFileName = "replica"

// Log is a replica on disk. Its methods sync what they write before they return. It is safe for
// concurrent use; the lock is held during a sync.
type Log struct {
	lock    sync.Mutex
	replica *replication.Replica
	file    *recordlog.Log
	// commitIndex is the index up to which all records are known to be durable.
	commitIndex      int64
	compactionPolicy compactionState
	// base is the index of the replica's base, readable without the lock by callers that must not wait for a sync.
	base atomic.Int64
	// bytes is the length of the file, readable without the lock, which is held while the log waits
	// for the disk.
	bytes atomic.Int64
}

// Open reads the replica from a disk. An empty disk is given the identity.
func Open(disk recordlog.Disk, identity string) (*Log, error) {
	log := &Log{replica: replication.NewReplica(""), compactionPolicy: compactionState{Compaction: DefaultCompaction()}}
	file, err := recordlog.Open(disk, replicaFileName, func(offset int64, body []byte) error {
		record := messages.ReplicaRecord{}
		if _, cause := record.UnmarshalMsg(body); cause != nil {
			return ErrReplicaLog.Wrap(cause, replicaFileName)
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
			return ErrReplicaLog.Wrap(log.replica.Restore(&record.Entry, offset), replicaFileName)
		}
		return nil
	})
	if err != nil {
		return nil, ErrReplicaLog.Wrap(err, "open file")
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

// Bytes returns the length of the file. It never waits for the disk.
func (l *Log) Bytes() int64 { return l.bytes.Load() }

// Disk returns the identity of the disk.
func (l *Log) Disk() string { return l.replica.Disk }

// write appends records and syncs the file.
func (l *Log) write(records ...messages.ReplicaRecord) error {
	_, err := l.writeAll(records)
	return err
}

// writeAll appends records, syncs the file and returns the offsets of the records.
func (l *Log) writeAll(records []messages.ReplicaRecord) ([]int64, error) {
	bodies := make([][]byte, 0, len(records))
	for i := range records {
		body, err := records[i].MarshalMsg(nil)
		if err != nil {
			return nil, ErrReplicaLog.Wrap(err, "encode record")
		}
		bodies = append(bodies, body)
	}
	offsets, err := l.file.Append(bodies...)
	if err == nil {
		err = l.file.Sync()
	}
	l.bytes.Store(l.file.Size())
	return offsets, ErrReplicaLog.Wrap(err, "append records")
}

// Fence processes a new leader's fence request and returns once the epoch is synced.
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

// Append processes a leader's append request and returns once the records are synced.
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
	headRecords := len(records)
	for i := range plan.Records {
		records = append(records, messages.ReplicaRecord{HasEntry: true, Entry: plan.Records[i]})
	}
	if len(records) > 0 {
		offsets, err := l.writeAll(records)
		if err != nil {
			return messages.AppendResponse{}, err
		}
		l.replica.Commit(plan, req.Epoch, offsets[headRecords:])
		l.base.Store(l.replica.Base().Index)
	}
	// After the last record that is known to match the leader's, there may be a tail from an earlier
	// leader, which is not committed.
	l.commitIndex = max(l.commitIndex, min(req.CommitIndex, resp.Last))
	return resp, nil
}
