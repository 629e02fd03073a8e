package constants

import "time"

// The register's archive of committed versions, and the backoff of proposers.
const (
	// ArchiveChunk is how many versions one chunk of the archive contains. A value contains the
	// versions of the last one to two chunks in clear, so that an acceptor that missed fewer
	// changes than a chunk follows without a request to others.
	ArchiveChunk = 16
	// ArchiveDays is how many days a version is remembered. An operator repeats a request
	// for minutes at most. At 8 bytes a version and its part of a chunk's header, 2,300 changes a
	// day take 23 KB a day.
	ArchiveDays = 3
	// ArchiveBatch is the maximum number of chunks in one response, 40 KB.
	ArchiveBatch = 256
	// ArchiveLimit is the length in bytes at which the archive's file is rewritten. Three days
	// of 2,300 changes take a tenth of it.
	ArchiveLimit = 1 << 20
	// ArchivePullTimeout bounds one request for missing chunks. It is sent within a second
	// round, which has RoundTimeout.
	ArchivePullTimeout = 150 * time.Millisecond
	// ArchiveRetryBackoff is the pause after a pull that did not complete the archive, so that
	// not every vote waits for a pull.
	ArchiveRetryBackoff = 2 * time.Second
	// VoteWaitMax is how long a vote may wait for earlier ones at an acceptor with a slow disk: a
	// quarter of RoundTimeout, so that both rounds still end in time.
	VoteWaitMax = RoundTimeout / 4
	// JointSetOwnerTime is how long only the joiner may end a joint set of acceptors: two rounds
	// on slow disks and one lost message.
	JointSetOwnerTime = 1500 * time.Millisecond
	// ReadAttempts is the maximum number of attempts of a read, each with the newer sets that the
	// previous attempt found. One of these sets may change meanwhile.
	ReadAttempts = 4
	// ReconcileProbability is the probability that a process that maintains the acceptor set
	// proposes if its reads are inconclusive. A change may be in progress, and not all processes
	// should propose at once.
	ReconcileProbability = 0.25
	// ReconcileBackoff is the pause after which such a process repeats an inconclusive read. The
	// second round of a change reaches the last acceptor within that time.
	ReconcileBackoff = 30 * time.Millisecond
	// BackoffDoublings is how many times the random part of a proposer's pause doubles, and
	// BackoffMax the upper limit of that part. With them, eight concurrent proposers all get a
	// result within RegisterTimeout on disks that take up to 60 ms for each sync.
	BackoffDoublings = 3
	BackoffMax       = 800 * time.Millisecond
)
