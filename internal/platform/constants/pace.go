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
	// AppendSpacing is the least time from the beginning of one order to a store to the next
	// (ours): a small part of what callers wait for anyway.
	AppendSpacing = 8 * time.Millisecond
	// ForwardMembers is how many other members a set has at least for records to be passed on
	// (ours): of fewer, the loss of the one that passes them on would leave too few copies until
	// ForwardTimeout.
	ForwardMembers = 4
	// ForwardTimeout is how long a store that gets its records passed on may lack what the one
	// that passes them on has confirmed, before the leader sends to it directly (ours): several
	// times what a sync and two hops take on a busy store. ForwardUpstreamTimeout is the same
	// for a store that passes records on and confirms none itself (ours): orders of a megabyte
	// take a second on a full link.
	ForwardTimeout         = 400 * time.Millisecond
	ForwardUpstreamTimeout = 2 * time.Second
	// ForwardBackoff is for how long a store is then fed directly, doubled with each failure in
	// a row, ForwardBackoffSteps times at most (ours).
	ForwardBackoff      = 2 * time.Second
	ForwardBackoffSteps = 4
	// ForwardQueue is how many orders wait at a store to be passed on to another (ours); what
	// finds it full is dropped, and the leader sends it itself.
	ForwardQueue = 8
)
