package constants

import "time"

// Dispatching of items.
const (
	// LockMax is the maximum lock of an acquisition: 30 s, as in the source of the design.
	LockMax = 30 * time.Second
	// LockShare is the share of cancel-ms that a lock may last. After the end of a cancelled
	// job is acknowledged, an executor that is unreachable continues until its lock expires, so
	// the lock must expire before cancel-ms minus the margin, a connection attempt and a slow
	// link to the worker. It is as long as that allows, since a change of leadership after a
	// crash takes a lease and a round, and runs should survive it.
	LockShare = 0.75
	// LockMargin is how long before the end of its lock an executor stops, by its own monotonic
	// clock. The clocks of machines drift by far less in that time.
	LockMargin = 150 * time.Millisecond
	// LockDefault is the lock if the settings contain no cancel-ms.
	LockDefault = 2 * time.Second
	// RenewalsPerLock is how many times a lock is renewed within its length, so that two
	// messages may be lost.
	RenewalsPerLock = 4
	// RunTimeMin is the minimum time that a run gets, however close its retain-s is by the wall
	// clock, which may have been stepped.
	RunTimeMin = 10 * time.Second
	// RenewWithoutEventsMax is how long a lock is renewed without events. It covers the wait for
	// a slot, a connection attempt and twice the silence at which a stream is abandoned. It
	// guards against a run that hangs undetected.
	RenewWithoutEventsMax = 5 * time.Second
	// AcquireWait is how long a request for items is held open until there are some. It limits
	// the messages of an idle executor.
	AcquireWait = 500 * time.Millisecond
	// PlacementWait is how long an acquired item may wait for a slot before it is released for
	// another executor.
	PlacementWait = 400 * time.Millisecond
	// PrefixWait is how long items may be passed over in favour of those whose shared prefix an
	// executor has. After it, they come first, by due time.
	PrefixWait = 150 * time.Millisecond
	// PrefixStale is the age at which a prefix is no longer assigned to an executor.
	PrefixStale = 4 * time.Second
	// AckEntries and AckBytes are the maximum number of acknowledgements in one message, and of bytes
	// of their outputs and events. A single larger acknowledgement is sent alone.
	AckEntries = 64
	AckBytes   = 512 << 10
	// AckConfirms is how many times an executor requests confirmation of an output that it sent
	// before it sends the output again.
	AckConfirms = 3
	// AckBackoff is the pause before an acknowledgement without response is repeated.
	AckBackoff = 60 * time.Millisecond
	// AckBatchWindow is how long acknowledgements are collected before they are sent. A batch
	// costs one sync.
	AckBatchWindow = 4 * time.Millisecond
	// ResultGatherTime is how long the results of an executor are collected before they are
	// sent. At the leader of dozens of executors each message costs about as much as an item,
	// and results are due in seconds.
	ResultGatherTime = 60 * time.Millisecond
	// ExecutorTimeout is the silence after which an executor's workers are shared among the
	// others. With a lock of up to LockDefault, an executor requests items or renews locks at least
	// every half second. With a longer one, an executor without free slots may be silent for as long
	// as the time between two renewals, a quarter of the lock.
	ExecutorTimeout = 1100 * time.Millisecond
	// OwnedWorkersPeriod is the period at which an executor recomputes which workers it owns.
	OwnedWorkersPeriod = 200 * time.Millisecond
	// ExpirePeriod is the period of the check for expired items that no executor requests.
	ExpirePeriod = 200 * time.Millisecond
	// LagLimit is how long the leader's own store may lag behind what the others have synced
	// before the leader resigns: a slow disk, as opposed to a short delay.
	LagLimit = 2 * time.Second
	// LagYieldTime is how long such a store does not campaign.
	LagYieldTime = 10 * time.Second
	// CompressMinBytes is the minimum length in bytes of an output that is compressed. Below it,
	// the code tables take up what the encoding saves.
	CompressMinBytes = 512
)
