package proxy

import (
	"net/http"
	"strconv"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/traffic/admission"
)

// errClientGone means that our own client ended the connection.
var errClientGone = errs.Define("client gone")

// plain passes on an answer that is no stream. It is held whole where it is
// small, so that a cut can be mended before the client has seen a byte.
func (e *exchange) plain(grant *admission.Grant, response *Response) (Repeat, bool) {
	sender := &e.proxyServer.Sender
	body, whole, err := sender.ReadBody(response, constants.BufferedResponseMax)
	if err != nil {
		sender.Abandon(response)
		grant.End(admission.ResultFailed, clock.Now())
		return e.judge(Evidence{Sent: true}), false
	}
	copyBack(e.writer.Header(), response.Answer.Header)
	if whole {
		e.finish(response)
		grant.End(admission.ResultServed, clock.Now())
		e.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
		e.writer.WriteHeader(response.Answer.StatusCode)
		_, _ = e.writer.Write(body)
		e.proxyServer.Counts.Served.Add(1)
		return RepeatNever, true
	}
	if response.Answer.ContentLength >= 0 {
		e.writer.Header().Set("Content-Length", strconv.FormatInt(response.Answer.ContentLength, 10))
	}
	e.writer.WriteHeader(response.Answer.StatusCode)
	e.headSent = true
	buffer := make([]byte, 32<<10)
	for {
		if _, err := e.writer.Write(body); err != nil {
			break
		}
		count, err := response.Answer.Body.Read(buffer)
		body = buffer[:count]
		if err != nil && count == 0 {
			if err.Error() == "EOF" {
				e.finish(response)
				grant.End(admission.ResultServed, clock.Now())
				e.proxyServer.Counts.Served.Add(1)
				return RepeatNever, true
			}
			break
		}
	}
	sender.Abandon(response)
	grant.End(admission.ResultFailed, clock.Now())
	return e.judge(Evidence{Sent: true}), false
}

// stream passes events on as they come.
func (e *exchange) stream(grant *admission.Grant, response *Response) (Repeat, bool) {
	sender := &e.proxyServer.Sender
	splitter := &Splitter{}
	if e.hasEvent {
		// The client has events up to lastID: the new run must go on exactly there.
		splitter.Next = e.lastID + 1
	}
	flusher, _ := e.writer.(http.Flusher)
	patience := grant.GapPatience(clock.Milliseconds(e.route.GapMs))
	if e.headSent {
		e.proxyServer.Counts.Resumed.Add(1)
	}
	e.mayYield(grant)
	pauses := pauses{last: clock.Now()}
	err := sender.Stream(response, splitter, e.deadline, patience, func(events []byte) error {
		if !e.headSent {
			copyBack(e.writer.Header(), response.Answer.Header)
			e.writer.WriteHeader(response.Answer.StatusCode)
			e.headSent = true
		}
		pauses.event(clock.Now())
		if splitter.Started {
			e.lastID, e.hasEvent = splitter.Last, true
		}
		if _, problem := e.writer.Write(events); problem != nil {
			return errClientGone.Wrap(problem, "write")
		}
		if flusher != nil {
			flusher.Flush()
		}
		return nil
	})
	if err == nil {
		if !e.headSent {
			copyBack(e.writer.Header(), response.Answer.Header)
			e.writer.WriteHeader(response.Answer.StatusCode)
		}
		e.finish(response)
		grant.Paused(pauses.longest)
		grant.End(admission.ResultServed, clock.Now())
		e.proxyServer.Counts.Served.Add(1)
		if e.wasDisplaced {
			e.proxyServer.Scheduler.Counters(e.route.Name).Finished.Add(1)
		}
		return RepeatNever, true
	}
	sender.Abandon(response)
	result := e.resultOf(err)
	if e.displaced.Swap(false) {
		result = admission.ResultCalledOff
		e.wasDisplaced, e.setBack = true, true
		e.proxyServer.Scheduler.Counters(e.route.Name).Displaced.Add(1)
	}
	if errs.Is(err, errClientGone) || e.request.Context().Err() != nil || clock.Now() >= e.deadline {
		result = admission.ResultCalledOff
	}
	grant.End(result, clock.Now())
	e.proxyServer.Log.Debug("stream broke", "worker", grant.Worker.ID, "last", e.lastID, "err", err.Error())
	return e.judge(Evidence{Sent: true}), false
}

// pauses follows the longest pause of one stream.
type pauses struct {
	last    clock.Instant
	longest clock.Duration
	some    bool
}

func (p *pauses) event(now clock.Instant) {
	if p.some {
		p.longest = max(p.longest, now.Sub(p.last))
	}
	p.last, p.some = now, true
}

// mayYield lets a running stream of a lower rank make room, where it may go on at
// another worker within the same answer and still end in time. What must not run
// twice never yields.
func (e *exchange) mayYield(grant *admission.Grant) {
	left := e.deadline.Sub(clock.Now())
	if !e.repeatable() || e.sent+1 >= e.route.Tries || left < e.route.Setpoint()+constants.StreamReserve {
		return
	}
	grant.MayYield(func() {
		// Told before the reader can wake; of no effect once the answer is whole.
		e.displaced.Store(true)
		e.closeConnection()
	})
}
