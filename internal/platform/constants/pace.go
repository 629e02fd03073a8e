package constants

import "time"

// Slow machines and disks.
const (
	// SlownessPeriod is the time between two measurements of a machine's pace (ours).
	SlownessPeriod = 250 * time.Millisecond
	// SlownessWindow is how many measurements must all be long (ours): a second's.
	SlownessWindow = 4
	// SlownessFactor is how many times the best time counts as slow (ours).
	SlownessFactor = 3
	// LagWeight is the weight of a store's newest time in its mean (ours).
	LagWeight = 0.2
	// LagLeast is how many times must be known of a store (ours).
	LagLeast = 6
	// LagFactor is how many times the usual counts as slow, and LagFloorMs, in ms, the
	// least that does (ours): below it a takeover costs more than it brings.
	LagFactor  = 4.0
	LagFloorMs = 25.0
	// CopyGap is how many records a joiner may lack of what is durable when the
	// holder sends it the rest itself (ours): a part of a second's.
	CopyGap = 64
	// CopyRetries is how many further members a joiner is sent to after a copy that ended
	// early (ours): the leader's own link carries every new record already.
	CopyRetries = 3
	// ResignBackoff is the least time between two times that a process gives its leadership
	// up for being slow (ours).
	ResignBackoff = 10 * time.Second
	// YieldTime is how long a slow process leaves the leadership to others (ours); after
	// that a slow holder is better than none.
	YieldTime = 2 * time.Second
	// ForwardMembers is how many other members a set has at least for records to be passed on
	// (ours): of fewer, the loss of the one that passes them on would leave too few copies until
	// ForwardTimeout.
	ForwardMembers = 4
	// ForwardTimeout is how long records that a store passes on to another may go without a
	// confirmation before the leader sends them itself (ours): several times what a sync and
	// two hops take on a busy store.
	ForwardTimeout = 400 * time.Millisecond
	// ForwardBackoff is for how long a store is then fed directly, doubled with each failure in
	// a row, ForwardBackoffSteps times at most (ours).
	ForwardBackoff      = 2 * time.Second
	ForwardBackoffSteps = 4
	// ForwardQueue is how many orders wait at a store to be passed on to another (ours); what
	// finds it full is dropped, and the leader sends it itself.
	ForwardQueue = 8
)
