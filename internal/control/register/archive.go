package register

import (
	"encoding/binary"

	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Archive is what one acceptor holds of the chain of versions taken. Its caller
// writes down the chunks that Extend and Fill give back. What it holds is checked
// against the digest in a value, so one whole archive anywhere is enough to tell
// whether a version was taken.
type Archive struct {
	// base stands for what is older than the first chunk kept.
	base   messages.ArchiveChunk
	chunks []messages.ArchiveChunk
}

// Restore takes a chunk read from disk: it replaces those from its index on. The first
// chunk of a chain, or one without prints, replaces all.
func (archive *Archive) Restore(chunk messages.ArchiveChunk) {
	if chunk.Index == 1 && len(chunk.Prints) > 0 {
		*archive = Archive{}
	}
	if len(chunk.Prints) == 0 {
		archive.base, archive.chunks = chunk, nil
		return
	}
	if chunk.Index <= archive.base.Index || chunk.Index > archive.last().Index+1 {
		return
	}
	kept := chunk.Index - archive.base.Index - 1
	archive.chunks = append(archive.chunks[:kept:kept], chunk)
}

// Chunks gives all that has to stand in the file, the base first.
func (archive *Archive) Chunks() []messages.ArchiveChunk {
	return append([]messages.ArchiveChunk{archive.base}, archive.chunks...)
}

// Held is the index of the newest chunk held.
func (archive *Archive) Held() uint64 { return archive.last().Index }

func (archive *Archive) last() messages.ArchiveChunk {
	if len(archive.chunks) == 0 {
		return archive.base
	}
	return archive.chunks[len(archive.chunks)-1]
}

// at gives the chunk of an index, the base included.
func (archive *Archive) at(index uint64) (messages.ArchiveChunk, bool) {
	if index == archive.base.Index {
		return archive.base, true
	}
	if index < archive.base.Index || index > archive.last().Index {
		return messages.ArchiveChunk{}, false
	}
	return archive.chunks[index-archive.base.Index-1], true
}

// Covers tells whether this archive holds the chain of a head.
func (archive *Archive) Covers(head messages.ArchiveHead) bool {
	chunk, held := archive.at(head.Chunks)
	return held && chunk.Digest == head.Digest
}

// Extend follows a value that the acceptor is about to accept. It gives the chunk
// to be written down, if any, and tells whether the archive is whole then.
func (archive *Archive) Extend(value *messages.Register, day int64) (added *messages.ArchiveChunk, whole bool) {
	if archive.Covers(value.Archive) {
		return nil, true
	}
	if value.Archive.Chunks == 0 {
		// Nothing was archived yet: what is held belongs to values that lost.
		*archive = Archive{}
		return nil, true
	}
	chunk, inClear := newestChunk(value)
	if !inClear {
		return nil, false
	}
	before, held := archive.at(chunk.Index - 1)
	if !held || chain(before.Digest, chunk.Prints) != chunk.Digest {
		return nil, false
	}
	chunk.Day = day
	archive.Restore(chunk)
	return &chunk, true
}

// Fill takes the chunks that another acceptor gave for a head, all or none of them.
func (archive *Archive) Fill(head messages.ArchiveHead, chunks []messages.ArchiveChunk) bool {
	if len(chunks) == 0 {
		return false
	}
	made := Archive{base: archive.base, chunks: append([]messages.ArchiveChunk{}, archive.chunks...)}
	if len(chunks[0].Prints) == 0 || chunks[0].Index == 1 {
		made = Archive{}
	}
	for _, chunk := range chunks {
		before, held := made.at(chunk.Index - 1)
		if len(chunk.Prints) > 0 && (!held || chain(before.Digest, chunk.Prints) != chunk.Digest) {
			return false
		}
		made.Restore(chunk)
	}
	if made.Held() < head.Chunks || made.Covers(head) {
		*archive = made
		return true
	}
	return false
}

// Forget drops the chunks that are older than constants.ArchiveDays, and tells
// whether any was.
func (archive *Archive) Forget(day int64) bool {
	kept := 0
	for kept < len(archive.chunks) && archive.chunks[kept].Day+constants.ArchiveDays < day {
		kept++
	}
	if kept == 0 {
		return false
	}
	archive.base = archive.chunks[kept-1]
	archive.base.Prints = nil
	archive.chunks = append([]messages.ArchiveChunk{}, archive.chunks[kept:]...)
	return true
}

// Answer answers another process.
func (archive *Archive) Answer(question *messages.ArchiveQuestion) *messages.ArchiveAnswer {
	answer := &messages.ArchiveAnswer{Sought: archive.seek(question)}
	if question.Pull {
		answer.Chunks = archive.after(question.Held)
	}
	return answer
}

func (archive *Archive) seek(question *messages.ArchiveQuestion) messages.Sought {
	if question.Generation == 0 || !archive.Covers(question.Head) {
		return messages.SoughtUnknown
	}
	for _, chunk := range archive.chunks {
		for at := 0; at+8 <= len(chunk.Prints) && chunk.Index <= question.Head.Chunks; at += 8 {
			if binary.BigEndian.Uint64(chunk.Prints[at:]) == question.Print {
				return messages.SoughtTaken
			}
		}
	}
	if question.Generation <= archive.base.Last || question.Generation < question.Head.Since {
		return messages.SoughtUnknown
	}
	return messages.SoughtNever
}

// after gives the chunks after an index; from the base on where some are forgotten.
func (archive *Archive) after(held uint64) []messages.ArchiveChunk {
	all := archive.Chunks()
	if held >= archive.base.Index {
		all = archive.chunks[min(held-archive.base.Index, uint64(len(archive.chunks))):]
	}
	return all[:min(len(all), constants.ArchiveBatch)]
}
