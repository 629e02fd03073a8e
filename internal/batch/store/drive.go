package store

import (
	"bytes"
	"net/http"
	"strconv"

	"lemonarch/internal/batch/itemdriver"
	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/traffic/admission"
	"lemonarch/internal/traffic/proxy"
	"lemonarch/internal/traffic/workerconn"
)

// drive takes one item to one worker, gathers its events, and derives the
// acknowledgement from how the stream ends.
func (driver *driver) drive(route *routeconfig.Route, task *itemdriver.Task, grant *admission.Grant) {
	sender := &driver.server.Gossip.Sender
	outgoing := driver.outgoing(route, task, grant.Worker.ID)
	response, evidence, err := sender.Carry(grant, outgoing)
	if err != nil {
		result := admission.ResultFailed
		switch {
		case errs.Of(err, workerconn.Spent):
			result = admission.ResultTurnedAway
		case errs.Of(err, workerconn.NoConnection):
			result = admission.ResultRefused
		case errs.Of(err, workerconn.Silent):
			result = admission.ResultSilent
		}
		driver.release(route, task, grant, result, messages.Acknowledgement{Unbegun: !evidence.Sent}, err.Error())
		return
	}
	status := response.Answer.StatusCode
	if response.NotRun || status >= 300 {
		grant.Told(response.Load, clock.Now())
		_, whole, err := sender.ReadBody(response, constants.BufferedAnswer)
		driver.letGo(task)
		if err == nil && whole {
			sender.Finish(response)
		} else {
			sender.Abandon(response)
		}
		driver.refused(route, task, grant, response.NotRun, status)
		return
	}
	grant.First(response.Load, clock.Now())
	ring(driver.bell)
	driver.place()
	splitter := &proxy.Splitter{}
	if task.Item.LastID > 0 {
		splitter.Next = task.Item.LastID + 1
	}
	err = sender.Stream(response, splitter, outgoing.Until, outgoing.Patience, func(events []byte) error {
		driver.lock.Lock()
		defer driver.lock.Unlock()
		if task.Stopped() || !task.Item.Gather(task.Run, proxy.Data(events), splitter.Last) {
			return proxy.NotSent.New("called off")
		}
		task.Moved(clock.Now())
		return nil
	})
	driver.letGo(task)
	if err != nil {
		sender.Abandon(response)
		driver.release(route, task, grant, admission.ResultFailed, messages.Acknowledgement{}, err.Error())
		return
	}
	sender.Finish(response)
	driver.lock.Lock()
	whole := task.Item.Finish(task.Run)
	displaced := task.Item.Displaced > 0
	driver.lock.Unlock()
	if !whole {
		// It was asked to make room in its last moment: its run counts as set back.
		driver.release(route, task, grant, admission.ResultServed, messages.Acknowledgement{}, "displaced at its end")
		return
	}
	if displaced {
		driver.server.Gossip.Scheduler.Counters(route.Name).Finished.Add(1)
	}
	grant.End(admission.ResultServed, clock.Now())
	text, packed := pack(bytes.Join(task.Item.Pieces, []byte("\n")))
	driver.done(task, messages.Acknowledgement{Kind: messages.AckAccept, Text: text, Packed: packed})
}

// letGo takes a connection out of reach before it may serve somebody else.
func (driver *driver) letGo(task *itemdriver.Task) {
	driver.lock.Lock()
	defer driver.lock.Unlock()
	delete(driver.connections, task)
}

// refused handles an answer that is no stream of events.
func (driver *driver) refused(route *routeconfig.Route, task *itemdriver.Task, grant *admission.Grant, notRun bool, status int) {
	switch {
	case status == http.StatusMisdirectedRequest:
		driver.release(route, task, grant, admission.ResultGoneAway, messages.Acknowledgement{Unbegun: true}, "another worker answers")
	case notRun:
		driver.release(route, task, grant, admission.ResultTurnedAway, messages.Acknowledgement{Unbegun: true}, "worker is full")
	case status == http.StatusUnprocessableEntity:
		grant.End(admission.ResultServed, clock.Now())
		driver.done(task, messages.Acknowledgement{Kind: messages.AckReject})
	case status == http.StatusInternalServerError:
		driver.release(route, task, grant, admission.ResultErrored, messages.Acknowledgement{Failed: true}, "worker failed")
	default:
		driver.release(route, task, grant, admission.ResultFailed, messages.Acknowledgement{}, "unexpected status "+strconv.Itoa(status))
	}
}

// yield breaks off a run that has to make room; the run itself sets the item back.
func (driver *driver) yield(task *itemdriver.Task) {
	driver.lock.Lock()
	defer driver.lock.Unlock()
	if !task.Item.Yield(task.Run) {
		return
	}
	if connection := driver.connections[task]; connection != nil {
		connection.Close()
	}
}

// release gives an item back with what was gathered.
func (driver *driver) release(route *routeconfig.Route, task *itemdriver.Task, grant *admission.Grant, result admission.Result, entry messages.Acknowledgement, why string) {
	entry.Kind = messages.AckRelease
	driver.lock.Lock()
	entry.Displaced = task.Item.Yielding()
	if entry.Displaced || task.Stopped() {
		// Our own doing: it says nothing against the worker.
		result = admission.ResultCalledOff
	}
	task.Item.SetBack(task.Run)
	driver.lock.Unlock()
	if entry.Displaced {
		driver.server.Gossip.Scheduler.Counters(route.Name).Displaced.Add(1)
	}
	grant.End(result, clock.Now())
	driver.done(task, entry)
	driver.server.Node.Log.Debug("item released", "item", task.Item.ID, "worker", grant.Worker.ID, "displaced", entry.Displaced, "why", why)
}

// done ends a task here and has its acknowledgement carried.
func (driver *driver) done(task *itemdriver.Task, entry messages.Acknowledgement) {
	driver.lock.Lock()
	delete(driver.connections, task)
	driver.core.Done(task, entry)
	driver.lock.Unlock()
	ring(driver.results)
	ring(driver.returns)
	ring(driver.bell)
}

// outgoing writes an item's request.
func (driver *driver) outgoing(route *routeconfig.Route, task *itemdriver.Task, worker string) *proxy.Request {
	item, header := task.Item, http.Header{}
	for name, value := range item.Headers {
		header.Set(name, value)
	}
	own := map[string]string{"Lemonarch-Attempt-Id": item.ID, "Lemonarch-Target-Worker": worker}
	if item.LastID > 0 {
		own["Last-Event-Id"] = strconv.FormatInt(item.LastID, 10)
	}
	left := item.Lot.SentMs + route.Retain().Milliseconds() - clock.Wall()/1_000_000
	return &proxy.Request{Method: http.MethodPost, Attempt: item.ID, Seal: true, Repeatable: true, Patience: 2 * constants.SilentWorker,
		Text:  proxy.Head(http.MethodPost, item.Path, item.Lot.Host, proxy.Passed(header), own, item.Body),
		Until: clock.Now().Plus(max(clock.Milliseconds(float64(left)), constants.RunLeast)),
		Halt: func(connection *workerconn.Connection) {
			driver.lock.Lock()
			defer driver.lock.Unlock()
			driver.connections[task] = connection
			if !task.May(clock.Now()) || task.Item.Yielding() {
				// Stopped while its connection was being opened: nothing is sent.
				driver.core.Stop(task)
				connection.Close()
			}
		}}
}
