package carriage

import (
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"

	"lemonarch/internal/almanac"
	"lemonarch/internal/chisel"
	"lemonarch/internal/errand"
	"lemonarch/internal/jig"
	"lemonarch/internal/pattern"
	"lemonarch/internal/reply"
	"lemonarch/internal/watch"
	"lemonarch/internal/workbench"
)

// journey is one request's way through the process.
type journey struct {
	carriage *Carriage
	writer   http.ResponseWriter
	request  *http.Request
	route    *jig.Route
	ask      workbench.Ask
	body     []byte
	passed   http.Header
	method   string
	attempt  string
	stated   bool
	sized    bool
	arrived  watch.Moment
	deadline watch.Moment

	sent     int
	unsent   int
	mayRun   bool
	headSent bool
	lastID   int64
	hasEvent bool
	pipe     atomic.Pointer[chisel.Pipe]
	last     *workerAnswer
	// displaced is set by whoever asks for our place; setBack holds until the next
	// try, wasDisplaced to the end.
	displaced    atomic.Bool
	wasDisplaced bool
	setBack      bool
}

// workerAnswer is an answer of a worker's own that may be given when no other
// worker can be asked.
type workerAnswer struct {
	status int
	header http.Header
	body   []byte
}

// unsentLimit bounds how many workers are tried that can't even be reached.
const unsentLimit = 4

func asTooLarge(failure error, target **http.MaxBytesError) bool { return errors.As(failure, target) }

func (one *journey) kind() pattern.RouteKind { return one.route.Kind() }

func (one *journey) repeatable() bool {
	return one.kind() == pattern.RouteIdempotent || (one.kind() == pattern.RouteStreaming && one.route.Resumable)
}

// travel tries workers until there is an outcome; every path ends in exactly one.
func (one *journey) travel() {
	for {
		answer := one.admit()
		if answer.Verdict != workbench.VerdictGranted {
			one.giveUp(answer)
			return
		}
		repeat, over := one.tryAt(answer.Grant)
		if over {
			return
		}
		if repeat == RepeatNever || one.sent >= one.route.Tries || one.unsent >= unsentLimit ||
			watch.Now() >= one.deadline || one.request.Context().Err() != nil {
			one.giveUp(workbench.Answer{Verdict: workbench.VerdictNoRoom, Retry: one.ask.Setpoint / 2})
			return
		}
		if one.setBack {
			// Its worker did nothing wrong and may be asked again.
			one.setBack = false
			one.carriage.Bench.Tally(one.route.Name).Resumed.Add(1)
			continue
		}
		one.ask.Excluded = append(one.ask.Excluded, answer.Grant.Worker.ID)
	}
}

// admit gets an entry, waiting in the queue where that can still pay.
func (one *journey) admit() workbench.Answer {
	now := watch.Now()
	left := one.deadline.Since(now)
	if one.sent == 0 {
		// A refusal within a quarter of the aim still leaves the client time.
		patience := watch.Span(float64(one.ask.Setpoint) * almanac.QueueShare)
		one.ask.Patience = min(one.arrived.Plus(patience), one.deadline)
	} else {
		// It has run in part: nobody can be told to come back, so wait longer.
		one.ask.Patience = now.Plus(left / 2)
	}
	resumed := make(chan workbench.Answer, 1)
	answer, handle := one.carriage.Bench.Admit(&one.ask, func(late workbench.Answer) { resumed <- late }, now)
	if answer.Verdict != workbench.VerdictQueued {
		return answer
	}
	select {
	case answer = <-resumed:
	case <-one.request.Context().Done():
		if !one.carriage.Bench.Withdraw(handle) {
			answer = <-resumed
		} else {
			answer = workbench.Answer{Verdict: workbench.VerdictNoRoom}
		}
	}
	return answer
}

