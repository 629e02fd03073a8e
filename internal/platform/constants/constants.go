// Package constants contains the constants of the project, each with its unit and the reason
// for its value.
package constants

import "time"

// Communication between processes.
const (
	// PortController, PortGateway and PortStore are offsets from the first internal port. Two
	// processes may share a machine's ports, so each role has its own.
	PortController = 0
	PortGateway    = 1
	PortStore      = 2
	// FrameLimit is the maximum size of a frame in bytes: a job with the largest allowed body
	// has to fit, framing included.
	FrameLimit = 48 << 20
	// FrameLifetime is how long after it was sent a frame may still arrive. Connections close
	// after ConnectionTimeout without an acknowledgement, but a process may be suspended for
	// seconds with unread frames.
	FrameLifetime = 40 * time.Second
	// FrameVersion is sent in each frame, so that processes of different versions interoperate.
	// From version 2 on, call numbers increase along a connection.
	FrameVersion = 2
	// DialTimeout bounds a connection attempt between processes. Links have a latency of a few
	// ms, so a longer silence means a partition.
	DialTimeout = 400 * time.Millisecond
	// CallTimeout bounds an ordinary call between processes. It is below the second after
	// which an external caller stops waiting.
	CallTimeout = 800 * time.Millisecond
	// StartBackoff is the first pause between two attempts of a starting process to fetch what
	// it needs. It is short because the process can't serve until then. After a failed dial, a
	// peer is not dialled again for half of it.
	StartBackoff = 40 * time.Millisecond
	// StartBackoffMax is the upper limit of that pause.
	StartBackoffMax = 320 * time.Millisecond
	// FirstConfigTimeout is how long a starting process accepts only a configuration that was
	// read from a majority. After it, any configuration that a controller has is accepted.
	FirstConfigTimeout = 5 * time.Second
	// PushTimeout bounds the wait for peers to accept a configuration or an update before a
	// call is acknowledged. The caller waits a second at most.
	PushTimeout = 350 * time.Millisecond
	// ConnectionTimeout is the TCP_USER_TIMEOUT of connections. In a partition there are no
	// acknowledgements, and a hung connection must not block a caller.
	ConnectionTimeout = 1500 * time.Millisecond
	// BulkCallTimeout bounds calls that carry jobs or long ranges of records, and the writing of each
	// response. The HTTP servers of package inbound use it as the timeout for reading headers.
	BulkCallTimeout = 3 * time.Second
)

// Register and leases.
const (
	// RoundTimeout bounds one round of the register: a sync, even on a slow disk, and one
	// round trip.
	RoundTimeout = 500 * time.Millisecond
	// RegisterTimeout bounds a whole change, retries included.
	RegisterTimeout = 2500 * time.Millisecond
	// BackoffBase is the minimum pause before a proposer retries. It is also the pause of an internal
	// listener after a failed accept.
	BackoffBase = 8 * time.Millisecond
	// BackoffSpread is the minimum range of the random part of that pause, before it doubles. The
	// random part separates two competing proposers.
	BackoffSpread = 60 * time.Millisecond
	// SetGrowthTimeout is how long after its start a controller counts every controller in contact
	// as one that could still join the acceptor set, and delays acknowledgements until the set
	// tolerates the fault budget. After it, only those that respond at that moment count. Each
	// join takes well under a second.
	SetGrowthTimeout = 10 * time.Second
	// LeaseDuration is the length of the leader's lease: long enough for a slow sync, short
	// enough that jobs wait only briefly after a crash.
	LeaseDuration = time.Second
	// LeaseSafetyMargin is how long before the end of its lease a leader stops acting on it.
	LeaseSafetyMargin = 200 * time.Millisecond
	// LeaseRenewPeriod is the time between renewals.
	LeaseRenewPeriod = 250 * time.Millisecond
)

