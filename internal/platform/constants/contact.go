package constants

import "time"

// Contact between control processes, and what follows from its loss.
const (
	// ContactPeriod is the time between two rounds in which a controller asks the
	// acceptors whether it is in contact (ours): a request and an answer of some 30
	// bytes each.
	ContactPeriod = 300 * time.Millisecond
	// ContactTimeout bounds one request (ours): under the second that outside callers wait.
	ContactTimeout = 400 * time.Millisecond
	// ContactLease is how long a controller counts as in contact with a majority after
	// the asking of a round that a majority answered (ours): three rounds and a slow
	// answer; under every converge-ms of the deployments.
	ContactLease = 1200 * time.Millisecond
	// SecondReportPeriod is the time between two short reports of a process to a second
	// controller (ours): shorter than SuspectAfter, so that the loss of the first one
	// never makes a process look silent. Bytes between zones are priced.
	SecondReportPeriod = 2 * time.Second
	// BacklogPeriod is the time between two looks at who has unconfirmed updates.
	BacklogPeriod = 100 * time.Millisecond
	// BacklogBackoff is the first pause before a process that did not confirm is notified
	// once more, and BacklogBackoffMax what it grows to (ours): a process that answers
	// again should have a new configuration well within converge-ms.
	BacklogBackoff    = 300 * time.Millisecond
	BacklogBackoffMax = time.Second
	// BacklogForwardedDelay is that pause where others pass the configuration on, without
	// saying whom they reached (ours): twice what the tree takes in a zone.
	BacklogForwardedDelay = 700 * time.Millisecond
	// RecoverBackoff is the time between two attempts of a starting controller to recover the workers from a
	// majority of the acceptors (ours).
	RecoverBackoff = 60 * time.Millisecond
)
