// Package constants holds every constant of the project, each with its unit and
// the reason for its value. Values marked (ours) are defaults to be measured.
package constants

import "time"

// Between our processes.
const (
	// PortController, PortGateway and PortStore are offsets from the first internal
	// port: two processes share a machine's ports, so each role has its own.
	PortController = 0
	PortGateway    = 1
	PortStore      = 2
	// FrameLimit bounds one frame in bytes: a job of the largest allowed body
	// plus its framing must fit.
	FrameLimit = 48 << 20
	// FrameLifetime is how long a frame may still come after it was sent (ours): our
	// connections end after ConnectionTimeout without an answer, and a process may be
	// frozen for seconds with frames unread.
	FrameLifetime = 40 * time.Second
	// FrameVersion is told in each frame, so that mixed versions can work. From 2 on, the
	// numbers of calls rise along a connection.
	FrameVersion = 2
	// DialTimeout bounds a connection attempt between our processes: links are a
	// few ms long, so silence for longer means a partition (ours).
	DialTimeout = 400 * time.Millisecond
	// CallTimeout bounds an ordinary call between our processes (ours): under the
	// second in which an outside caller moves on.
	CallTimeout = 800 * time.Millisecond
	// StartBackoff is the pause between two attempts of a starting process to learn what
	// it needs (ours): each is time in which it can't serve.
	StartBackoff = 40 * time.Millisecond
	// StartBackoffMax is what that pause grows to (ours).
	StartBackoffMax = 320 * time.Millisecond
	// FirstConfigTimeout is how long a starting process asks only for a configuration read
	// at a majority; after it, whatever a controller knows is taken (ours).
	FirstConfigTimeout = 5 * time.Second
	// PushTimeout bounds the wait for peers to take a push before a worker's call
	// is acknowledged; the worker waits a second at most.
	PushTimeout = 350 * time.Millisecond
	// ConnectionTimeout is the TCP_USER_TIMEOUT of our connections (ours): behind a cut
	// nothing answers, and a hung connection must not hold a caller.
	ConnectionTimeout = 1500 * time.Millisecond
	// BulkCallTimeout bounds calls that carry jobs or long ranges of records.
	BulkCallTimeout = 3 * time.Second
)

// Register and leases.
const (
	// RoundTimeout bounds one round of the register (ours): a sync, even on a slow
	// disk, and a link there and back.
	RoundTimeout = 500 * time.Millisecond
	// RegisterTimeout bounds a whole change including repeats.
	RegisterTimeout = 2500 * time.Millisecond
	// BackoffBase is the least pause before a proposer tries again.
	BackoffBase = 8 * time.Millisecond
	// BackoffSpread is the random part of that pause: it parts two competing proposers.
	BackoffSpread = 60 * time.Millisecond
	// SetGrowthTimeout is how long after its start a controller holds acknowledgements back while
	// the set of acceptors can't yet tolerate the fault budget and others could join it
	// (ours): joining takes well under a second each.
	SetGrowthTimeout = 10 * time.Second
	// LeaseDuration is the length of the leadership's lease (ours): long enough for a slow
	// sync, short enough that jobs wait little after a crash.
	LeaseDuration = time.Second
	// LeaseSafetyMargin is how much earlier than its end a holder stops.
	LeaseSafetyMargin = 200 * time.Millisecond
	// LeaseRenewPeriod is the time between renewals.
	LeaseRenewPeriod = 250 * time.Millisecond
)

// Workers.
const (
	// HeartbeatsSuspect is how many heartbeats a worker may miss before it is suspect.
	HeartbeatsSuspect = 3
	// HeartbeatsDeparted is how many make it count as departed.
	HeartbeatsDeparted = 10
	// WorkerNameBytes is the longest id, backend, address or zone of a worker, in bytes.
	WorkerNameBytes = 1024
	// ControllerHeartbeatPeriod is the time between two heartbeats to each peer.
	ControllerHeartbeatPeriod = 700 * time.Millisecond
)

// Placement.
const (
	// DowngradeAlert is the share of placements above which downgrades are
	// logged as over-discounting (ours).
	DowngradeAlert = 0.02
	// IndexNodes bounds the prefix index in leaves (ours, memory is priced).
	IndexNodes = 4000
	// PromptPartsMax is how many parts of a prompt the index looks at.
	PromptPartsMax = 32
	// ReadRate is the first guess of prompt tokens read in a ms, until streams
	// teach better.
	ReadRate = 120.0
	// FirstGuess is the first guess, in ms, of the time to a first event once the
	// prompt is read: an event holds several tokens.
	FirstGuess = 30.0
	// StepGuess is the first guess, in ms, of what one running request costs the
	// others in waiting.
	StepGuess = 0.4
	// RelayAfter is how many stores have failed to answer when another gateway is
	// asked, and how many gateways are (ours).
	RelayAfter = 2
	// LongReading, in ms, is the reading time from which a prompt is told to peers at
	// once (ours): others would wait behind it for longer than gossip takes.
	LongReading = 12.0
	// ErrPenalty, in ms of score, is the risk of a worker that has just failed.
	ErrPenalty = 4000.0
)

