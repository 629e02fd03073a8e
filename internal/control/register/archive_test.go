package register_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// archives is a model of some acceptors' archives beside the one true history.
type archives struct {
	value   messages.RegisterValue
	taken   []messages.Version
	archive []*register.Archive
	files   [][]messages.ArchiveChunk
	day     int64
}

func newArchives(count int) *archives {
	a := &archives{value: messages.RegisterValue{}, day: 100}
	for range count {
		a.archive = append(a.archive, &register.Archive{})
		a.files = append(a.files, nil)
	}
	return a
}

// follow has an acceptor accept a value; what it gives back goes to its file.
func (a *archives) follow(at int, value messages.RegisterValue) bool {
	added, complete := a.archive[at].Extend(&value, a.day)
	if added != nil {
		a.files[at] = append(a.files[at], *added)
	}
	return complete
}

// fill has an acceptor pull what it lacks from another.
func (a *archives) fill(at, from int) bool {
	for _, found := range []uint64{a.archive[at].LastChunk(), 0} {
		for filled := true; filled; found = a.archive[at].LastChunk() {
			resp := a.archive[from].Lookup(&messages.ArchiveRequest{Head: a.value.Archive, Pull: true, LastChunk: found})
			if filled = a.archive[at].Fill(a.value.Archive, resp.Chunks); filled {
				a.files[at] = append(a.files[at], resp.Chunks...)
			}
			if a.follow(at, a.value) {
				return true
			}
		}
	}
	return false
}

// restart reads the file again.
func (a *archives) restart(at int) {
	a.archive[at] = &register.Archive{}
	for _, chunk := range a.files[at] {
		a.archive[at].Restore(chunk)
	}
}

func next(value messages.RegisterValue, hash string) (messages.RegisterValue, messages.Version) {
	version := messages.Version{Generation: value.Current.Generation + 2, Base: value.Current.Generation, Hash: hash}
	var result register.Result
	changed, _ := register.Replace(version, []byte(hash), &result)(value)
	return changed, version
}

// check asks every archive about a version.
func (a *archives) check(rt *rapid.T, version messages.Version, taken, mayForget bool) {
	var result register.Result
	_, _ = register.Replace(version, nil, &result)(a.value)
	if result != register.ResultNeedsArchive {
		if result.InForce() != taken {
			rt.Fatalf("the value says %d of %v, taken %v", result, version, taken)
		}
		return
	}
	req := &messages.ArchiveRequest{Head: a.value.Archive, Generation: version.Generation, Fingerprint: register.Fingerprint(version)}
	for at, archive := range a.archive {
		sought := archive.Lookup(req).Status
		if (sought == messages.VersionCommitted && !taken) || (sought == messages.VersionNeverCommitted && taken) {
			rt.Fatalf("archive %d says %d of %v, taken %v", at, sought, version, taken)
		}
		if sought == messages.VersionUnknown && !mayForget && archive.Covers(a.value.Archive) {
			rt.Fatalf("archive %d is whole and does not know %v", at, version)
		}
	}
}

// archiveSteps are the steps of a random history of three archives.
type archiveSteps struct {
	*archives
	forgot bool
}

// commit commits changes that one acceptor, or none, misses.
func (s *archiveSteps) commit(rt *rapid.T) {
	away := rapid.IntRange(-1, 2).Draw(rt, "away")
	for range rapid.IntRange(1, 40).Draw(rt, "changes") {
		value, version := next(s.value, fmt.Sprint(len(s.taken)))
		s.value, s.taken = value, append(s.taken, version)
		for at := range s.archive {
			if at != away {
				s.follow(at, value)
			}
		}
	}
}

// acceptUnchosen has one acceptor alone accept a run of values that lose.
func (s *archiveSteps) acceptUnchosen(rt *rapid.T) {
	at, value := rapid.IntRange(0, 2).Draw(rt, "at"), s.value
	for index := range rapid.IntRange(1, 20).Draw(rt, "run") {
		value, _ = next(value, fmt.Sprint("lost", index))
		s.follow(at, value)
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
		rt.Fatalf("%d was not filled from %d, which is complete", at, from)
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

// checkAll checks each version that was committed, and one beside it that was not.
func (s *archiveSteps) checkAll(rt *rapid.T) {
	for _, version := range s.taken {
		s.check(rt, version, true, s.forgot)
		version.Hash += "x"
		s.check(rt, version, false, s.forgot)
	}
}

// Acceptors miss changes, accept values that are never chosen, restart, pull from each
// other and forget by age: none ever says "never taken" of a version that was taken, or
// the other way round, and one that is complete always knows.
func TestArchiveNeverRejectsACommittedVersion(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &archiveSteps{archives: newArchives(3)}
		rt.Repeat(map[string]func(*rapid.T){
			"change": s.commit, "unchosen": s.acceptUnchosen, "restart": s.restartOne, "wipe": s.loseDisk,
			"fill": s.fillOne, "forget": s.forget, "": s.checkAll,
		})
	})
}

// What travels with a value and what a pull brings, against the number of changes.
func TestArchiveCost(t *testing.T) {
	for _, changes := range []int{40, 300, 2300, 6900} {
		archives := newArchives(2)
		for index := range changes {
			value, version := next(archives.value, fmt.Sprintf("%064d", index))
			archives.value, archives.taken = value, append(archives.taken, version)
			archives.follow(0, value)
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
			t.Fatalf("%d changes: value %d bytes, archive %d bytes", changes, len(message), pulled)
		}
		if !archives.fill(1, 0) {
			t.Fatalf("%d changes: an empty archive was not filled", changes)
		}
	}
}
