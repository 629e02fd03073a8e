package proxy

import (
	"net/http"
	"strconv"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/traffic/admission"
)

// clientGone means that our own client ended the connection.
var clientGone = errs.Define("client gone")

// plain passes on an answer that is no stream. It is held whole where it is
// small, so that a cut can be mended before the client has seen a byte.
func (one *exchange) plain(grant *admission.Grant, response *Response) (Repeat, bool) {
	sender := &one.proxyServer.Sender
	body, whole, err := sender.ReadBody(response, constants.BufferedAnswer)
	if err != nil {
		sender.Abandon(response)
		grant.End(admission.ResultFailed, clock.Now())
		return one.judge(Evidence{Sent: true}), false
	}
	copyBack(one.writer.Header(), response.Answer.Header)
	if whole {
		one.finish(response)
		grant.End(admission.ResultServed, clock.Now())
		one.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
		one.writer.WriteHeader(response.Answer.StatusCode)
		_, _ = one.writer.Write(body)
		one.proxyServer.Counts.Served.Add(1)
		return RepeatNever, true
	}
	if response.Answer.ContentLength >= 0 {
		one.writer.Header().Set("Content-Length", strconv.FormatInt(response.Answer.ContentLength, 10))
	}
	one.writer.WriteHeader(response.Answer.StatusCode)
	one.headSent = true
	buffer := make([]byte, 32<<10)
	for {
		if _, err := one.writer.Write(body); err != nil {
			break
		}
		count, err := response.Answer.Body.Read(buffer)
		body = buffer[:count]
		if err != nil && count == 0 {
			if err.Error() == "EOF" {
				one.finish(response)
				grant.End(admission.ResultServed, clock.Now())
				one.proxyServer.Counts.Served.Add(1)
				return RepeatNever, true
			}
			break
		}
	}
	sender.Abandon(response)
	grant.End(admission.ResultFailed, clock.Now())
	return one.judge(Evidence{Sent: true}), false
}

// stream passes events on as they come.
func (one *exchange) stream(grant *admission.Grant, response *Response) (Repeat, bool) {
	sender := &one.proxyServer.Sender
	splitter := &Splitter{}
	if one.hasEvent {
		// The client has events up to lastID: the new run must go on exactly there.
		splitter.Next = one.lastID + 1
	}
	flusher, _ := one.writer.(http.Flusher)
	patience := grant.GapPatience(clock.Milliseconds(one.route.GapMs))
	if one.headSent {
		one.proxyServer.Counts.Resumed.Add(1)
	}
	one.mayYield(grant)
	pauses := pauses{last: clock.Now()}
	err := sender.Stream(response, splitter, one.deadline, patience, func(events []byte) error {
		if !one.headSent {
			copyBack(one.writer.Header(), response.Answer.Header)
			one.writer.WriteHeader(response.Answer.StatusCode)
			one.headSent = true
		}
		pauses.event(clock.Now())
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
	if err == nil {
		if !one.headSent {
			copyBack(one.writer.Header(), response.Answer.Header)
			one.writer.WriteHeader(response.Answer.StatusCode)
		}
		one.finish(response)
		grant.Paused(pauses.longest)
		grant.End(admission.ResultServed, clock.Now())
		one.proxyServer.Counts.Served.Add(1)
		if one.wasDisplaced {
			one.proxyServer.Scheduler.Counters(one.route.Name).Finished.Add(1)
		}
		return RepeatNever, true
	}
	sender.Abandon(response)
	result := one.resultOf(err)
	if one.displaced.Swap(false) {
		result = admission.ResultCalledOff
		one.wasDisplaced, one.setBack = true, true
		one.proxyServer.Scheduler.Counters(one.route.Name).Displaced.Add(1)
	}
	if errs.Of(err, clientGone) || one.request.Context().Err() != nil || clock.Now() >= one.deadline {
		result = admission.ResultCalledOff
	}
	grant.End(result, clock.Now())
	one.proxyServer.Log.Debug("stream broke", "worker", grant.Worker.ID, "last", one.lastID, "why", err.Error())
	return one.judge(Evidence{Sent: true}), false
}

// pauses follows the longest pause of one stream.
type pauses struct {
	last    clock.Moment
	longest clock.Span
	some    bool
}

func (pauses *pauses) event(now clock.Moment) {
	if pauses.some {
		pauses.longest = max(pauses.longest, now.Since(pauses.last))
	}
	pauses.last, pauses.some = now, true
}

// mayYield lets a running stream of a lower rank make room, where it may go on at
// another worker within the same answer and still end in time. What must not run
// twice never yields.
func (one *exchange) mayYield(grant *admission.Grant) {
	left := one.deadline.Since(clock.Now())
	if !one.repeatable() || one.sent+1 >= one.route.Tries || left < one.route.Setpoint()+constants.StreamReserve {
		return
	}
	grant.MayYield(func() {
		// Told before the reader can wake; of no effect once the answer is whole.
		one.displaced.Store(true)
		one.closeConnection()
	})
}
