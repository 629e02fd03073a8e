package messages

//go:generate go tool msgp -o archive_gen.go -file archive.go -tests=false -io=false

// ChainDigest is the head of a chain of hashes.
type ChainDigest [16]byte

// ArchiveHead names the archive of versions that a register's value goes with. The
// chunks themselves do not travel with the value: whoever holds a chain with this
// digest holds just those versions.
type ArchiveHead struct {
	// Chunks is how many chunks the chain has; the newest also stands in clear at
	// the beginning of the value's history.
	Chunks uint64      `msg:"c"`
	Digest ChainDigest `msg:"d"`
	// Since is the generation below which nothing was archived: zero but for a
	// value whose first versions an older program had forgotten.
	Since int64 `msg:"s"`
}

// ArchiveChunk is one link of the chain. One without prints stands for all before it.
type ArchiveChunk struct {
	// Index counts from one.
	Index  uint64      `msg:"i"`
	Digest ChainDigest `msg:"d"`
	// Last is the generation of its last version.
	Last int64 `msg:"l"`
	// Day is the day of its writing, counted from 1970 by the writer's clock.
	Day int64 `msg:"t"`
	// Fingerprints holds 8 bytes a version.
	Fingerprints []byte `msg:"p"`
}

// ArchiveRequest asks an acceptor about versions taken, beside a query.
type ArchiveRequest struct {
	// Head is the chain that the asker goes by.
	Head ArchiveHead `msg:"h"`
	// Generation and Print are of the version sought; zero for none.
	Generation  int64  `msg:"g"`
	Fingerprint uint64 `msg:"p"`
	// Pull wants the chunks after Held.
	Pull      bool   `msg:"w"`
	LastChunk uint64 `msg:"n"`
}

// ArchiveResponse answers it.
type ArchiveResponse struct {
	Status VersionStatus  `msg:"s"`
	Chunks []ArchiveChunk `msg:"c"`
}

// VersionStatus says what an archive knows of a version.
type VersionStatus uint8

// What it may know.
const (
	// VersionUnknown: it holds another chain, or has forgotten versions that old.
	VersionUnknown VersionStatus = iota
	// VersionCommitted: the version was taken.
	VersionCommitted
	// VersionNeverCommitted: it never was.
	VersionNeverCommitted
)
