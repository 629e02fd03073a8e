package messages

//go:generate go tool msgp -o archive_gen.go -file archive.go -tests=false -io=false

// ChainDigest is the newest digest of a hash chain.
type ChainDigest [16]byte

// ArchiveHead identifies the archive of versions that belongs to a register's value. The value
// does not contain the chunks themselves: a chain with this digest contains exactly those
// versions.
type ArchiveHead struct {
	// Chunks is how many chunks the chain has. The versions of the newest one are also in clear
	// at the beginning of the value's history.
	Chunks uint64      `msg:"c"`
	Digest ChainDigest `msg:"d"`
	// Since is the generation below which nothing was archived. It is zero except for a value
	// whose first versions an older program had dropped.
	Since int64 `msg:"s"`
}

// ArchiveChunk is one link of the chain. One without fingerprints represents all earlier ones.
type ArchiveChunk struct {
	// Index is the position in the chain, from 1.
	Index  uint64      `msg:"i"`
	Digest ChainDigest `msg:"d"`
	// Last is the generation of the chunk's last version.
	Last int64 `msg:"l"`
	// Day is the day on which the chunk was written, in days since 1970 by the writer's clock.
	Day int64 `msg:"t"`
	// Fingerprints contains 8 bytes per version.
	Fingerprints []byte `msg:"p"`
}

// ArchiveRequest is the part of a query that requests information on committed versions from an
// acceptor.
type ArchiveRequest struct {
	// Head is the head of the chain that the requester uses.
	Head ArchiveHead `msg:"h"`
	// Generation and Fingerprint identify the version in question. Both are zero if there is none.
	Generation  int64  `msg:"g"`
	Fingerprint uint64 `msg:"p"`
	// Pull requests the chunks after LastChunk.
	Pull      bool   `msg:"w"`
	LastChunk uint64 `msg:"n"`
}

// ArchiveResponse is the response to ArchiveRequest.
type ArchiveResponse struct {
	Status VersionStatus  `msg:"s"`
	Chunks []ArchiveChunk `msg:"c"`
}

// VersionStatus is the status of a version according to an archive.
type VersionStatus uint8

// The values of VersionStatus.
const (
	// VersionUnknown means that the archive has another chain, or has dropped versions that old.
	VersionUnknown VersionStatus = iota
	// VersionCommitted means that the version was committed.
	VersionCommitted
	// VersionNeverCommitted means that the version was never committed.
	VersionNeverCommitted
)
