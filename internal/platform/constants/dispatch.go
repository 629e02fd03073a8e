package constants

import "time"

// Dispatching of items.
const (
	// LockMost is the longest lock of an acquisition: the source's 30 s.
	LockMost = 30 * time.Second
	// LockShare is the part of cancel-ms that a lock may last (ours). After the end of
	// a lot is acknowledged, a driver that can't be told runs on until its lock ends,
	// so the lock must end before cancel-ms less the margin, and less a connection and
	// a slow link to the worker. As long as that allows, since a duty that changes
	// hands after a crash takes a hold and a round, and runs should outlive it.
	LockShare = 0.75
	// LockMargin is how much earlier than its lock's end a driver stops, by its own
	// steady clock (ours): clocks of machines drift by far less in such a time.
	LockMargin = 150 * time.Millisecond
	// LockUnstated is the lock where the settings state no cancel-ms (ours).
	LockUnstated = 2 * time.Second
	// RenewPart is how many times a lock is renewed in its own length (ours): two
	// messages may be lost.
	RenewPart = 4
	// RunLeast is the least time that a run is given, however near its retain-s seems
	// by the time of day (ours): that clock may have been stepped.
	RunLeast = 10 * time.Second
	// RenewPatience is how long a lock is renewed without events (ours): a place, a
	// connection and twice the silence at which a stream is given up fit into it. It
	// guards against a run that hangs unnoticed.
	RenewPatience = 5 * time.Second
	// AcquireHold is how long a question for items is held until there are some
	// (ours): it bounds the messages of an idle driver.
	AcquireHold = 500 * time.Millisecond
	// BeginPatience is how long an acquired item may wait for a place before it is
	// released for another driver (ours).
	BeginPatience = 400 * time.Millisecond
	// HomePatience is how long items may be passed over for those whose shared prefix
	// a driver has (ours); then they go first, by their due time.
	HomePatience = 150 * time.Millisecond
	// HomeStale is the age at which a prefix belongs to no driver any more (ours).
	HomeStale = 4 * time.Second
	// AckEntries and AckBytes bound one message of acknowledgements.
	AckEntries = 64
	AckBytes   = 512 << 10
	// AckPause is the pause before an unanswered acknowledgement is repeated (ours).
	AckPause = 60 * time.Millisecond
	// AckGather is how long acknowledgements gather before they are sent (ours): a
	// batch costs one sync.
	AckGather = 4 * time.Millisecond
	// DriverSilent is the silence after which a driver's workers are shared among the
	// others (ours): it asks or renews at least every half second.
	DriverSilent = 1100 * time.Millisecond
	// OwnPeriod is how often a driver looks anew which workers are its own (ours).
	OwnPeriod = 200 * time.Millisecond
	// ExpirePeriod is how often items are looked at that no driver asks for (ours).
	ExpirePeriod = 200 * time.Millisecond
	// LagLimit is how long the holder's own store may lag what others have synced
	// before it gives the duty up (ours): a slow disk, not a slow moment.
	LagLimit = 2 * time.Second
	// LagRest is how long such a store stands back from the duty (ours).
	LagRest = 10 * time.Second
	// PackLeast is the length in bytes from which an output is compressed (ours): below
	// it the tables take what the symbols save.
	PackLeast = 512
)
