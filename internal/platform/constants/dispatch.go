package constants

import "time"

// Dispatching of items.
const (
	// LockMax is the longest lock of an acquisition: the source's 30 s.
	LockMax = 30 * time.Second
	// LockShare is the part of cancel-ms that a lock may last (ours). After the end of
	// a cancelled job is acknowledged, an executor that can't be reached runs on until its lock ends,
	// so the lock must end before cancel-ms less the margin, and less a connection and
	// a slow link to the worker. As long as that allows, since a leadership that changes
	// hands after a crash takes a hold and a round, and runs should outlive it.
	LockShare = 0.75
	// LockMargin is how much earlier than its lock's end a driver stops, by its own
	// steady clock (ours): clocks of machines drift by far less in such a time.
	LockMargin = 150 * time.Millisecond
	// LockUnstated is the lock where the settings state no cancel-ms (ours).
	LockUnstated = 2 * time.Second
	// RenewalsPerLock is how many times a lock is renewed in its own length (ours): two
	// messages may be lost.
	RenewalsPerLock = 4
	// RunTimeMin is the least time that a run is given, however near its retain-s seems
	// by the time of day (ours): that clock may have been stepped.
	RunTimeMin = 10 * time.Second
	// RenewWithoutEventsMax is how long a lock is renewed without events (ours): a place, a
	// connection and twice the silence at which a stream is given up fit into it. It
	// guards against a run that hangs unnoticed.
	RenewWithoutEventsMax = 5 * time.Second
	// AcquireWait is how long a request for items is held until there are some
	// (ours): it bounds the messages of an idle driver.
	AcquireWait = 500 * time.Millisecond
	// PlacementWait is how long an acquired item may wait for a place before it is
	// released for another driver (ours).
	PlacementWait = 400 * time.Millisecond
	// PrefixWait is how long items may be passed over for those whose shared prefix
	// a driver has (ours); then they go first, by their due time.
	PrefixWait = 150 * time.Millisecond
	// PrefixStale is the age at which a prefix belongs to no driver any more (ours).
	PrefixStale = 4 * time.Second
	// AckEntries and AckBytes bound one message of acknowledgements.
	AckEntries = 64
	AckBytes   = 512 << 10
	// AckConfirms is how often an output that was sent is asked about before it is sent once more
	// (ours).
	AckConfirms = 3
	// AckBackoff is the pause before an unanswered acknowledgement is repeated (ours).
	AckBackoff = 60 * time.Millisecond
	// AckBatchWindow is how long acknowledgements gather before they are sent (ours): a
	// batch costs one sync.
	AckBatchWindow = 4 * time.Millisecond
	// ResultGatherTime is how long the results of an executor gather before they are sent
	// (ours): at the leader of dozens of executors each message costs about as much as an
	// item, and results are due in seconds.
	ResultGatherTime = 60 * time.Millisecond
	// ExecutorTimeout is the silence after which a driver's workers are shared among the
	// others (ours): it asks or renews at least every half second.
	ExecutorTimeout = 1100 * time.Millisecond
	// OwnedWorkersPeriod is how often a driver looks anew which workers are its own (ours).
	OwnedWorkersPeriod = 200 * time.Millisecond
	// ExpirePeriod is how often items are looked at that no driver asks for (ours).
	ExpirePeriod = 200 * time.Millisecond
	// LagLimit is how long the holder's own store may lag what others have synced
	// before it resigns (ours): a slow disk, not a slow moment.
	LagLimit = 2 * time.Second
	// LagYieldTime is how long such a store does not campaign (ours).
	LagYieldTime = 10 * time.Second
	// CompressMinBytes is the length in bytes from which an output is compressed (ours): below
	// it the tables take what the symbols save.
	CompressMinBytes = 512
)
