package constants

import "time"

// Contact between control processes, and what follows from its loss.
const (
	// ContactPeriod is the time between two rounds in which a controller asks the
	// acceptors whether it is in contact (ours): a question and an answer of some 30
	// bytes each.
	ContactPeriod = 300 * time.Millisecond
	// ContactTime bounds one question (ours): under the second that outside callers wait.
	ContactTime = 400 * time.Millisecond
	// ContactLease is how long a controller counts as in contact with a majority after
	// the asking of a round that a majority answered (ours): three rounds and a slow
	// answer; under every converge-ms of the deployments.
	ContactLease = 1200 * time.Millisecond
	// SecondReportPeriod is the time between two short reports of a process to a second
	// controller (ours): shorter than SilentAfter, so that the loss of the first one
	// never makes a process look silent. Bytes between zones are priced.
	SecondReportPeriod = 2 * time.Second
	// BacklogPeriod is the time between two looks at who must still be told something.
	BacklogPeriod = 100 * time.Millisecond
	// BacklogPause is the first pause before a process that could not be told is told
	// once more, and BacklogPauseMost what it grows to (ours): a process that answers
	// again should have a new configuration well within converge-ms.
	BacklogPause     = 300 * time.Millisecond
	BacklogPauseMost = time.Second
	// BacklogPassedPause is that pause where others pass the configuration on, without
	// saying whom they reached (ours): twice what the tree takes in a zone.
	BacklogPassedPause = 700 * time.Millisecond
	// RecallPause is the time between two tries of a starting controller to hear a
	// majority of the acceptors on workers (ours).
	RecallPause = 60 * time.Millisecond
)
