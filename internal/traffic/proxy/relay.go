package proxy

import (
	"net/http"
	"strconv"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/traffic/admission"
)

// errClientDisconnected means that a write to the client failed.
var errClientDisconnected = errs.Define("client disconnected")

// relayPlain relays a response that is not an event stream. A response of up to BufferedResponseMax bytes
// is buffered completely, so that a truncated one can be retried before the client has received a byte.
func (e *exchange) relayPlain(grant *admission.Grant, response *Response) (Retry, bool) {
	sender := &e.proxyServer.Sender
	body, complete, err := sender.ReadBody(response, constants.BufferedResponseMax)
	if err != nil {
		sender.Discard(response)
		grant.End(admission.ResultFailed, clock.Now())
		return e.decideRetry(Evidence{Sent: true}), false
	}
	copyHeader(e.writer.Header(), response.HTTPResponse.Header)
	if complete {
		e.finish(response)
		grant.End(admission.ResultServed, clock.Now())
		e.traffic.served(0, 0)
		e.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
		e.writer.WriteHeader(response.HTTPResponse.StatusCode)
		_, _ = e.writer.Write(body)
		e.proxyServer.Counts.Served.Add(1)
		return RetryNever, true
	}
	if response.HTTPResponse.ContentLength >= 0 {
		e.writer.Header().Set("Content-Length", strconv.FormatInt(response.HTTPResponse.ContentLength, 10))
	}
	e.writer.WriteHeader(response.HTTPResponse.StatusCode)
	e.headSent = true
	buffer := make([]byte, 32<<10)
	for {
		if _, err := e.writer.Write(body); err != nil {
			break
		}
		count, err := response.HTTPResponse.Body.Read(buffer)
		body = buffer[:count]
		if err != nil && count == 0 {
			if err.Error() == "EOF" {
				e.finish(response)
				grant.End(admission.ResultServed, clock.Now())
				e.traffic.served(0, 0)
				e.proxyServer.Counts.Served.Add(1)
				return RetryNever, true
			}
			break
		}
	}
	sender.Discard(response)
	grant.End(admission.ResultFailed, clock.Now())
	return e.decideRetry(Evidence{Sent: true}), false
}

// relayStream relays complete events as they arrive.
func (e *exchange) relayStream(grant *admission.Grant, response *Response) (Retry, bool) {
	sender := &e.proxyServer.Sender
	splitter := &Splitter{}
	if e.hasEvent {
		// The client has the events up to lastID: the new run must continue with the next one.
		splitter.NextID = e.lastID + 1
	}
	flusher, _ := e.writer.(http.Flusher)
	timeout := grant.InterEventTimeout(clock.Milliseconds(e.route.GapMs))
	if e.headSent {
		e.proxyServer.Counts.Resumed.Add(1)
	}
	e.allowPreemption(grant)
	gaps := gapMeter{last: clock.Now()}
	err := sender.Stream(response, splitter, e.deadline, timeout, func(events []byte) error {
		if !e.headSent {
			copyHeader(e.writer.Header(), response.HTTPResponse.Header)
			e.writer.WriteHeader(response.HTTPResponse.StatusCode)
			e.headSent = true
		}
		gaps.event(clock.Now())
		if splitter.HasID {
			e.lastID, e.hasEvent = splitter.LastID, true
		}
		if _, writeErr := e.writer.Write(events); writeErr != nil {
			return errClientDisconnected.Wrap(writeErr, "write events")
		}
		if flusher != nil {
			flusher.Flush()
		}
		return nil
	})
	if err == nil {
		if !e.headSent {
			copyHeader(e.writer.Header(), response.HTTPResponse.Header)
			e.writer.WriteHeader(response.HTTPResponse.StatusCode)
		}
		e.finish(response)
		grant.ObserveGap(gaps.longest)
		e.traffic.served(gaps.count+1, gaps.mean())
		grant.End(admission.ResultServed, clock.Now())
		e.proxyServer.Counts.Served.Add(1)
		if e.wasPreempted {
			e.proxyServer.Scheduler.Counters(e.route.Name).Finished.Add(1)
		}
		return RetryNever, true
	}
	sender.Discard(response)
	result := e.resultOfError(err)
	if e.preempted.Swap(false) {
		result = admission.ResultCanceled
		e.wasPreempted, e.requeued = true, true
		e.proxyServer.Scheduler.Counters(e.route.Name).Preempted.Add(1)
	}
	if errs.Is(err, errClientDisconnected) || e.request.Context().Err() != nil || clock.Now() >= e.deadline {
		result = admission.ResultCanceled
	}
	grant.End(result, clock.Now())
	e.proxyServer.Log.Debug("failed to relay event stream", "worker", grant.Worker.ID, "last", e.lastID, "err", err.Error())
	return e.decideRetry(Evidence{Sent: true}), false
}

// gapMeter measures the longest and the mean gap between the events of one stream.
type gapMeter struct {
	last    clock.Instant
	longest clock.Duration
	sum     clock.Duration
	count   int
	started bool
}

// event records that one or more events arrived at the given time.
func (p *gapMeter) event(now clock.Instant) {
	if p.started {
		p.longest = max(p.longest, now.Sub(p.last))
		p.sum += now.Sub(p.last)
		p.count++
	}
	p.last, p.started = now, true
}

// mean returns the mean gap, or zero if there was none.
func (p *gapMeter) mean() clock.Duration {
	if p.count == 0 {
		return 0
	}
	return p.sum / clock.Duration(p.count)
}

// allowPreemption allows the scheduler to preempt a running stream in favor of a higher priority, if the
// stream can be resumed at another worker within the same response and still end before its
// deadline. A request that must not run twice is never preempted.
func (e *exchange) allowPreemption(grant *admission.Grant) {
	left := e.deadline.Sub(clock.Now())
	if !e.retryable() || e.attempts+1 >= e.route.MaxAttempts || left < e.route.Setpoint()+constants.StreamReserve {
		return
	}
	grant.AllowPreemption(func() {
		// Set before the close unblocks the reader, so that relayStream sees it. It has no effect once
		// the response is complete.
		e.preempted.Store(true)
		e.closeConnection()
	})
}
