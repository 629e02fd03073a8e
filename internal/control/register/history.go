package register

import (
	"crypto/sha256"
	"encoding/binary"

	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// A value names each version taken before it. The youngest stand in clear in its
// History; older ones stand in chunks of constants.ArchiveChunk versions that form
// a chain of hashes. The value carries the chain's digest alone, so that it costs
// the same after three changes and after three thousand. The newest chunk is still
// in clear at the beginning of the History: an acceptor that missed fewer changes
// than a chunk holds can write it down without asking anybody.

// Fingerprint gives the 8 bytes by which the archive knows a version.
func Fingerprint(version messages.Version) uint64 {
	var head [16]byte
	binary.BigEndian.PutUint64(head[:8], uint64(version.Generation))
	binary.BigEndian.PutUint64(head[8:], uint64(version.Base))
	sum := sha256.Sum256(append(head[:], version.Hash...))
	return binary.BigEndian.Uint64(sum[:8])
}

// archivedInHistory is how many versions at the beginning of the history are in the
// archive too.
func archivedInHistory(value *messages.RegisterValue) int {
	if value.Archive.Chunks == 0 {
		return 0
	}
	return min(constants.ArchiveChunk, len(value.History))
}

// appendHistory gives the history and the archive's head once the current version is
// followed by another.
func appendHistory(current *messages.RegisterValue) ([]messages.Version, messages.ArchiveHead) {
	history := append([]messages.Version{}, current.History...)
	head := current.Archive
	if current.Current.Generation > 0 {
		history = append(history, current.Current)
	}
	inClear := archivedInHistory(current)
	open := history[inClear:]
	if len(open) <= constants.ArchiveChunk {
		return history, head
	}
	if head.Chunks == 0 && len(open) > constants.ArchiveChunk+1 {
		// Written by a program that kept a short history and no archive.
		head.Since = open[0].Generation
	}
	head.Digest = chain(head.Digest, fingerprints(open[:constants.ArchiveChunk]))
	head.Chunks++
	return open, head
}

// fingerprints gives the bytes of a chunk.
func fingerprints(versions []messages.Version) []byte {
	bytes := make([]byte, 0, 8*len(versions))
	for _, version := range versions {
		bytes = binary.BigEndian.AppendUint64(bytes, Fingerprint(version))
	}
	return bytes
}

// chain gives the digest of a chain with one more chunk.
func chain(before messages.ChainDigest, chunk []byte) messages.ChainDigest {
	sum := sha256.Sum256(append(append([]byte{}, before[:]...), chunk...))
	var digest messages.ChainDigest
	copy(digest[:], sum[:])
	return digest
}

// newestChunk gives the chunk that stands in clear at the beginning of the history.
func newestChunk(value *messages.RegisterValue) (messages.ArchiveChunk, bool) {
	inClear := archivedInHistory(value)
	if inClear < constants.ArchiveChunk {
		return messages.ArchiveChunk{}, false
	}
	return messages.ArchiveChunk{Index: value.Archive.Chunks, Digest: value.Archive.Digest,
		Last: value.History[inClear-1].Generation, Fingerprints: fingerprints(value.History[:inClear])}, true
}

// versionStatus tells what the value itself knows of a version: taken, never taken, or
// unknown, where only the archive can tell.
func versionStatus(value *messages.RegisterValue, version messages.Version) messages.VersionStatus {
	if value.Current.Generation > 0 && value.Current == version {
		return messages.VersionCommitted
	}
	for _, earlier := range value.History {
		if earlier == version {
			return messages.VersionCommitted
		}
	}
	// Generations rise along the chain: what is younger than the history's first
	// version would stand in it.
	archived := value.Archive.Chunks > 1 || value.Archive.Since > 0
	if archived && len(value.History) > 0 && version.Generation < value.History[0].Generation {
		return messages.VersionUnknown
	}
	return messages.VersionNeverCommitted
}
