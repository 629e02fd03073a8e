package constants

import "time"

// Slow machines and disks.
const (
	// SlownessPeriod is the time between two measurements of a machine's speed.
	SlownessPeriod = 250 * time.Millisecond
	// SlownessWindow is how many consecutive measurements must all be slow: one second's worth.
	SlownessWindow = 4
	// SlownessFactor is the multiple of the best time above which a measurement is slow.
	SlownessFactor = 3
	// LagWeight is the weight of the newest latency of a store in its moving average.
	LagWeight = 0.2
	// LagSamplesMin is the minimum number of latencies of a store for it to be judged or compared.
	LagSamplesMin = 6
	// LagFactor is the multiple of the usual latency above which a store is slow, and LagFloorMs
	// the minimum latency, in ms, that counts as slow. Below it, a takeover costs more than it
	// gains.
	LagFactor  = 4.0
	LagFloorMs = 25.0
	// CopyGap is how many durable records a joiner may lack when the leader sends the rest
	// directly: the records of a fraction of a second.
	CopyGap = 64
	// CopyRetries is how many copies in a row may end early before the leader sends the rest to the
	// joiner. After each of them the joiner copies from another member, since the leader's own link
	// already carries every new record.
	CopyRetries = 3
	// ResignBackoff is the minimum time between two resignations of a process because it is slow.
	ResignBackoff = 10 * time.Second
	// YieldTime is how long a slow process leaves the leadership to others. After it, a slow
	// leader is better than none.
	YieldTime = 2 * time.Second
	// AppendSpacing is the minimum time from the start of one append to a store to the start of
	// the next: a small part of the time that callers wait anyway.
	AppendSpacing = 8 * time.Millisecond
	// ForwardMembers is the minimum number of other members in a set for records to be forwarded
	// between them. With fewer, the loss of the forwarding member would leave too few copies
	// until ForwardTimeout.
	ForwardMembers = 4
	// ForwardTimeout is how long a store that receives its records from a forwarding store may
	// lack what that store has confirmed, without progress, before the leader sends to it
	// directly: several times what a sync and two hops take on a busy store.
	// ForwardUpstreamTimeout is the same if the forwarding store itself confirms no records:
	// appends of a megabyte take a second on a saturated link.
	ForwardTimeout         = 400 * time.Millisecond
	ForwardUpstreamTimeout = 2 * time.Second
	// ForwardBackoff is how long the leader then sends to that store directly. It doubles with
	// each consecutive failure, up to ForwardBackoffSteps failures.
	ForwardBackoff      = 2 * time.Second
	ForwardBackoffSteps = 4
	// ForwardQueue is how many appends may wait at a store to be forwarded to another one. An
	// append that finds the queue full is dropped, and the leader sends it.
	ForwardQueue = 8
)
