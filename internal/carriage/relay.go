package carriage

import (
	"net/http"
	"strconv"

	"lemonarch/internal/almanac"
	"lemonarch/internal/mishap"
	"lemonarch/internal/watch"
	"lemonarch/internal/workbench"
)

// clientGone means that our own client ended the connection.
var clientGone = mishap.Define("client gone")

// plain passes on an answer that is no stream. It is held whole where it is
// small, so that a cut can be mended before the client has seen a byte.
func (one *journey) plain(grant *workbench.Grant, delivery *Delivery) (Repeat, bool) {
	courier := &one.carriage.Courier
	body, whole, failure := courier.ReadBody(delivery, almanac.BufferedAnswer)
	if failure != nil {
		courier.Abandon(delivery)
		grant.End(workbench.OutcomeFailed, watch.Now())
		return one.judge(Evidence{Sent: true}), false
	}
	copyBack(one.writer.Header(), delivery.Answer.Header)
	if whole {
		one.finish(delivery)
		grant.End(workbench.OutcomeServed, watch.Now())
		one.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
		one.writer.WriteHeader(delivery.Answer.StatusCode)
		_, _ = one.writer.Write(body)
		one.carriage.Counts.Served.Add(1)
		return RepeatNever, true
	}
	if delivery.Answer.ContentLength >= 0 {
		one.writer.Header().Set("Content-Length", strconv.FormatInt(delivery.Answer.ContentLength, 10))
	}
	one.writer.WriteHeader(delivery.Answer.StatusCode)
	one.headSent = true
	buffer := make([]byte, 32<<10)
	for {
		if _, failure := one.writer.Write(body); failure != nil {
			break
		}
		count, failure := delivery.Answer.Body.Read(buffer)
		body = buffer[:count]
		if failure != nil && count == 0 {
			if failure.Error() == "EOF" {
				one.finish(delivery)
				grant.End(workbench.OutcomeServed, watch.Now())
				one.carriage.Counts.Served.Add(1)
				return RepeatNever, true
			}
			break
		}
	}
	courier.Abandon(delivery)
	grant.End(workbench.OutcomeFailed, watch.Now())
	return one.judge(Evidence{Sent: true}), false
}

// stream passes events on as they come.
func (one *journey) stream(grant *workbench.Grant, delivery *Delivery) (Repeat, bool) {
	courier := &one.carriage.Courier
	splitter := &Splitter{}
	if one.hasEvent {
		// The client has events up to lastID: the new run must go on exactly there.
		splitter.Next = one.lastID + 1
	}
	flusher, _ := one.writer.(http.Flusher)
	patience := grant.GapPatience(watch.Milliseconds(one.route.GapMs))
	if one.headSent {
		one.carriage.Counts.Resumed.Add(1)
	}
	one.mayYield(grant)
	pauses := pauses{last: watch.Now()}
	failure := courier.Stream(delivery, splitter, one.deadline, patience, func(events []byte) error {
		if !one.headSent {
			copyBack(one.writer.Header(), delivery.Answer.Header)
			one.writer.WriteHeader(delivery.Answer.StatusCode)
			one.headSent = true
		}
		pauses.event(watch.Now())
		if splitter.Started {
			one.lastID, one.hasEvent = splitter.Last, true
		}
		if _, problem := one.writer.Write(events); problem != nil {
			return clientGone.Wrap(problem, "write")
		}
		if flusher != nil {
			flusher.Flush()
		}
		return nil
	})
	if failure == nil {
		if !one.headSent {
			copyBack(one.writer.Header(), delivery.Answer.Header)
			one.writer.WriteHeader(delivery.Answer.StatusCode)
		}
		one.finish(delivery)
		grant.Paused(pauses.longest)
		grant.End(workbench.OutcomeServed, watch.Now())
		one.carriage.Counts.Served.Add(1)
		if one.wasDisplaced {
			one.carriage.Bench.Tally(one.route.Name).Finished.Add(1)
		}
		return RepeatNever, true
	}
	courier.Abandon(delivery)
	outcome := one.outcomeOf(failure)
	if one.displaced.Swap(false) {
		outcome = workbench.OutcomeCalledOff
		one.wasDisplaced, one.setBack = true, true
		one.carriage.Bench.Tally(one.route.Name).Displaced.Add(1)
	}
	if mishap.Of(failure, clientGone) || one.request.Context().Err() != nil || watch.Now() >= one.deadline {
		outcome = workbench.OutcomeCalledOff
	}
	grant.End(outcome, watch.Now())
	one.carriage.Log.Debug("stream broke", "worker", grant.Worker.ID, "last", one.lastID, "why", failure.Error())
	return one.judge(Evidence{Sent: true}), false
}

// pauses follows the longest pause of one stream.
type pauses struct {
	last    watch.Moment
	longest watch.Span
	some    bool
}

func (pauses *pauses) event(now watch.Moment) {
	if pauses.some {
		pauses.longest = max(pauses.longest, now.Since(pauses.last))
	}
	pauses.last, pauses.some = now, true
}

// mayYield lets a running stream of a lower rank make room, where it may go on at
// another worker within the same answer and still end in time. What must not run
// twice never yields.
func (one *journey) mayYield(grant *workbench.Grant) {
	left := one.deadline.Since(watch.Now())
	if !one.repeatable() || one.sent+1 >= one.route.Tries || left < one.route.Setpoint()+almanac.StreamReserve {
		return
	}
	grant.MayYield(func() {
		// Told before the reader can wake; of no effect once the answer is whole.
		one.displaced.Store(true)
		one.closePipe()
	})
}
