package constants

import "time"

// Membership.
const (
	// ShufflePeriod is the time between two shuffles of views (ours).
	ShufflePeriod = time.Second
	// ShuffleSize is how many entries one shuffle carries (ours).
	ShuffleSize = 24
	// ViewBase is the constant part of a bounded view, to which twice the logarithm of
	// the population comes (ours): up to 25 of a role the view is still complete.
	ViewBase = 16
	// FarLinks is how many processes of each other zone a bounded view keeps at least
	// (ours): one may be lost.
	FarLinks = 2
	// FarShuffle: one shuffle in so many leaves the zone (ours); those bytes are dear.
	FarShuffle = 4
	// ViewReuseTime is how long a controller goes by what it reckoned of whom a process should
	// know, while nobody came or went (ours).
	ViewReuseTime = 5 * time.Second
	// FreshReportAge is the age below which a controller reports a process as in contact just now (ours):
	// a report a second, and a word between controllers.
	FreshReportAge = 1800 * time.Millisecond
	// NeighbourRounds: in one round of so many a process shuffles with a neighbour
	// besides its word with a controller (ours): that matters only once controllers are gone.
	NeighbourRounds = 10
	// SuspectAfter is the silence after which a process is taken for silent.
	SuspectAfter = 3 * time.Second
	// ForgetAfter is the silence after which an entry leaves the view.
	ForgetAfter = 45 * time.Second
	// SucceedAfter is the silence after which a process takes the place of a silent member
	// of its own zone (ours): word through others makes silence look up to 1.4 s shorter, and
	// all of it has to end well within sync-s.
	SucceedAfter = 2 * time.Second
	// ReconcilePeriod is how often a controller looks whether the sets of acceptors need it (ours):
	// a joiner has to be a member well within sync-s after its start, silence included.
	ReconcilePeriod = 250 * time.Millisecond
	// ReplaceAfter is the silence after which a standing-by process may take a
	// silent member's place in the acceptor or store set (ours): longer than a
	// process takes to be started again.
	ReplaceAfter = 6 * time.Second
)

// Spreading.
const (
	// ReportTimeout bounds the periodic word with a controller (ours): another one is asked
	// then, well before the next period.
	ReportTimeout = 400 * time.Millisecond
	// BroadcastTimeout bounds the wait for the whole fleet to take an update of a worker before the
	// worker's call is acknowledged (ours): it waits a second at most.
	BroadcastTimeout = 650 * time.Millisecond
	// UpdateBatchWindow is how long a new worker waits for others, so that all are told
	// together, and UpdateBatchesInFlight how many words that bind may be under way (ours).
	UpdateBatchWindow     = 120 * time.Millisecond
	UpdateBatchesInFlight = 8
	// LeaderReminderRounds: gateways are notified of a leader in its first rounds, as many as
	// this, and then in one of so many (ours).
	LeaderReminderRounds = 8
	// RelayTimeout is how long a controller may take to say that it tells its zone, and
	// ZoneBroadcastTimeout how long that may take (ours): then another way is gone. Both, twice,
	// must fit into the bound above.
	RelayTimeout         = 120 * time.Millisecond
	ZoneBroadcastTimeout = 180 * time.Millisecond
	// BodyFanout is how many processes a process sends a configuration to (ours): with a
	// link of 30 Mbit/s, a body of 100 KB takes 27 ms each.
	BodyFanout = 3
)
