package registerserver

import (
	"sync"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/recordlog"
	"lemonarch/internal/platform/transport"
)

// archiveSuffix names the archive's file after that of the acceptor.
const archiveSuffix = "-taken"

// dayLength is a day in ns of the wall clock.
const dayLength = 24 * 60 * 60 * 1_000_000_000

// archive keeps the chunks of versions taken on disk.
type archive struct {
	// writing is held while the file is written; lock guards core and is not.
	writing sync.Mutex
	logfile *recordlog.Log
	// today returns the current day, counted since the epoch of the wall clock.
	today func() int64
	lock  sync.Mutex
	core  register.Archive
	// stale says that the file lacks what core holds.
	stale bool
	// pulling is held by the one that asks others for chunks; nextPull is when the
	// next may do so.
	pulling  sync.Mutex
	nextPull clock.Instant
}

// wallDay returns the current day by the wall clock.
func wallDay() int64 { return clock.WallNanos() / dayLength }

func openArchive(disk recordlog.Disk, name string) (*archive, error) {
	made := &archive{today: wallDay}
	read := func(_ int64, body []byte) error {
		chunk := messages.ArchiveChunk{}
		if _, err := chunk.UnmarshalMsg(body); err != nil {
			return recordlog.ErrCorrupt.Wrap(err, name)
		}
		made.core.Restore(chunk)
		return nil
	}
	logfile, err := recordlog.Open(disk, name, read)
	if errs.Is(err, recordlog.ErrCorrupt) {
		// Other acceptors hold the same chain.
		made.core = register.Archive{}
		if err = disk.Remove(name); err == nil {
			logfile, err = recordlog.Open(disk, name, read)
		}
	}
	made.logfile = logfile
	return made, ErrDisk.Wrap(err, "open archive")
}

// extend follows a value that is about to be accepted, and syncs what is new.
func (a *archive) extend(value *messages.RegisterValue) error {
	a.writing.Lock()
	defer a.writing.Unlock()
	a.lock.Lock()
	added, _ := a.core.Extend(value, a.today())
	a.lock.Unlock()
	switch {
	case added != nil:
		return a.write([]messages.ArchiveChunk{*added})
	case a.stale:
		return a.write(nil)
	default:
		return nil
	}
}

// write appends chunks, or rewrites the file where it is long or in doubt.
func (a *archive) write(chunks []messages.ArchiveChunk) error {
	a.lock.Lock()
	forgot := a.core.Forget(a.today())
	rewrite := forgot || a.stale || a.logfile.Size() > constants.ArchiveLimit
	if rewrite {
		chunks = a.core.Chunks()
	}
	a.lock.Unlock()
	bodies := make([][]byte, 0, len(chunks))
	for index := range chunks {
		body, err := chunks[index].MarshalMsg(nil)
		if err != nil {
			return ErrDisk.Wrap(err, "archive chunk")
		}
		bodies = append(bodies, body)
	}
	var err error
	if rewrite {
		_, err = a.logfile.Rewrite(recordlog.Records(bodies...))
	} else if _, err = a.logfile.Append(bodies...); err == nil {
		err = a.logfile.Sync()
	}
	a.stale = err != nil
	return ErrDisk.Wrap(err, "write archive")
}

// lookup answers another process.
func (a *archive) lookup(req *messages.ArchiveRequest) *messages.ArchiveResponse {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.core.Lookup(req)
}

// completeFor tells whether the archive is complete once the value is accepted.
func (a *archive) completeFor(value *messages.RegisterValue) bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	copied := a.core
	_, complete := copied.Extend(value, 0)
	return complete
}

func (a *archive) lastChunk() uint64 {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.core.LastChunk()
}

// fill takes chunks that another acceptor gave, and syncs them.
func (a *archive) fill(head messages.ArchiveHead, chunks []messages.ArchiveChunk) bool {
	a.writing.Lock()
	defer a.writing.Unlock()
	a.lock.Lock()
	filled := a.core.Fill(head, chunks)
	a.lock.Unlock()
	return filled && a.write(chunks) == nil
}

// fillArchive gets the chunks that this acceptor lacks for a value which it is asked
// to accept. The vote does not depend on it: without them it answers for no old
// version, and asks again later.
func (r *Replica) fillArchive(req *messages.AcceptRequest) {
	record := r.Record()
	if req.Disk != record.Disk || register.Less(req.Ballot, record.Promised) || r.archive.completeFor(&req.Value) {
		return
	}
	r.archive.pulling.Lock()
	defer r.archive.pulling.Unlock()
	if clock.Now() < r.archive.nextPull || r.archive.completeFor(&req.Value) {
		return
	}
	for _, member := range register.Targets(&req.Value) {
		if member.Address != r.Node.Self.Address && r.pullArchive(member, &req.Value) {
			return
		}
	}
	r.archive.nextPull = clock.Now().Add(constants.ArchiveRetryBackoff)
}

// pullArchive asks one acceptor for what is lacking, first after what is held and then for
// all: what is held may belong to a value that was never chosen.
func (r *Replica) pullArchive(member messages.Member, value *messages.RegisterValue) bool {
	for _, found := range []uint64{r.archive.lastChunk(), 0} {
		for {
			resp := r.requestArchive(member, &messages.ArchiveRequest{Head: value.Archive, Pull: true, LastChunk: found})
			if resp == nil {
				return false
			}
			if !r.archive.fill(value.Archive, resp.Chunks) {
				break
			}
			if r.archive.completeFor(value) {
				return true
			}
			if found == r.archive.lastChunk() {
				break
			}
			found = r.archive.lastChunk()
		}
	}
	return false
}

// requestArchive sends a request to one acceptor; nil where no response comes.
func (r *Replica) requestArchive(member messages.Member, req *messages.ArchiveRequest) *messages.ArchiveResponse {
	resp := &messages.PrepareResponse{}
	kind, message := r.prepareMessage(&messages.PrepareRequest{Disk: member.Disk, Query: true, WithoutBody: true, Archive: req})
	if transport.Call(r.Node.Transport, member.Address, kind, message, resp, constants.ArchivePullTimeout) != nil {
		return nil
	}
	return resp.Archive
}