// letter writes the request for a worker.
func (one *journey) letter(grant *workbench.Grant) *Letter {
	own := map[string]string{headerTarget: grant.Worker.ID}
	if one.stated {
		left := one.deadline.Since(watch.Now()).Milliseconds()
		own[headerTimeLeft] = strconv.FormatInt(max(left, 1), 10)
	}
	if one.hasEvent {
		own[headerLastEvent] = strconv.FormatInt(one.lastID, 10)
	}
	return &Letter{
		Method:     one.method,
		Attempt:    one.attempt,
		Text:       head(one.method, one.request.RequestURI, one.request.Host, one.passed, own, one.body, one.sized),
		Until:      one.deadline,
		Patience:   grant.Patience(),
		Impatient:  one.impatient(grant),
		Repeatable: one.repeatable(),
		Seal:       true,
		Halt:       func(pipe *chisel.Pipe) { one.pipe.Store(pipe) },
	}
}

// tryAt runs the request at one worker.
func (one *journey) tryAt(grant *workbench.Grant) (repeat Repeat, over bool) {
	courier := &one.carriage.Courier
	halt := one.whenGone()
	defer halt()
	delivery, evidence, failure := courier.Carry(grant, one.letter(grant))
	if failure != nil {
		outcome := one.outcomeOf(failure)
		grant.End(outcome, watch.Now())
		one.carriage.Log.Debug("try failed", "worker", grant.Worker.ID, "why", failure.Error())
		return one.judge(evidence), false
	}
	if delivery.NotRun || delivery.Answer.StatusCode >= 300 {
		// Nothing was read or made for it, so it teaches no usual time.
		grant.Told(delivery.Load, watch.Now())
		if delivery.NotRun {
			return one.turnedAway(grant, delivery)
		}
		return one.refusedByWorker(grant, delivery)
	}
	grant.First(delivery.Load, watch.Now())
	if one.kind() == pattern.RouteStreaming {
		return one.stream(grant, delivery)
	}
	return one.plain(grant, delivery)
}

// judge turns evidence into a decision and keeps count of the tries.
func (one *journey) judge(evidence Evidence) Repeat {
	evidence.Events, evidence.Head = one.hasEvent && one.headSent, one.headSent
	if evidence.Sent {
		one.sent++
		if !evidence.NotRun {
			one.mayRun = true
		}
	} else {
		one.unsent++
	}
	return May(one.kind(), one.route.Resumable, evidence)
}

// whenGone closes the pipe once the client is gone: the worker then stops.
func (one *journey) whenGone() (halt func()) {
	return errand.AfterEnd(one.request.Context(), func() {
		one.closePipe()
	})
}

// closePipe breaks the present try off from outside, unless its pipe was given
// back already and may carry somebody else's request.
func (one *journey) closePipe() {
	pipe := one.pipe.Swap(nil)
	if pipe != nil {
		pipe.Close()
	}
}

// finish gives the pipe back, out of reach of a client that leaves just now: the
// pipe may already carry somebody else's request.
func (one *journey) finish(delivery *Delivery) {
	if one.pipe.Swap(nil) == nil {
		one.carriage.Courier.Abandon(delivery)
		return
	}
	one.carriage.Courier.Finish(delivery)
}

// giveUp ends the request with the one outcome that is true.
func (one *journey) giveUp(answer workbench.Answer) {
	carriage := one.carriage
	switch {
	case one.headSent:
		// The answer has begun: a cut is passed on as a cut.
		carriage.Counts.CutOff.Add(1)
		panic(http.ErrAbortHandler)
	case one.last != nil && (one.mayRun == (one.last.header.Get(headerNotRun) == "") || !one.mayRun):
		carriage.Counts.Failed.Add(1)
		copyBack(one.writer.Header(), one.last.header)
		if one.last.header.Get(headerNotRun) != "" && one.last.header.Get("Retry-After") == "" {
			one.writer.Header().Set("Retry-After", strconv.FormatFloat(answer.Retry.Seconds(), 'f', 3, 64))
		}
		one.writer.Header().Set("Content-Length", strconv.Itoa(len(one.last.body)))
		one.writer.WriteHeader(one.last.status)
		_, _ = one.writer.Write(one.last.body)
	case one.mayRun:
		carriage.Counts.Failed.Add(1)
		status := http.StatusBadGateway
		if watch.Now() >= one.deadline {
			status = http.StatusGatewayTimeout
		}
		reply.Text(one.writer, status, "no whole answer")
	default:
		carriage.Counts.Refused.Add(1)
		reply.Later(one.writer, http.StatusServiceUnavailable, answer.Retry)
	}
}
