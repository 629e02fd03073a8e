package store

import (
	"bytes"
	"net/http"
	"strconv"

	"lemonarch/internal/batch/executor"
	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/traffic/admission"
	"lemonarch/internal/traffic/proxy"
	"lemonarch/internal/traffic/workerconn"
)

// run takes one item to one worker, gathers its events, and derives the
// acknowledgement from how the stream ends.
func (d *executorLoop) run(route *routeconfig.Route, task *executor.Task, grant *admission.Grant) {
	sender := &d.server.Gossip.Sender
	outgoing := d.outgoing(route, task, grant.Worker.ID)
	response, evidence, err := sender.Carry(grant, outgoing)
	if err != nil {
		result := admission.ResultFailed
		switch {
		case errs.Is(err, workerconn.ErrPoolExhausted):
			result = admission.ResultTurnedAway
		case errs.Is(err, workerconn.ErrNoConnection):
			result = admission.ResultRefused
		case errs.Is(err, workerconn.ErrWorkerUnresponsive):
			result = admission.ResultSilent
		}
		d.release(route, task, grant, result, messages.Acknowledgement{NotStarted: !evidence.Sent}, err.Error())
		return
	}
	status := response.Answer.StatusCode
	if response.NotRun || status >= 300 {
		grant.Told(response.Load, clock.Now())
		_, complete, err := sender.ReadBody(response, constants.BufferedAnswer)
		d.forgetConnection(task)
		if err == nil && complete {
			sender.Finish(response)
		} else {
			sender.Abandon(response)
		}
		d.handleRejection(route, task, grant, response.NotRun, status)
		return
	}
	grant.First(response.Load, clock.Now())
	signal(d.wake)
	d.place()
	splitter := &proxy.Splitter{}
	if task.Item.LastID > 0 {
		splitter.Next = task.Item.LastID + 1
	}
	err = sender.Stream(response, splitter, outgoing.Until, outgoing.Patience, func(events []byte) error {
		d.lock.Lock()
		defer d.lock.Unlock()
		if task.Stopped() || !task.Item.AppendEvents(task.Run, proxy.Data(events), splitter.Last) {
			return proxy.ErrNotSent.New("called off")
		}
		task.MarkProgress(clock.Now())
		return nil
	})
	d.forgetConnection(task)
	if err != nil {
		sender.Abandon(response)
		d.release(route, task, grant, admission.ResultFailed, messages.Acknowledgement{}, err.Error())
		return
	}
	sender.Finish(response)
	d.lock.Lock()
	complete := task.Item.Finish(task.Run)
	displaced := task.Item.Preempted > 0
	d.lock.Unlock()
	if !complete {
		// It was asked to make room in its last moment: its run counts as set back.
		d.release(route, task, grant, admission.ResultServed, messages.Acknowledgement{}, "displaced at its end")
		return
	}
	if displaced {
		d.server.Gossip.Scheduler.Counters(route.Name).Finished.Add(1)
	}
	grant.End(admission.ResultServed, clock.Now())
	output, compressed := compress(bytes.Join(task.Item.Events, []byte("\n")))
	d.done(task, messages.Acknowledgement{Kind: messages.AckAccept, Output: output, Compressed: compressed})
}

// forgetConnection takes a connection out of reach before it may serve somebody else.
func (d *executorLoop) forgetConnection(task *executor.Task) {
	d.lock.Lock()
	defer d.lock.Unlock()
	delete(d.connections, task)
}

// handleRejection handles an answer that is no stream of events.
func (d *executorLoop) handleRejection(route *routeconfig.Route, task *executor.Task, grant *admission.Grant, notRun bool, status int) {
	switch {
	case status == http.StatusMisdirectedRequest:
		d.release(route, task, grant, admission.ResultGoneAway, messages.Acknowledgement{NotStarted: true}, "another worker answers")
	case notRun:
		d.release(route, task, grant, admission.ResultTurnedAway, messages.Acknowledgement{NotStarted: true}, "worker is full")
	case status == http.StatusUnprocessableEntity:
		grant.End(admission.ResultServed, clock.Now())
		d.done(task, messages.Acknowledgement{Kind: messages.AckReject})
	case status == http.StatusInternalServerError:
		d.release(route, task, grant, admission.ResultErrored, messages.Acknowledgement{Failed: true}, "worker failed")
	default:
		d.release(route, task, grant, admission.ResultFailed, messages.Acknowledgement{}, "unexpected status "+strconv.Itoa(status))
	}
}

// yield breaks off a run that has to make room; the run itself sets the item back.
func (d *executorLoop) yield(task *executor.Task) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if !task.Item.Yield(task.Run) {
		return
	}
	if connection := d.connections[task]; connection != nil {
		connection.Close()
	}
}

// release gives an item back with what was gathered.
func (d *executorLoop) release(route *routeconfig.Route, task *executor.Task, grant *admission.Grant, result admission.Result, entry messages.Acknowledgement, reason string) {
	entry.Kind = messages.AckRelease
	d.lock.Lock()
	entry.Preempted = task.Item.Yielding()
	if entry.Preempted || task.Stopped() {
		// Our own doing: it says nothing against the worker.
		result = admission.ResultCalledOff
	}
	task.Item.Requeue(task.Run)
	d.lock.Unlock()
	if entry.Preempted {
		d.server.Gossip.Scheduler.Counters(route.Name).Displaced.Add(1)
	}
	grant.End(result, clock.Now())
	d.done(task, entry)
	d.server.Node.Log.Debug("item released", "item", task.Item.ID, "worker", grant.Worker.ID, "displaced", entry.Preempted, "why", reason)
}

// done ends a task here and has its acknowledgement carried.
func (d *executorLoop) done(task *executor.Task, entry messages.Acknowledgement) {
	d.lock.Lock()
	delete(d.connections, task)
	d.core.Done(task, entry)
	d.lock.Unlock()
	signal(d.results)
	signal(d.releases)
	signal(d.wake)
}

// outgoing writes an item's request.
func (d *executorLoop) outgoing(route *routeconfig.Route, task *executor.Task, worker string) *proxy.Request {
	item, header := task.Item, http.Header{}
	for name, value := range item.Headers {
		header.Set(name, value)
	}
	own := map[string]string{"Lemonarch-Attempt-Id": item.ID, "Lemonarch-Target-Worker": worker}
	if item.LastID > 0 {
		own["Last-Event-Id"] = strconv.FormatInt(item.LastID, 10)
	}
	left := item.Job.SubmittedMs + route.Retain().Milliseconds() - clock.WallNanos()/1_000_000
	return &proxy.Request{Method: http.MethodPost, Attempt: item.ID, Seal: true, Repeatable: true, Patience: 2 * constants.SilentWorker,
		Text:  proxy.Head(http.MethodPost, item.Path, item.Job.Host, proxy.Passed(header), own, item.Body),
		Until: clock.Now().Add(max(clock.Milliseconds(float64(left)), constants.RunTimeMin)),
		Halt: func(connection *workerconn.Connection) {
			d.lock.Lock()
			defer d.lock.Unlock()
			d.connections[task] = connection
			if !task.MayRun(clock.Now()) || task.Item.Yielding() {
				// Stopped while its connection was being opened: nothing is sent.
				d.core.Stop(task)
				connection.Close()
			}
		}}
}
