package constants

import "time"

// Contact between controllers, and the handling of its loss.
const (
	// ContactPeriod is the time between two rounds in which a controller checks its contact
	// with the acceptors. A request and a response take some 30 bytes each.
	ContactPeriod = 300 * time.Millisecond
	// ContactTimeout bounds one request. It is below the second that external callers wait.
	ContactTimeout = 400 * time.Millisecond
	// ContactLease is how long a controller counts as in contact with a majority after it sent
	// the requests of a round to which a majority responded. It covers three rounds and a slow
	// response, and is below every converge-ms of the deployments.
	ContactLease = 1200 * time.Millisecond
	// SecondReportPeriod is the time between two brief reports of a process to a second
	// controller. It is shorter than SuspectAfter, so that the loss of the first controller
	// never makes a process look silent, and not shorter still because bytes between zones are
	// priced.
	SecondReportPeriod = 2 * time.Second
	// BacklogPeriod is the time between two checks for processes with unconfirmed updates.
	BacklogPeriod = 100 * time.Millisecond
	// BacklogBackoff is the first pause before a process that did not confirm an update is
	// notified again, and BacklogBackoffMax the upper limit of the pause. A process that
	// responds again should receive a new configuration well within converge-ms.
	BacklogBackoff    = 300 * time.Millisecond
	BacklogBackoffMax = time.Second
	// BacklogForwardedDelay is that pause if other processes forward the configuration without
	// reporting which ones they reached: twice what the forwarding tree takes in a zone.
	BacklogForwardedDelay = 700 * time.Millisecond
	// RecoverBackoff is the time between two attempts of a starting controller to recover the
	// workers from a majority of the acceptors.
	RecoverBackoff = 60 * time.Millisecond
)
