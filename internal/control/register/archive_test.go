package register_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// archives models the archives of some acceptors, together with the actual history of committed
// versions.
type archives struct {
	value     messages.RegisterValue
	committed []messages.Version
	archive   []*register.Archive
	files     [][]messages.ArchiveChunk
	day       int64
}

func newArchives(count int) *archives {
	a := &archives{value: messages.RegisterValue{}, day: 100}
	for range count {
		a.archive = append(a.archive, &register.Archive{})
		a.files = append(a.files, nil)
	}
	return a
}

// accept has an acceptor accept a value. The chunk that Extend returns is added to its file.
func (a *archives) accept(at int, value messages.RegisterValue) bool {
	added, complete := a.archive[at].Extend(&value, a.day)
	if added != nil {
		a.files[at] = append(a.files[at], *added)
	}
	return complete
}

// fill has an acceptor pull the chunks that it lacks from another.
func (a *archives) fill(at, from int) bool {
	for _, lastChunk := range []uint64{a.archive[at].LastChunk(), 0} {
		for filled := true; filled; lastChunk = a.archive[at].LastChunk() {
			resp := a.archive[from].Lookup(&messages.ArchiveRequest{Head: a.value.Archive, Pull: true, LastChunk: lastChunk})
			if filled = a.archive[at].Fill(a.value.Archive, resp.Chunks); filled {
				a.files[at] = append(a.files[at], resp.Chunks...)
			}
			if a.accept(at, a.value) {
				return true
			}
		}
	}
	return false
}

// restart restores the archive of an acceptor from its file.
func (a *archives) restart(at int) {
	a.archive[at] = &register.Archive{}
	for _, chunk := range a.files[at] {
		a.archive[at].Restore(chunk)
	}
}

func nextVersion(value messages.RegisterValue, hash string) (messages.RegisterValue, messages.Version) {
	version := messages.Version{Generation: value.Current.Generation + 2, Base: value.Current.Generation, Hash: hash}
	var result register.Result
	changed, _ := register.Replace(version, []byte(hash), &result)(value)
	return changed, version
}

// check queries every archive for the status of a version. With mayForget, a complete archive may
// have dropped the version.
func (a *archives) check(rt *rapid.T, version messages.Version, committed, mayForget bool) {
	var result register.Result
	_, _ = register.Replace(version, nil, &result)(a.value)
	if result != register.ResultNeedsArchive {
		if result.InForce() != committed {
			rt.Fatalf("Replace on the value returned result %d for %v, but committed is %v", result, version, committed)
		}
		return
	}
	req := &messages.ArchiveRequest{Head: a.value.Archive, Generation: version.Generation, Fingerprint: register.Fingerprint(version)}
	for at, archive := range a.archive {
		status := archive.Lookup(req).Status
		if (status == messages.VersionCommitted && !committed) || (status == messages.VersionNeverCommitted && committed) {
			rt.Fatalf("archive %d has status %d for %v, committed %v", at, status, version, committed)
		}
		if status == messages.VersionUnknown && !mayForget && archive.Covers(a.value.Archive) {
			rt.Fatalf("archive %d is complete but does not know %v", at, version)
		}
	}
}

// archiveSteps implements the steps of a random history of three archives.
type archiveSteps struct {
	*archives
	forgot bool
}

// commit commits changes that one acceptor, or none, misses.
func (s *archiveSteps) commit(rt *rapid.T) {
	absent := rapid.IntRange(-1, 2).Draw(rt, "away")
	for range rapid.IntRange(1, 40).Draw(rt, "changes") {
		value, version := nextVersion(s.value, fmt.Sprint(len(s.committed)))
		s.value, s.committed = value, append(s.committed, version)
		for at := range s.archive {
			if at != absent {
				s.accept(at, value)
			}
		}
	}
}

// acceptUnchosen has a single acceptor accept a sequence of values that are never chosen.
func (s *archiveSteps) acceptUnchosen(rt *rapid.T) {
	at, value := rapid.IntRange(0, 2).Draw(rt, "at"), s.value
	for index := range rapid.IntRange(1, 20).Draw(rt, "run") {
		value, _ = nextVersion(value, fmt.Sprint("lost", index))
		s.accept(at, value)
	}
}

func (s *archiveSteps) restartOne(rt *rapid.T) { s.restart(rapid.IntRange(0, 2).Draw(rt, "at")) }

func (s *archiveSteps) loseDisk(rt *rapid.T) {
	at := rapid.IntRange(0, 2).Draw(rt, "at")
	s.files[at] = nil
	s.restart(at)
}

func (s *archiveSteps) fillOne(rt *rapid.T) {
	at, from := rapid.IntRange(0, 2).Draw(rt, "at"), rapid.IntRange(0, 2).Draw(rt, "from")
	complete := s.archive[from].Covers(s.value.Archive)
	if filled := s.fill(at, from); complete && !filled {
		rt.Fatalf("archive %d was not filled from %d, which is complete", at, from)
	}
}

func (s *archiveSteps) forget(rt *rapid.T) {
	s.day += int64(rapid.IntRange(0, constants.ArchiveDays).Draw(rt, "days"))
	at := rapid.IntRange(0, 2).Draw(rt, "at")
	if s.archive[at].Forget(s.day) {
		s.forgot = true
		s.files[at] = s.archive[at].Chunks()
	}
}

// checkAll checks each version that was committed, and a variant of it that was not.
func (s *archiveSteps) checkAll(rt *rapid.T) {
	for _, version := range s.committed {
		s.check(rt, version, true, s.forgot)
		version.Hash += "x"
		s.check(rt, version, false, s.forgot)
	}
}

// Acceptors miss changes, accept values that are never chosen, restart, pull from each other and
// drop old chunks. No archive may report a committed version as never committed, or the other way
// round, and a complete archive must know every version.
func TestArchiveNeverRejectsACommittedVersion(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &archiveSteps{archives: newArchives(3)}
		rt.Repeat(map[string]func(*rapid.T){
			"change": s.commit, "unchosen": s.acceptUnchosen, "restart": s.restartOne, "wipe": s.loseDisk,
			"fill": s.fillOne, "forget": s.forget, "": s.checkAll,
		})
	})
}

// The size of a value without its body is bounded by a constant, and that of a whole archive by the
// number of changes.
func TestValueSizeIsBoundedAndArchiveSizeIsLinear(t *testing.T) {
	for _, changes := range []int{40, 300, 2300, 6900} {
		archives := newArchives(2)
		for index := range changes {
			value, version := nextVersion(archives.value, fmt.Sprintf("%064d", index))
			archives.value, archives.committed = value, append(archives.committed, version)
			archives.accept(0, value)
		}
		archives.value.Body = nil
		message, _ := archives.value.MarshalMsg(nil)
		pulled := 0
		for _, chunk := range archives.archive[0].Chunks() {
			body, _ := chunk.MarshalMsg(nil)
			pulled += len(body)
		}
		t.Logf("%d changes: the value without its body %d bytes, the whole archive %d bytes", changes, len(message), pulled)
		if len(message) > 4000 || pulled > 64+12*changes {
			t.Fatalf("%d changes: value %d bytes, want at most 4000; archive %d bytes, want at most %d", changes, len(message), pulled, 64+12*changes)
		}
		if !archives.fill(1, 0) {
			t.Fatalf("%d changes: an empty archive was not filled", changes)
		}
	}
}
