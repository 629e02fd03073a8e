package constants

import "time"

// Membership.
const (
	// ShufflePeriod is the time between two shuffles of views.
	ShufflePeriod = time.Second
	// ShuffleSize is the maximum number of entries in a shuffle.
	ShuffleSize = 24
	// ViewBase is the constant part of the size of a bounded view, to which twice the binary
	// logarithm of the population is added. Up to 25 processes of a role, the view is complete.
	ViewBase = 16
	// OtherZonePeersMin is the minimum number of processes of each other zone in a bounded view, so that
	// one may be lost.
	OtherZonePeersMin = 2
	// OtherZoneShuffleRounds is the number of shuffles of which on average one goes to another zone. Bytes
	// between zones are expensive.
	OtherZoneShuffleRounds = 4
	// ViewReuseTime is how long a controller reuses a computed view of a process while no process
	// joins or leaves.
	ViewReuseTime = 5 * time.Second
	// FreshReportAge is the age below which a controller reports a process as in contact just
	// now: one report per second, and one heartbeat between controllers.
	FreshReportAge = 1800 * time.Millisecond
	// NeighbourRounds is the number of rounds, each with a report to a controller, in which a
	// process also shuffles once with a random process. The shuffle matters only while no controller
	// is available, and is then made in each round.
	NeighbourRounds = 10
	// SuspectAfter is the silence after which a process counts as silent.
	SuspectAfter = 3 * time.Second
	// ForgetAfter is the silence after which an entry is removed from the view.
	ForgetAfter = 45 * time.Second
	// ReplaceInZoneAfter is the silence after which a process replaces a silent member of its own zone.
	// Reports through others make a silence look up to 1.4 s shorter, and the replacement has to
	// be complete well within sync-s.
	ReplaceInZoneAfter = 2 * time.Second
	// ReconcilePeriod is the period at which a controller checks whether the acceptor sets need a
	// change. A joiner has to be a member well within sync-s after its start, silence included.
	ReconcilePeriod = 250 * time.Millisecond
	// ReplaceAfter is the silence after which a spare process may replace a silent member of the
	// acceptor or store set: longer than a restart takes.
	ReplaceAfter = 6 * time.Second
)

// Broadcasts.
const (
	// ReportTimeout bounds the periodic report to a controller. After it, another controller is
	// tried, well before the next period.
	ReportTimeout = 400 * time.Millisecond
	// BroadcastTimeout bounds the wait for the whole fleet to accept an update of a worker before
	// the worker's call is acknowledged. The worker waits a second at most.
	BroadcastTimeout = 650 * time.Millisecond
	// UpdateBatchWindow is how long an update of a worker waits for others to be sent with, and
	// UpdateBatchesInFlight the number of batches in flight up to which an urgent update is sent
	// at once.
	UpdateBatchWindow     = 120 * time.Millisecond
	UpdateBatchesInFlight = 8
	// LeaderReminderRounds is the number of initial rounds of a leader in which it is announced
	// to the gateways. After them, it is announced once in that many rounds.
	LeaderReminderRounds = 8
	// RelayTimeout is how long a controller may take to confirm that it relays an update to its
	// zone, and ZoneBroadcastTimeout how long the relaying may take. After them, another path is
	// tried. Both, twice, must fit into BroadcastTimeout.
	RelayTimeout         = 120 * time.Millisecond
	ZoneBroadcastTimeout = 180 * time.Millisecond
	// BodyFanout is how many processes a process forwards a configuration to. A controller that
	// starts its delivery in a zone sends it to twice as many. On a link of 30 Mbit/s, a body of
	// 100 KB takes 27 ms each.
	BodyFanout = 3
)
