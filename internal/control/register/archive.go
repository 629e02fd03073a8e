package register

import (
	"encoding/binary"

	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Archive is what one acceptor holds of the chain of versions taken. Its caller
// writes down the chunks that Extend and Fill give back. What it holds is checked
// against the digest in a value, so one complete archive anywhere is enough to tell
// whether a version was taken.
type Archive struct {
	// base stands for what is older than the first chunk kept.
	base   messages.ArchiveChunk
	chunks []messages.ArchiveChunk
}

// Restore takes a chunk read from disk: it replaces those from its index on. The first
// chunk of a chain, or one without fingerprints, replaces all.
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

// Chunks gives all that has to stand in the file, the base first.
func (a *Archive) Chunks() []messages.ArchiveChunk {
	return append([]messages.ArchiveChunk{a.base}, a.chunks...)
}

// LastChunk is the index of the newest chunk held.
func (a *Archive) LastChunk() uint64 { return a.last().Index }

func (a *Archive) last() messages.ArchiveChunk {
	if len(a.chunks) == 0 {
		return a.base
	}
	return a.chunks[len(a.chunks)-1]
}

// at gives the chunk of an index, the base included.
func (a *Archive) at(index uint64) (messages.ArchiveChunk, bool) {
	if index == a.base.Index {
		return a.base, true
	}
	if index < a.base.Index || index > a.last().Index {
		return messages.ArchiveChunk{}, false
	}
	return a.chunks[index-a.base.Index-1], true
}

// Covers tells whether this archive holds the chain of a head.
func (a *Archive) Covers(head messages.ArchiveHead) bool {
	chunk, found := a.at(head.Chunks)
	return found && chunk.Digest == head.Digest
}

// Extend follows a value that the acceptor is about to accept. It gives the chunk
// to be written down, if any, and tells whether the archive is complete then.
func (a *Archive) Extend(value *messages.RegisterValue, day int64) (added *messages.ArchiveChunk, complete bool) {
	if a.Covers(value.Archive) {
		return nil, true
	}
	if value.Archive.Chunks == 0 {
		// Nothing was archived yet: what is held belongs to values that lost.
		*a = Archive{}
		return nil, true
	}
	chunk, inClear := newestChunk(value)
	if !inClear {
		return nil, false
	}
	before, found := a.at(chunk.Index - 1)
	if !found || chain(before.Digest, chunk.Fingerprints) != chunk.Digest {
		return nil, false
	}
	chunk.Day = day
	a.Restore(chunk)
	return &chunk, true
}

// Fill takes the chunks that another acceptor gave for a head, all or none of them.
func (a *Archive) Fill(head messages.ArchiveHead, chunks []messages.ArchiveChunk) bool {
	if len(chunks) == 0 {
		return false
	}
	made := Archive{base: a.base, chunks: append([]messages.ArchiveChunk{}, a.chunks...)}
	if len(chunks[0].Fingerprints) == 0 || chunks[0].Index == 1 {
		made = Archive{}
	}
	for _, chunk := range chunks {
		before, found := made.at(chunk.Index - 1)
		if len(chunk.Fingerprints) > 0 && (!found || chain(before.Digest, chunk.Fingerprints) != chunk.Digest) {
			return false
		}
		made.Restore(chunk)
	}
	if made.LastChunk() < head.Chunks || made.Covers(head) {
		*a = made
		return true
	}
	return false
}

// Forget drops the chunks that are older than constants.ArchiveDays, and tells
// whether any was.
func (a *Archive) Forget(day int64) bool {
	retained := 0
	for retained < len(a.chunks) && a.chunks[retained].Day+constants.ArchiveDays < day {
		retained++
	}
	if retained == 0 {
		return false
	}
	a.base = a.chunks[retained-1]
	a.base.Fingerprints = nil
	a.chunks = append([]messages.ArchiveChunk{}, a.chunks[retained:]...)
	return true
}

// Lookup answers another process.
func (a *Archive) Lookup(req *messages.ArchiveRequest) *messages.ArchiveResponse {
	resp := &messages.ArchiveResponse{Status: a.status(req)}
	if req.Pull {
		resp.Chunks = a.after(req.LastChunk)
	}
	return resp
}

func (a *Archive) status(req *messages.ArchiveRequest) messages.VersionStatus {
	if req.Generation == 0 || !a.Covers(req.Head) {
		return messages.VersionUnknown
	}
	for _, chunk := range a.chunks {
		for at := 0; at+8 <= len(chunk.Fingerprints) && chunk.Index <= req.Head.Chunks; at += 8 {
			if binary.BigEndian.Uint64(chunk.Fingerprints[at:]) == req.Fingerprint {
				return messages.VersionCommitted
			}
		}
	}
	if req.Generation <= a.base.Last || req.Generation < req.Head.Since {
		return messages.VersionUnknown
	}
	return messages.VersionNeverCommitted
}

// after gives the chunks after an index; from the base on where some are forgotten.
func (a *Archive) after(found uint64) []messages.ArchiveChunk {
	all := a.Chunks()
	if found >= a.base.Index {
		all = a.chunks[min(found-a.base.Index, uint64(len(a.chunks))):]
	}
	return all[:min(len(all), constants.ArchiveBatch)]
}
