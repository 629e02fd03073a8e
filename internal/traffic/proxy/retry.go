package proxy

import "lemonarch/internal/platform/messages"

// Evidence is what is known of an attempt at a worker that brought no complete response.
type Evidence struct {
	// Sent: some byte of the request may have reached the worker.
	Sent bool
	// NotRun: the worker said that it did not run the request (421 or
	// Lemonarch-Not-Executed).
	NotRun bool
	// Events: the client has some events of the stream already.
	Events bool
	// Head: the client has the head of a response already.
	Head bool
}

// Retry says whether a request may go to another worker.
type Retry int

// The decisions.
const (
	// RetryNever: it may have run, and running it again is forbidden.
	RetryNever Retry = iota
	// RetryFromStart: it may be sent again from the start.
	RetryFromStart
	// RetryFromEvent: it may go on after the last event that was forwarded.
	RetryFromEvent
)

// DecideRetry decides. A request that was sent and met a time-out, a reset or a break may have
// run; only the worker itself can say that it did not.
func DecideRetry(kind messages.RouteKind, resumable bool, evidence Evidence) Retry {
	streams := kind == messages.RouteStreaming || kind == messages.RouteBulk
	if evidence.Events || (evidence.Head && streams) {
		// The client has part of a run: only its own continuation may follow.
		if streams && resumable {
			return RetryFromEvent
		}
		return RetryNever
	}
	if evidence.Head {
		return RetryNever
	}
	if !evidence.Sent || evidence.NotRun {
		return RetryFromStart
	}
	if kind == messages.RouteIdempotent || (streams && resumable) {
		return RetryFromStart
	}
	return RetryNever
}