// Displacement.
const (
	// PreemptionFloor is the part of a service's places that items keep whatever
	// waits (ours): the low tier must not starve for good.
	PreemptionFloor = 0.08
	// PreemptionLimit is how often one item may be displaced before it keeps its
	// place (ours): ageing, for the same reason.
	PreemptionLimit = 3
	// PressurePeriod is the least time between two words of pressure (ours), and
	// PressureStale the age at which a word counts no more.
	PressurePeriod = 100 * time.Millisecond
	PressureStale  = 400 * time.Millisecond
	// StreamReserve is the time that a displaced stream must still have beyond its
	// aim, to end in time elsewhere (ours).
	StreamReserve = 1500 * time.Millisecond
)

// Data plane.
const (
	// PumpPeriod is how often those that wait are looked at without a cause (ours).
	PumpPeriod = 15 * time.Millisecond
	// LeastConnections is the fewest connections to a worker that a node may open.
	LeastConnections = 4
	// RequestLimit is used for bodies and heads until a configuration says.
	RequestLimit = 4 << 20
	// HeadLimit is used for heads until a configuration says.
	HeadLimit = 64 << 10
	// BufferedResponseMax is the largest plain response buffered completely, so that a cut can be
	// repaired by another run before the client has seen a byte.
	BufferedResponseMax = 256 << 10
	// WorkerDial bounds a connection to a worker: links are short.
	WorkerDial = 250 * time.Millisecond
	// StreamTimeout is the silence after which a repeatable stream goes on at another
	// worker until the service has taught what is usual there: clients give up at two
	// seconds.
	StreamTimeout = 900 * time.Millisecond
	// PlainTimeoutFactor is the same for plain requests, in multiples of the aim, and
	// PlainTimeoutMin its least.
	PlainTimeoutFactor = 3
	PlainTimeoutMin    = 250 * time.Millisecond
	// ConnectionIdle is how long an idle connection is kept when the worker names no time.
	ConnectionIdle = 4 * time.Second
	// ConnectionPart is the part of a worker's connections that one node may have, and
	// ConnectionPartItems that of one which runs items (ours).
	ConnectionPart      = 0.125
	ConnectionPartItems = 0.2
	// DrainAcceptTime is how long a leaving node still takes new connections: the
	// platform needs two missed probes, a second apart, to see it leave.
	DrainAcceptTime = 2600 * time.Millisecond
	// ShutdownMargin is how long before SIGKILL a leaving node ends by itself.
	ShutdownMargin = 600 * time.Millisecond
	// QueueAheadMax is how many requests may wait at a worker beyond its capacity.
	QueueAheadMax = 2
	// QueueShare is the part of a request's aim that it may wait for room (ours):
	// a refusal within a quarter still earns something when it comes back.
	QueueShare = 0.22
)

// Batch jobs.
const (
	// RunningItemsMax bounds how many items one executor runs at a time (ours): its
	// processor has to keep up with their events.
	RunningItemsMax = 400
	// ItemRetryBackoff is the pause before an item that was requeued is placed again.
	ItemRetryBackoff = 60 * time.Millisecond
	// SetChangeTimeout bounds the copying to a joiner; what was copied stays there.
	SetChangeTimeout = 20 * time.Second
	// BootstrapWait is how long stores wait for each other at the first start
	// before they make do with fewer.
	BootstrapWait = 4 * time.Second
	// JobItemsMax is the largest number of items in a batch job (PROTOCOL, lots).
	JobItemsMax = 200
	// PageBytes is the most a read returns in results (PROTOCOL: 1 MB).
	PageBytes = 900 << 10
	// AppendBytes bounds one range of records sent to a store.
	AppendBytes = 1 << 20
	// BatchCapacityShare is the part of a worker's places that items may fill when no
	// live request wants them (ours).
	BatchCapacityShare = 0.75
	// BatchPrefillsPerWorker is how many items may wait at a worker for their first event when
	// one more is placed there (ours): workers read in the order of arrival, so each
	// is time that a live request waits. Letting first events set the pace measured
	// better than reckoning the reading time.
	BatchPrefillsPerWorker = 1
	// TickPeriod is the period of the store's own upkeep.
	TickPeriod = 50 * time.Millisecond
	// RewriteBytes is the least size at which a file of records is rewritten.
	RewriteBytes = 24 << 20
)

// Operator's tools.
const (
	// StatusRows bounds what one process says to a query of the shell (ours).
	StatusRows = 200
	// StatusTimeout is how long the shell waits for one process unless told otherwise.
	StatusTimeout = 700 * time.Millisecond
	// TrafficPeriod is the time between two lines of counters in a log at debug level.
	TrafficPeriod = 10 * time.Second
)

// Processes.
const (
	// MemoryShare is the part of the memory limit the collector may use.
	MemoryShare = 0.8
	// CollectPercent is the collector's target growth (ours): memory is dear, and
	// the live heap is small.
	CollectPercent = 60
	// LeaderCollectPercent is that of the store that leads (ours).
	LeaderCollectPercent = 200
)