// Workers.
const (
	// HeartbeatsSuspect is how many heartbeats a worker may miss before it is suspect.
	HeartbeatsSuspect = 3
	// HeartbeatsDeparted is how many heartbeats a worker may miss before no request is placed on it, as
	// on one that departed. Its phase does not change.
	HeartbeatsDeparted = 10
	// WorkerNameBytes is the maximum length of a worker's id, backend, address or zone, in bytes.
	WorkerNameBytes = 1024
	// ControllerHeartbeatPeriod is the time between two heartbeats to each peer.
	ControllerHeartbeatPeriod = 700 * time.Millisecond
)

// Placement.
const (
	// DowngradeAlert is the share of placements above which downgrades are logged: placements for
	// which the residency weight changed the choice of the worker. More of them mean that the weight
	// discounts prefix matches too much.
	DowngradeAlert = 0.02
	// IndexLeavesMax is the maximum number of leaves of the prefix index. Memory is priced.
	IndexLeavesMax = 4000
	// PromptPartsMax is the maximum number of parts of a prompt that the index considers.
	PromptPartsMax = 32
	// PrefillRateGuess is the initial estimate of the prefill rate, in prompt tokens per ms, until
	// observed streams refine it.
	PrefillRateGuess = 120.0
	// FirstEventMsGuess is the initial estimate, in ms, of the time from the end of the prefill to the
	// first event. It is that long because an event contains several tokens.
	FirstEventMsGuess = 30.0
	// RunningRequestMsGuess is the estimate, in ms, of the wait that each request running at a worker
	// adds for a new one. Unlike the two estimates above, it is not refined.
	RunningRequestMsGuess = 0.4
	// RelayAfterFailures is how many stores must have failed to respond before a call is relayed to
	// another gateway, and the maximum number of gateways tried.
	RelayAfterFailures = 2
	// LongPrefillMs is the prefill time, in ms, above which peers are notified of a prompt at
	// once: other requests would wait behind it for longer than gossip takes.
	LongPrefillMs = 12.0
	// SuspectPenaltyMs is the risk, in ms of score, of a worker that is suspect.
	SuspectPenaltyMs = 4000.0
)

// Preemption.
const (
	// PreemptionFloor is the share of a service's slots that batch items keep whatever else is
	// waiting, so that the low tier does not starve.
	PreemptionFloor = 0.08
	// PreemptionLimit is how often one item may be preempted before it keeps its slot. This is
	// ageing: it also prevents starvation.
	PreemptionLimit = 3
	// PressurePeriod is the minimum time between two pressure notices of a process, and
	// PressureStale the age at which a notice expires. A process forwards the notices of others
	// at most once per half of PressurePeriod.
	PressurePeriod = 100 * time.Millisecond
	PressureStale  = 400 * time.Millisecond
	// StreamReserve is the time that a stream must have left beyond its latency target to be
	// preempted, so that it can still end in time at another worker.
	StreamReserve = 1500 * time.Millisecond
)

