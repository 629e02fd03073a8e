package proxy

import "lemonarch/internal/platform/messages"

// Evidence is what is known of a try at a worker that brought no whole answer.
type Evidence struct {
	// Sent: some byte of the request may have reached the worker.
	Sent bool
	// NotRun: the worker said that it did not run the request (421 or
	// Lemonarch-Not-Executed).
	NotRun bool
	// Events: the client has some events of the stream already.
	Events bool
	// Head: the client has the head of an answer already.
	Head bool
}

// Repeat says whether a request may go to another worker.
type Repeat int

// The decisions.
const (
	// RepeatNever: it may have run, and running it again is forbidden.
	RepeatNever Repeat = iota
	// RepeatAnew: it may be sent again from the start.
	RepeatAnew
	// RepeatFrom: it may go on after the last event that was passed on.
	RepeatFrom
)

// May decides. A request that was sent and met silence, a reset or a cut may have
// run; only the worker's own word says that it did not.
func May(kind messages.RouteKind, resumable bool, evidence Evidence) Repeat {
	streams := kind == messages.RouteStreaming || kind == messages.RouteBulk
	if evidence.Events || (evidence.Head && streams) {
		// The client has part of a run: only its own continuation may follow.
		if streams && resumable {
			return RepeatFrom
		}
		return RepeatNever
	}
	if evidence.Head {
		return RepeatNever
	}
	if !evidence.Sent || evidence.NotRun {
		return RepeatAnew
	}
	if kind == messages.RouteIdempotent || (streams && resumable) {
		return RepeatAnew
	}
	return RepeatNever
}
