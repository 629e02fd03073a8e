package quorum

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
	logfile *recordlog.Logfile
	lock    sync.Mutex
	core    register.Archive
	// stale says that the file lacks what core holds.
	stale bool
	// pulling is held by the one that asks others for chunks; retry is when the
	// next may do so.
	pulling sync.Mutex
	retry   clock.Moment
}

func openArchive(disk recordlog.Disk, name string) (*archive, error) {
	made := &archive{}
	read := func(_ int64, body []byte) error {
		chunk := messages.ArchiveChunk{}
		if _, err := chunk.UnmarshalMsg(body); err != nil {
			return recordlog.Damage.Wrap(err, name)
		}
		made.core.Restore(chunk)
		return nil
	}
	logfile, err := recordlog.Open(disk, name, read)
	if errs.Of(err, recordlog.Damage) {
		// Other acceptors hold the same chain.
		made.core = register.Archive{}
		if err = disk.Remove(name); err == nil {
			logfile, err = recordlog.Open(disk, name, read)
		}
	}
	made.logfile = logfile
	return made, Damaged.Wrap(err, "open archive")
}

// extend follows a value that is about to be accepted, and syncs what is new.
func (archive *archive) extend(value *messages.Register) error {
	archive.writing.Lock()
	defer archive.writing.Unlock()
	archive.lock.Lock()
	added, _ := archive.core.Extend(value, clock.Wall()/dayLength)
	archive.lock.Unlock()
	switch {
	case added != nil:
		return archive.write([]messages.ArchiveChunk{*added})
	case archive.stale:
		return archive.write(nil)
	default:
		return nil
	}
}

// write appends chunks, or rewrites the file where it is long or in doubt.
func (archive *archive) write(chunks []messages.ArchiveChunk) error {
	archive.lock.Lock()
	forgot := archive.core.Forget(clock.Wall() / dayLength)
	rewrite := forgot || archive.stale || archive.logfile.Size() > constants.ArchiveLimit
	if rewrite {
		chunks = archive.core.Chunks()
	}
	archive.lock.Unlock()
	bodies := make([][]byte, 0, len(chunks))
	for index := range chunks {
		body, err := chunks[index].MarshalMsg(nil)
		if err != nil {
			return Damaged.Wrap(err, "archive chunk")
		}
		bodies = append(bodies, body)
	}
	var err error
	if rewrite {
		_, err = archive.logfile.Rewrite(recordlog.Once(bodies...))
	} else if _, err = archive.logfile.Append(bodies...); err == nil {
		err = archive.logfile.Sync()
	}
	archive.stale = err != nil
	return Damaged.Wrap(err, "write archive")
}

// answer answers another process.
func (archive *archive) answer(question *messages.ArchiveQuestion) *messages.ArchiveAnswer {
	archive.lock.Lock()
	defer archive.lock.Unlock()
	return archive.core.Answer(question)
}

// follows tells whether the archive is whole once the value is accepted.
func (archive *archive) follows(value *messages.Register) bool {
	archive.lock.Lock()
	defer archive.lock.Unlock()
	copied := archive.core
	_, whole := copied.Extend(value, 0)
	return whole
}

func (archive *archive) held() uint64 {
	archive.lock.Lock()
	defer archive.lock.Unlock()
	return archive.core.Held()
}

// fill takes chunks that another acceptor gave, and syncs them.
func (archive *archive) fill(head messages.ArchiveHead, chunks []messages.ArchiveChunk) bool {
	archive.writing.Lock()
	defer archive.writing.Unlock()
	archive.lock.Lock()
	filled := archive.core.Fill(head, chunks)
	archive.lock.Unlock()
	return filled && archive.write(chunks) == nil
}

// fillArchive gets the chunks that this acceptor lacks for a value which it is asked
// to accept. The vote does not depend on it: without them it answers for no old
// version, and asks again later.
func (replica *Register) fillArchive(question *messages.Accept) {
	record := replica.Record()
	if question.Disk != record.Disk || register.Less(question.Ballot, record.Promised) || replica.archive.follows(&question.Value) {
		return
	}
	replica.archive.pulling.Lock()
	defer replica.archive.pulling.Unlock()
	if clock.Now() < replica.archive.retry || replica.archive.follows(&question.Value) {
		return
	}
	for _, member := range register.Targets(&question.Value) {
		if member.Address != replica.Runtime.Own.Address && replica.pull(member, &question.Value) {
			return
		}
	}
	replica.archive.retry = clock.Now().Plus(constants.ArchiveRetry)
}

// pull asks one acceptor for what is lacking, first after what is held and then for
// all: what is held may belong to a value that was never chosen.
func (replica *Register) pull(member messages.Member, value *messages.Register) bool {
	for _, held := range []uint64{replica.archive.held(), 0} {
		for {
			answer := replica.askArchive(member, &messages.ArchiveQuestion{Head: value.Archive, Pull: true, Held: held})
			if answer == nil {
				return false
			}
			if !replica.archive.fill(value.Archive, answer.Chunks) {
				break
			}
			if replica.archive.follows(value) {
				return true
			}
			if held == replica.archive.held() {
				break
			}
			held = replica.archive.held()
		}
	}
	return false
}

// askArchive puts a question to one acceptor; nil where no answer comes.
func (replica *Register) askArchive(member messages.Member, question *messages.ArchiveQuestion) *messages.ArchiveAnswer {
	answer := &messages.Promise{}
	kind, message := replica.prepare(&messages.Prepare{Disk: member.Disk, Query: true, Slim: true, Archive: question})
	if transport.Ask(replica.Runtime.Wire, member.Address, kind, message, answer, constants.ArchivePull) != nil {
		return nil
	}
	return answer.Archive
}
