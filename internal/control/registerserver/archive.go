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

// archiveSuffix is appended to the name of the acceptor's file to form the name of the archive's
// file.
const archiveSuffix = "-taken"

// dayLength is the length of a day in ns.
const dayLength = 24 * 60 * 60 * 1_000_000_000

// archive stores the chunks of committed versions on disk.
type archive struct {
	// writing is held while the file is written. lock guards state and is not held during a write.
	writing sync.Mutex
	logfile *recordlog.Log
	// today returns the current day, counted since the epoch of the wall clock.
	today func() int64
	lock  sync.Mutex
	state register.Archive
	// stale is set if the file lacks chunks that state contains, because a write failed. It is
	// guarded by writing.
	stale bool
	// pulling is held by the goroutine that requests chunks from other acceptors. nextPull is the
	// earliest time of the next such request.
	pulling  sync.Mutex
	nextPull clock.Instant
}

// wallDay returns the current day by the wall clock.
func wallDay() int64 { return clock.WallNanos() / dayLength }

func openArchive(disk recordlog.Disk, name string) (*archive, error) {
	opened := &archive{today: wallDay}
	read := func(_ int64, body []byte) error {
		chunk := messages.ArchiveChunk{}
		if _, err := chunk.UnmarshalMsg(body); err != nil {
			return recordlog.ErrCorrupt.Wrap(err, name)
		}
		opened.state.Restore(chunk)
		return nil
	}
	logfile, err := recordlog.Open(disk, name, read)
	if errs.Is(err, recordlog.ErrCorrupt) {
		// The file can be dropped, because other acceptors store the same chain.
		opened.state = register.Archive{}
		if err = disk.Remove(name); err == nil {
			logfile, err = recordlog.Open(disk, name, read)
		}
	}
	opened.logfile = logfile
	return opened, ErrDisk.Wrap(err, "open archive")
}

// extend brings the archive up to a value that is about to be accepted, and syncs the added chunk.
func (a *archive) extend(value *messages.RegisterValue) error {
	a.writing.Lock()
	defer a.writing.Unlock()
	a.lock.Lock()
	added, _ := a.state.Extend(value, a.today())
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

// write appends chunks, or rewrites the file if it is too long, if chunks were dropped by age, or
// if an earlier write failed. The caller must hold writing, but not lock.
func (a *archive) write(chunks []messages.ArchiveChunk) error {
	a.lock.Lock()
	forgot := a.state.Forget(a.today())
	rewrite := forgot || a.stale || a.logfile.Size() > constants.ArchiveLimit
	if rewrite {
		chunks = a.state.Chunks()
	}
	a.lock.Unlock()
	bodies := make([][]byte, 0, len(chunks))
	for index := range chunks {
		body, err := chunks[index].MarshalMsg(nil)
		if err != nil {
			return ErrDisk.Wrap(err, "encode archive chunk")
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

// lookup handles the archive request of another process.
func (a *archive) lookup(req *messages.ArchiveRequest) *messages.ArchiveResponse {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.state.Lookup(req)
}

// completeFor reports whether the archive is complete once the value is accepted.
func (a *archive) completeFor(value *messages.RegisterValue) bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	copied := a.state
	_, complete := copied.Extend(value, 0)
	return complete
}

func (a *archive) lastChunk() uint64 {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.state.LastChunk()
}

// fill adds chunks that another acceptor returned and syncs them. It reports whether both succeeded.
func (a *archive) fill(head messages.ArchiveHead, chunks []messages.ArchiveChunk) bool {
	a.writing.Lock()
	defer a.writing.Unlock()
	a.lock.Lock()
	filled := a.state.Fill(head, chunks)
	a.lock.Unlock()
	return filled && a.write(chunks) == nil
}

// fillArchive requests the chunks that this acceptor lacks for a value that it is about to accept.
// The vote does not depend on them: without them this acceptor cannot decide on old versions, and
// requests them again later.
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

// pullArchive requests the missing chunks from one acceptor: first those after its own last chunk,
// then all of them, because its own chunks may belong to a value that was never chosen. It reports
// whether the archive is then complete for the value.
func (r *Replica) pullArchive(member messages.Member, value *messages.RegisterValue) bool {
	for _, after := range []uint64{r.archive.lastChunk(), 0} {
		for {
			resp := r.requestArchive(member, &messages.ArchiveRequest{Head: value.Archive, Pull: true, LastChunk: after})
			if resp == nil {
				return false
			}
			if !r.archive.fill(value.Archive, resp.Chunks) {
				break
			}
			if r.archive.completeFor(value) {
				return true
			}
			if after == r.archive.lastChunk() {
				break
			}
			after = r.archive.lastChunk()
		}
	}
	return false
}

// requestArchive sends a request to one acceptor. It returns nil if there is no response.
func (r *Replica) requestArchive(member messages.Member, req *messages.ArchiveRequest) *messages.ArchiveResponse {
	resp := &messages.PrepareResponse{}
	kind, message := r.prepareMessage(&messages.PrepareRequest{Disk: member.Disk, Query: true, WithoutBody: true, Archive: req})
	if transport.Call(r.Node.Transport, member.Address, kind, message, resp, constants.ArchivePullTimeout) != nil {
		return nil
	}
	return resp.Archive
}
