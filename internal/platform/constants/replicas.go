package constants

import "time"

// The order of the dispatcher, and the files of the stores.
const (
	// RankPeriod is how long the order of open jobs by due time is cached. Only the order may be
	// this old.
	RankPeriod = 50 * time.Millisecond
	// RewriteRecords is the minimum number of obsolete records at which a store's file is
	// rewritten, whatever its size.
	RewriteRecords = 4096
	// RewriteLag is how long records must have been durable before a rewrite drops any of them.
	// A member that lags further behind has to be copied anew.
	RewriteLag = 20 * time.Second
	// SetAgreementTimeout is how long a change of the store set may wait until the new set stores
	// all records: as long as a process may send nothing before it counts as silent. The change is
	// then abandoned, since a member that is silent for longer may require another change.
	SetAgreementTimeout = SuspectAfter
	// JoinerWait is part of the time that the other joiners of a change have after the first one
	// is complete: as long as the first one took, and JoinerWait in addition.
	JoinerWait = time.Second
	// IntakeBytes is the maximum number of bytes of jobs in transit to the leader or to the
	// stores: a fifth of a second of the slowest links, and enough to keep them busy. A larger job
	// is admitted alone.
	IntakeBytes = 2 << 20
	// IntakeTimeout is how long a job that was admitted counts as in transit if it does not arrive.
	IntakeTimeout = 2 * time.Second
	// OfferMinBytes is the minimum size in bytes of a job that is offered before it is sent. A
	// smaller one is sent at once.
	OfferMinBytes = 4 << 10
	// OfferWait is the maximum time that an offer waits at the leader.
	OfferWait = 700 * time.Millisecond
	// JobInputShare is the share of a store's memory that the inputs of waiting items may use
	// while it is the leader, and RunningInputShare that of the items that it runs.
	JobInputShare     = 0.15
	RunningInputShare = 0.05
	// AcquireBytes is how many bytes of inputs an executor receives at a time, in whole items.
	AcquireBytes = 1 << 20
	// DiskShare is the share of a store's disk that jobs may use, with the outputs that are
	// still expected. The rest is for errors of the estimate.
	DiskShare = 0.85
	// OutputBytesGuess is the estimate of the mean output size in bytes before the first output.
	OutputBytesGuess = 1024
)
