package proxy

import "lemonarch/internal/platform/messages"

// Evidence is what is known about an attempt that did not produce a complete response.
type Evidence struct {
	// Sent means that some byte of the request may have reached the worker.
	Sent bool
	// NotRun means that the worker stated that it did not run the request (status 421 or
	// Lemonarch-Not-Executed).
	NotRun bool
	// Events means that the client has already received events of the stream.
	Events bool
	// Head means that the client has already received the head of a response.
	Head bool
}

// Retry is the decision whether, and from where, a request may be sent again.
type Retry int

// The values of Retry.
const (
	// RetryNever means that the request may have run and must not run again.
	RetryNever Retry = iota
	// RetryFromStart means that the request may be sent again from the start.
	RetryFromStart
	// RetryFromEvent means that the stream may be resumed after the last event that was forwarded.
	RetryFromEvent
)

// DecideRetry decides whether a request may be sent again. A request that was sent and ended in a
// timeout, a reset or a broken connection may have run; only a statement by the worker shows that it did not.
func DecideRetry(kind messages.RouteKind, resumable bool, evidence Evidence) Retry {
	isStream := kind == messages.RouteStreaming || kind == messages.RouteBulk
	if evidence.Events || (evidence.Head && isStream) {
		// The client has received part of a run: only the continuation of the same stream may follow.
		if isStream && resumable {
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
	if kind == messages.RouteIdempotent || (isStream && resumable) {
		return RetryFromStart
	}
	return RetryNever
}
