package register

import (
	"crypto/sha256"
	"encoding/binary"

	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// A value records every version committed before it. The newest ones are stored in full in its
// History; older ones are stored in chunks of constants.ArchiveChunk versions that form a hash
// chain. The value contains only the digest of the chain, so that its size does not grow with the
// number of changes. The newest chunk is still stored in full at the beginning of the History, so
// that an acceptor that missed fewer changes than a chunk contains can write the chunk without
// requesting it from another acceptor.

// Fingerprint returns the 8 bytes that identify a version in the archive.
func Fingerprint(version messages.Version) uint64 {
	var prefix [16]byte
	binary.BigEndian.PutUint64(prefix[:8], uint64(version.Generation))
	binary.BigEndian.PutUint64(prefix[8:], uint64(version.Base))
	sum := sha256.Sum256(append(prefix[:], version.Hash...))
	return binary.BigEndian.Uint64(sum[:8])
}

// archivedInHistory returns how many versions at the beginning of the history are in the archive
// too.
func archivedInHistory(value *messages.RegisterValue) int {
	if value.Archive.Chunks == 0 {
		return 0
	}
	return min(constants.ArchiveChunk, len(value.History))
}

// appendHistory returns the history and the archive head of the value that follows current.
func appendHistory(current *messages.RegisterValue) ([]messages.Version, messages.ArchiveHead) {
	history := append([]messages.Version{}, current.History...)
	head := current.Archive
	if current.Current.Generation > 0 {
		history = append(history, current.Current)
	}
	archivedCount := archivedInHistory(current)
	unarchived := history[archivedCount:]
	if len(unarchived) <= constants.ArchiveChunk {
		return history, head
	}
	if head.Chunks == 0 && len(unarchived) > constants.ArchiveChunk+1 {
		// The value was written by an earlier release, which kept a short history and no archive.
		head.Since = unarchived[0].Generation
	}
	head.Digest = chain(head.Digest, fingerprints(unarchived[:constants.ArchiveChunk]))
	head.Chunks++
	return unarchived, head
}

// fingerprints returns the concatenated fingerprints of a chunk.
func fingerprints(versions []messages.Version) []byte {
	bytes := make([]byte, 0, 8*len(versions))
	for _, version := range versions {
		bytes = binary.BigEndian.AppendUint64(bytes, Fingerprint(version))
	}
	return bytes
}

// chain returns the digest of a chain that is extended by one chunk.
func chain(previous messages.ChainDigest, chunk []byte) messages.ChainDigest {
	sum := sha256.Sum256(append(append([]byte{}, previous[:]...), chunk...))
	var digest messages.ChainDigest
	copy(digest[:], sum[:])
	return digest
}

// newestChunk returns the newest archived chunk, built from the beginning of the history, and
// reports whether the history contains it.
func newestChunk(value *messages.RegisterValue) (messages.ArchiveChunk, bool) {
	archivedCount := archivedInHistory(value)
	if archivedCount < constants.ArchiveChunk {
		return messages.ArchiveChunk{}, false
	}
	return messages.ArchiveChunk{Index: value.Archive.Chunks, Digest: value.Archive.Digest,
		Last: value.History[archivedCount-1].Generation, Fingerprints: fingerprints(value.History[:archivedCount])}, true
}

// versionStatus returns what the value itself shows about a version: committed, never committed, or
// unknown if only the archive can decide.
func versionStatus(value *messages.RegisterValue, version messages.Version) messages.VersionStatus {
	if value.Current.Generation > 0 && value.Current == version {
		return messages.VersionCommitted
	}
	for _, earlier := range value.History {
		if earlier == version {
			return messages.VersionCommitted
		}
	}
	// Generations increase along the chain, so a version newer than the first one in the history
	// would be in the history.
	archived := value.Archive.Chunks > 1 || value.Archive.Since > 0
	if archived && len(value.History) > 0 && version.Generation < value.History[0].Generation {
		return messages.VersionUnknown
	}
	return messages.VersionNeverCommitted
}
