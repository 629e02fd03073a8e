package executorserver

import (
	"bytes"
	"net/http"
	"strconv"

	"lemonarch/internal/batch/executor"
	"lemonarch/internal/batch/outputcodec"
	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/traffic/admission"
	"lemonarch/internal/traffic/proxy"
	"lemonarch/internal/traffic/workerconn"
)

// runOnWorker sends one item to one worker, collects its events, and derives the acknowledgement from
// the way the stream ends.
func (s *Server) runOnWorker(route *routeconfig.Route, task *executor.Task, grant *admission.Grant) {
	sender := &s.gossip.Sender
	outgoing := s.buildRequest(route, task, grant.Worker.ID)
	response, evidence, err := sender.RoundTrip(grant, outgoing)
	if err != nil {
		s.release(route, task, grant, resultOf(err), messages.Acknowledgement{NotStarted: !evidence.Sent}, err.Error())
		return
	}
	if status := response.HTTPResponse.StatusCode; response.NotRun || status >= http.StatusMultipleChoices {
		s.discard(task, grant, response)
		s.handleRejection(route, task, grant, response.NotRun, status)
		return
	}
	grant.FirstEvent(response.Load, clock.Now())
	signal(s.signals.wake)
	s.placeWaiting()
	err = s.collectEvents(task, response, outgoing)
	s.forgetConnection(task)
	if err != nil {
		sender.Discard(response)
		s.release(route, task, grant, admission.ResultFailed, messages.Acknowledgement{}, err.Error())
		return
	}
	sender.Release(response)
	s.complete(route, task, grant)
}

// resultOf returns the admission result for a request that failed without a response.
func resultOf(err error) admission.Result {
	switch {
	case errs.Is(err, workerconn.ErrPoolExhausted):
		return admission.ResultRejected
	case errs.Is(err, workerconn.ErrNoConnection):
		return admission.ResultUnreachable
	case errs.Is(err, workerconn.ErrWorkerUnresponsive):
		return admission.ResultTimeout
	}
	return admission.ResultFailed
}

// discard reads the rest of a response that is not an event stream, so that its connection can be
// reused.
func (s *Server) discard(task *executor.Task, grant *admission.Grant, response *proxy.Response) {
	sender := &s.gossip.Sender
	grant.ObserveLoad(response.Load, clock.Now())
	_, complete, err := sender.ReadBody(response, constants.BufferedResponseMax)
	s.forgetConnection(task)
	if err == nil && complete {
		sender.Release(response)
	} else {
		sender.Discard(response)
	}
}

// collectEvents appends the events of a run to its item as they arrive.
func (s *Server) collectEvents(task *executor.Task, response *proxy.Response, outgoing *proxy.Request) error {
	splitter := &proxy.Splitter{}
	if task.Item.LastID > 0 {
		splitter.NextID = task.Item.LastID + 1
	}
	return s.gossip.Sender.Stream(response, splitter, outgoing.Deadline, outgoing.SilenceTimeout, func(events []byte) error {
		s.lock.Lock()
		defer s.lock.Unlock()
		if task.Stopped() || !task.Item.AppendEvents(task.Run, proxy.EventData(events), splitter.LastID) {
			// The kind of this error is not evaluated: an error of any kind releases the item.
			return proxy.ErrNotSent.New("run was stopped or preempted while its events were read")
		}
		task.NoteProgress(clock.Now())
		return nil
	})
}

// complete acknowledges a run whose stream has ended normally.
func (s *Server) complete(route *routeconfig.Route, task *executor.Task, grant *admission.Grant) {
	s.lock.Lock()
	finished := task.Item.Finish(task.Run)
	preempted := task.Item.Preempted > 0
	s.lock.Unlock()
	if !finished {
		// The run had to yield just before it ended. Its item is released, like that of any preempted run.
		s.release(route, task, grant, admission.ResultServed, messages.Acknowledgement{}, "preempted just before completion")
		return
	}
	if preempted {
		s.gossip.Scheduler.Counters(route.Name).Finished.Add(1)
	}
	grant.End(admission.ResultServed, clock.Now())
	s.recordTraffic(route, task, grant)
	output, compressed := outputcodec.Compress(bytes.Join(task.Item.Events, []byte("\n")))
	s.finishTask(task, messages.Acknowledgement{Kind: messages.AckAccept, Output: output, Compressed: compressed})
}

