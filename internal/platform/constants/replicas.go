package constants

import "time"

// Constants of the dispatcher's order and of the stores' files.
const (
	// RankPeriod is how long the order of open jobs by due time is kept (ours): it is
	// the order alone that may be this old.
	RankPeriod = 50 * time.Millisecond
	// RewriteRecords is the least number of records that say nothing any more at which
	// a store's file is rewritten, however short it is (ours).
	RewriteRecords = 4096
	// RewriteLag is for how long records have been durable before a rewrite drops any of
	// them (ours): a member that is further behind has to be copied anew.
	RewriteLag = 20 * time.Second
	// SetAgreementTimeout is how long a change of the store set may wait for the set to come to
	// hold everything (ours): as long as a member may be silent before it counts as such. It is
	// then given up, since a member that is silent for longer may need another change.
	SetAgreementTimeout = SuspectAfter
	// JoinerWait is how much longer than the first joiner of a change the others
	// may take, beside as long again (ours).
	JoinerWait = time.Second
	// IntakeBytes is how many bytes of jobs are on their way to the leader or to the stores at
	// once (ours): a fifth of a second of the slowest links, and enough to keep them busy.
	IntakeBytes = 2 << 20
	// IntakeTime is for how long a job that was asked for counts without having come (ours).
	IntakeTime = 2 * time.Second
	// OfferMinBytes is the least length of a job that is offered first (ours): a shorter one is
	// sent at once.
	OfferMinBytes = 4 << 10
	// OfferWait is how long an offer waits at the leader (ours).
	OfferWait = 700 * time.Millisecond
	// JobInputShare is the part of a store's memory that the inputs of items that wait may take
	// where it leads, RunningInputShare that of the items that it runs.
	JobInputShare     = 0.15
	RunningInputShare = 0.05
	// AcquireBytes is how many bytes of inputs an executor is handed at a time, in whole items.
	AcquireBytes = 1 << 20
	// DiskShare is the part of a store's disk that jobs may come to fill, with the outputs that
	// are still to come (ours): the rest is for what the estimate misses.
	DiskShare = 0.85
	// OutputBytesGuess is the mean length of an output before any was seen (ours).
	OutputBytesGuess = 1024
)
