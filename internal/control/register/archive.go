package register

import (
	"encoding/binary"

	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Archive is the part of the chain of committed versions that one acceptor stores. Its caller must
// write to disk the chunk that Extend returns and the chunks that Fill adds. The content is checked
// against the digest in a value, so one complete archive on any acceptor is enough to decide
// whether a version was committed.
type Archive struct {
	// base summarizes everything older than the first retained chunk; it has no fingerprints.
	base   messages.ArchiveChunk
	chunks []messages.ArchiveChunk
}

// Restore adds a chunk that was read from disk, and drops the chunks from its index on. The first
// chunk of a chain, or a chunk without fingerprints, replaces everything. A chunk that the base covers,
// or that would leave a gap, is ignored.
func (a *Archive) Restore(chunk messages.ArchiveChunk) {
	if chunk.Index == 1 && len(chunk.Fingerprints) > 0 {
		*a = Archive{}
	}
	if len(chunk.Fingerprints) == 0 {
		a.base, a.chunks = chunk, nil
		return
	}
	if chunk.Index <= a.base.Index || chunk.Index > a.last().Index+1 {
		return
	}
	retained := chunk.Index - a.base.Index - 1
	a.chunks = append(a.chunks[:retained:retained], chunk)
}

// Chunks returns everything that the file must contain, starting with the base.
func (a *Archive) Chunks() []messages.ArchiveChunk {
	return append([]messages.ArchiveChunk{a.base}, a.chunks...)
}

// LastChunk returns the index of the newest chunk.
func (a *Archive) LastChunk() uint64 { return a.last().Index }

func (a *Archive) last() messages.ArchiveChunk {
	if len(a.chunks) == 0 {
		return a.base
	}
	return a.chunks[len(a.chunks)-1]
}

// chunkAt returns the chunk with the given index, or the base if it has that index.
func (a *Archive) chunkAt(index uint64) (messages.ArchiveChunk, bool) {
	if index == a.base.Index {
		return a.base, true
	}
	if index < a.base.Index || index > a.last().Index {
		return messages.ArchiveChunk{}, false
	}
	return a.chunks[index-a.base.Index-1], true
}

// Covers reports whether this archive contains the chain that ends in the given head.
func (a *Archive) Covers(head messages.ArchiveHead) bool {
	chunk, found := a.chunkAt(head.Chunks)
	return found && chunk.Digest == head.Digest
}

// Extend brings the archive up to a value that the acceptor is about to accept. It returns the
// chunk to be written, if any, and reports whether the archive is then complete.
func (a *Archive) Extend(value *messages.RegisterValue, day int64) (added *messages.ArchiveChunk, complete bool) {
	if a.Covers(value.Archive) {
		return nil, true
	}
	if value.Archive.Chunks == 0 {
		// No version has been archived yet, so the chunks here belong to values that were never
		// chosen.
		*a = Archive{}
		return nil, true
	}
	chunk, available := newestChunk(value)
	if !available {
		return nil, false
	}
	previous, found := a.chunkAt(chunk.Index - 1)
	if !found || chain(previous.Digest, chunk.Fingerprints) != chunk.Digest {
		return nil, false
	}
	chunk.Day = day
	a.Restore(chunk)
	return &chunk, true
}

// Fill adds the chunks that another acceptor returned for a head. It adds either all of them or
// none, and reports whether it added them.
func (a *Archive) Fill(head messages.ArchiveHead, chunks []messages.ArchiveChunk) bool {
	if len(chunks) == 0 {
		return false
	}
	filled := Archive{base: a.base, chunks: append([]messages.ArchiveChunk{}, a.chunks...)}
	if len(chunks[0].Fingerprints) == 0 || chunks[0].Index == 1 {
		filled = Archive{}
	}
	for _, chunk := range chunks {
		previous, found := filled.chunkAt(chunk.Index - 1)
		if len(chunk.Fingerprints) > 0 && (!found || chain(previous.Digest, chunk.Fingerprints) != chunk.Digest) {
			return false
		}
		filled.Restore(chunk)
	}
	if filled.LastChunk() < head.Chunks || filled.Covers(head) {
		*a = filled
		return true
	}
	return false
}

// Forget drops the chunks that are older than constants.ArchiveDays, and reports whether there were
// any.
func (a *Archive) Forget(day int64) bool {
	expired := 0
	for expired < len(a.chunks) && a.chunks[expired].Day+constants.ArchiveDays < day {
		expired++
	}
	if expired == 0 {
		return false
	}
	a.base = a.chunks[expired-1]
	a.base.Fingerprints = nil
	a.chunks = append([]messages.ArchiveChunk{}, a.chunks[expired:]...)
	return true
}

// Lookup handles the archive request of another process.
func (a *Archive) Lookup(req *messages.ArchiveRequest) *messages.ArchiveResponse {
	resp := &messages.ArchiveResponse{Status: a.status(req)}
	if req.Pull {
		resp.Chunks = a.chunksAfter(req.LastChunk)
	}
	return resp
}

func (a *Archive) status(req *messages.ArchiveRequest) messages.VersionStatus {
	if req.Generation == 0 || !a.Covers(req.Head) {
		return messages.VersionUnknown
	}
	for _, chunk := range a.chunks {
		for offset := 0; offset+8 <= len(chunk.Fingerprints) && chunk.Index <= req.Head.Chunks; offset += 8 {
			if binary.BigEndian.Uint64(chunk.Fingerprints[offset:]) == req.Fingerprint {
				return messages.VersionCommitted
			}
		}
	}
	if req.Generation <= a.base.Last || req.Generation < req.Head.Since {
		return messages.VersionUnknown
	}
	return messages.VersionNeverCommitted
}

// chunksAfter returns up to constants.ArchiveBatch chunks that follow the given index. If some of
// these have been dropped, the result starts with the base.
func (a *Archive) chunksAfter(lastChunk uint64) []messages.ArchiveChunk {
	all := a.Chunks()
	if lastChunk >= a.base.Index {
		all = a.chunks[min(lastChunk-a.base.Index, uint64(len(a.chunks))):]
	}
	return all[:min(len(all), constants.ArchiveBatch)]
}