// recordTraffic adds the observations of a complete run to the traffic summaries.
func (s *Server) recordTraffic(route *routeconfig.Route, task *executor.Task, grant *admission.Grant) {
	now := clock.Now()
	observation := grant.ItemObservation(route.Name, task.Item.Headers["Lemonarch-Model"], len(task.Item.Events), now)
	s.gossip.Traffic.Record(observation, now)
}

// forgetConnection removes a task's connection, so that stopping the task can't close the connection
// after it is reused for another request.
func (s *Server) forgetConnection(task *executor.Task) {
	s.lock.Lock()
	defer s.lock.Unlock()
	delete(s.connections, task)
}

// handleRejection derives the acknowledgement from a response that is not an event stream.
func (s *Server) handleRejection(route *routeconfig.Route, task *executor.Task, grant *admission.Grant, notRun bool, status int) {
	switch {
	case status == http.StatusMisdirectedRequest:
		s.release(route, task, grant, admission.ResultMisdirected, messages.Acknowledgement{NotStarted: true}, "another worker responded at this address")
	case notRun:
		s.release(route, task, grant, admission.ResultRejected, messages.Acknowledgement{NotStarted: true}, "worker is full")
	case status == http.StatusUnprocessableEntity:
		grant.End(admission.ResultServed, clock.Now())
		s.finishTask(task, messages.Acknowledgement{Kind: messages.AckReject})
	case status == http.StatusInternalServerError:
		s.release(route, task, grant, admission.ResultServerError, messages.Acknowledgement{Failed: true}, "worker returned status 500")
	default:
		s.release(route, task, grant, admission.ResultFailed, messages.Acknowledgement{}, "unexpected status "+strconv.Itoa(status))
	}
}

// yield aborts a run that has to give up its slot; the run then requeues the item.
func (s *Server) yield(task *executor.Task) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if !task.Item.Yield(task.Run) {
		return
	}
	if connection := s.connections[task]; connection != nil {
		connection.Close()
	}
}

// release acknowledges a run that ended without a result, with the events collected so far.
func (s *Server) release(route *routeconfig.Route, task *executor.Task, grant *admission.Grant, result admission.Result, ack messages.Acknowledgement, reason string) {
	ack.Kind = messages.AckRelease
	s.lock.Lock()
	ack.Preempted = task.Item.Yielding()
	if ack.Preempted || task.Stopped() {
		// This process aborted the run, so the failure must not count against the worker.
		result = admission.ResultCanceled
	}
	task.Item.Requeue(task.Run)
	s.lock.Unlock()
	if ack.Preempted {
		s.gossip.Scheduler.Counters(route.Name).Preempted.Add(1)
	}
	grant.End(result, clock.Now())
	s.finishTask(task, ack)
	s.node.Log.Debug("item released", "item", task.Item.ID, "worker", grant.Worker.ID, "preempted", ack.Preempted, "reason", reason)
}

// finishTask removes a task and queues its acknowledgement.
func (s *Server) finishTask(task *executor.Task, ack messages.Acknowledgement) {
	s.lock.Lock()
	delete(s.connections, task)
	s.runner.Done(task, ack)
	s.lock.Unlock()
	signal(s.signals.results)
	signal(s.signals.releases)
	signal(s.signals.wake)
}

// buildRequest builds the request that sends an item to a worker.
func (s *Server) buildRequest(route *routeconfig.Route, task *executor.Task, worker string) *proxy.Request {
	item, header := task.Item, http.Header{}
	for name, value := range item.Headers {
		header.Set(name, value)
	}
	added := map[string]string{"Lemonarch-Attempt-Id": item.ID, "Lemonarch-Target-Worker": worker}
	if item.LastID > 0 {
		added["Last-Event-Id"] = strconv.FormatInt(item.LastID, 10)
	}
	remainingMs := item.Job.SubmittedMs + route.Retain().Milliseconds() - clock.WallNanos()/1_000_000
	return &proxy.Request{Method: http.MethodPost, Attempt: item.ID, RequireSeal: true, Retryable: true, SilenceTimeout: 2 * constants.StreamTimeout,
		Text:     proxy.EncodeRequest(http.MethodPost, item.Path, item.Job.Host, proxy.ForwardedHeader(header), added, item.Body),
		Deadline: clock.Now().Add(max(clock.Milliseconds(float64(remainingMs)), constants.RunTimeMin)),
		OnConnection: func(connection *workerconn.Connection) {
			s.lock.Lock()
			defer s.lock.Unlock()
			s.connections[task] = connection
			if !task.MayRun(clock.Now()) || task.Item.Yielding() {
				// The run was stopped while the connection was being opened: send nothing.
				s.runner.Stop(task)
				connection.Close()
			}
		}}
}