// Data plane.
const (
	// PollPeriod is the polling period of the queues of requests that wait for capacity, and of a
	// gateway that waits for its first configuration or drains. It is also the read deadline with
	// which a connection is checked for received bytes.
	PollPeriod = 15 * time.Millisecond
	// ConnectionsMin is the minimum number of connections to a worker that a node may open.
	ConnectionsMin = 4
	// RequestLimit is the limit of request bodies, in bytes, until a configuration is known. The
	// operator API and the emulated workers limit bodies to multiples of it.
	RequestLimit = 4 << 20
	// HeadLimit is the limit of request headers, in bytes, until a configuration is known. The bodies
	// of the workers' calls to a controller have the same limit.
	HeadLimit = 64 << 10
	// BufferedResponseMax is the size in bytes up to which a non-streaming response is buffered
	// completely, so that a truncated one can be retried before the client has received a byte.
	BufferedResponseMax = 256 << 10
	// WorkerDialTimeout bounds a connection attempt to a worker. The latency of links is low.
	WorkerDialTimeout = 250 * time.Millisecond
	// StreamTimeout is the silence after which a retryable stream resumes at another worker,
	// until the usual latency of the service has been learned. Clients give up after two seconds.
	StreamTimeout = 900 * time.Millisecond
	// PlainTimeoutFactor is the corresponding timeout for non-streaming requests, in multiples
	// of the latency target, and PlainTimeoutMin its minimum.
	PlainTimeoutFactor = 3
	PlainTimeoutMin    = 250 * time.Millisecond
	// ConnectionIdle is how long an idle connection is kept if the worker states no time.
	ConnectionIdle = 4 * time.Second
	// ConnectionShare is the share of a worker's connections that one node may use, and
	// ConnectionShareItems that of a node that runs items: few nodes do, each with many items.
	ConnectionShare      = 0.125
	ConnectionShareItems = 0.2
	// DrainAcceptTime is how long a draining node still accepts new connections. The platform
	// needs two failed probes, one second apart, to notice that it is leaving.
	DrainAcceptTime = 2600 * time.Millisecond
	// ShutdownMargin is how long before SIGKILL a draining node exits.
	ShutdownMargin = 600 * time.Millisecond
	// QueueAheadMax is how many requests may wait at a worker beyond its capacity.
	QueueAheadMax = 2
	// QueueShare is the share of its latency target that a request may wait for capacity. A
	// request rejected within a quarter of its target still has some value when it is retried.
	QueueShare = 0.22
)

// Batch jobs.
const (
	// RunningItemsMax is the maximum number of items that one executor runs at a time: its
	// processor has to keep up with their events.
	RunningItemsMax = 400
	// ItemRetryBackoff is the first pause before a requeued item is placed again.
	ItemRetryBackoff = 60 * time.Millisecond
	// SetChangeTimeout bounds the copying of records to a joiner. After a timeout the joiner
	// keeps what was copied.
	SetChangeTimeout = 20 * time.Second
	// BootstrapWait is how long stores wait for each other at the first start before they
	// continue with fewer.
	BootstrapWait = 4 * time.Second
	// JobItemsMax is the maximum number of items in a batch job (PROTOCOL, lots).
	JobItemsMax = 200
	// PageBytes is the maximum size in bytes of the results in one response (PROTOCOL: 1 MB).
	PageBytes = 900 << 10
	// AppendBytes is the size limit in bytes of one range of records sent to a store.
	AppendBytes = 1 << 20
	// BatchCapacityShare is the share of a worker's capacity that items may use while there is
	// no pressure from live requests.
	BatchCapacityShare = 0.75
	// BatchPrefillsPerWorker is how many requests may be in prefill at a worker before no
	// further item is placed there. Workers prefill in order of arrival, so each item in
	// prefill delays live requests. Pacing by first events works better than estimating the
	// prefill time.
	BatchPrefillsPerWorker = 1
	// TickPeriod is the period of a store's maintenance, and the unit of the polling periods of
	// several other waits.
	TickPeriod = 50 * time.Millisecond
	// RewriteBytes is the minimum size in bytes at which a record file is rewritten.
	RewriteBytes = 24 << 20
)

// Operator tools.
const (
	// StatusRows is the maximum number of rows in a process's response to a shell query.
	StatusRows = 200
	// StatusTimeout is the shell's default timeout for one process.
	StatusTimeout = 700 * time.Millisecond
	// TrafficPeriod is the time between two lines of counters in a log at debug level.
	TrafficPeriod = 10 * time.Second
)

// Processes.
const (
	// MemoryShare is the memory limit of the Go runtime (GOMEMLIMIT), as a share of memory-mb.
	MemoryShare = 0.8
	// GCPercent is GOGC, in percent: memory is expensive, and the live heap is small.
	GCPercent = 60
	// LeaderGCPercent is GOGC of the store that is the leader.
	LeaderGCPercent = 200
)
