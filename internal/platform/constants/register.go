package constants

import "time"

// The register's archive of versions taken, and the pauses of proposers.
const (
	// ArchiveChunk is how many versions one chunk of the archive holds. A value
	// carries one to two chunks in clear (ours): an acceptor that missed fewer than
	// a chunk of changes follows without asking anybody.
	ArchiveChunk = 16
	// ArchiveDays is for how many days a version stays known (ours): an operator
	// sends an order again for minutes at most; 8 bytes a version and its part of
	// a chunk's head make 23 KB a day at 2,300 changes.
	ArchiveDays = 3
	// ArchiveBatch is how many chunks one answer carries at most, 40 KB (ours).
	ArchiveBatch = 256
	// ArchiveLimit is the length in bytes at which the archive's file is rewritten
	// (ours): three days of 2,300 changes take a tenth of it.
	ArchiveLimit = 1 << 20
	// ArchivePullTimeout bounds one request for missing chunks (ours): it is asked inside
	// a second round, which has RoundTimeout.
	ArchivePullTimeout = 150 * time.Millisecond
	// ArchiveRetryBackoff is the pause after a pull that did not complete the archive (ours):
	// votes must not wait for it each time.
	ArchiveRetryBackoff = 2 * time.Second
	// VoteWaitMax is how long a vote may wait for those before it at an acceptor whose disk
	// is slow (ours): a quarter of RoundTimeout, so that both rounds still end in time.
	VoteWaitMax = RoundTimeout / 4
	// JointSetOwnerTime is for how long the joiner alone ends a joint set of acceptors
	// (ours): two rounds on slow disks and one lost message.
	JointSetOwnerTime = 1500 * time.Millisecond
	// ReadAttempts is how often a read goes on to newer sets that it meets (ours): one of
	// them may change meanwhile.
	ReadAttempts = 4
	// ReconcileProbability is the chance that a process which looks after the set of acceptors
	// proposes where a read is not clear (ours): a change may be under way.
	ReconcileProbability = 0.25
	// ReconcileBackoff is the pause before it looks again (ours): the second round of a change
	// reaches the last acceptor within it.
	ReconcileBackoff = 30 * time.Millisecond
	// BackoffDoublings is how often the random part of a proposer's pause doubles, and
	// BackoffMax bounds it (ours): eight proposers at once all have an answer
	// within RegisterTimeout on disks that take up to 60 ms for each sync.
	BackoffDoublings = 3
	BackoffMax       = 800 * time.Millisecond
)
