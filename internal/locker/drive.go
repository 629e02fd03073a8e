package locker

import (
	"bytes"
	"net/http"
	"strconv"

	"lemonarch/internal/almanac"
	"lemonarch/internal/apprentice"
	"lemonarch/internal/carriage"
	"lemonarch/internal/chisel"
	"lemonarch/internal/jig"
	"lemonarch/internal/mishap"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
	"lemonarch/internal/workbench"
)

// drive takes one item to one worker, gathers its events, and derives the
// acknowledgement from how the stream ends.
func (driver *driver) drive(route *jig.Route, task *apprentice.Task, grant *workbench.Grant) {
	courier := &driver.locker.Jointer.Courier
	letter := driver.letter(route, task, grant.Worker.ID)
	delivery, evidence, failure := courier.Carry(grant, letter)
	if failure != nil {
		outcome := workbench.OutcomeFailed
		switch {
		case mishap.Of(failure, chisel.Spent):
			outcome = workbench.OutcomeTurnedAway
		case mishap.Of(failure, chisel.NoPipe):
			outcome = workbench.OutcomeRefused
		case mishap.Of(failure, chisel.Silent):
			outcome = workbench.OutcomeSilent
		}
		driver.release(route, task, grant, outcome, pattern.Acknowledgement{Unbegun: !evidence.Sent}, failure.Error())
		return
	}
	status := delivery.Answer.StatusCode
	if delivery.NotRun || status >= 300 {
		grant.Told(delivery.Load, watch.Now())
		_, whole, failure := courier.ReadBody(delivery, almanac.BufferedAnswer)
		driver.letGo(task)
		if failure == nil && whole {
			courier.Finish(delivery)
		} else {
			courier.Abandon(delivery)
		}
		driver.refused(route, task, grant, delivery.NotRun, status)
		return
	}
	grant.First(delivery.Load, watch.Now())
	ring(driver.bell)
	driver.place()
	splitter := &carriage.Splitter{}
	if task.Item.LastID > 0 {
		splitter.Next = task.Item.LastID + 1
	}
	failure = courier.Stream(delivery, splitter, letter.Until, letter.Patience, func(events []byte) error {
		driver.lock.Lock()
		defer driver.lock.Unlock()
		if task.Stopped() || !task.Item.Gather(task.Run, carriage.Data(events), splitter.Last) {
			return carriage.NotSent.New("called off")
		}
		task.Moved(watch.Now())
		return nil
	})
	driver.letGo(task)
	if failure != nil {
		courier.Abandon(delivery)
		driver.release(route, task, grant, workbench.OutcomeFailed, pattern.Acknowledgement{}, failure.Error())
		return
	}
	courier.Finish(delivery)
	driver.lock.Lock()
	whole := task.Item.Finish(task.Run)
	displaced := task.Item.Displaced > 0
	driver.lock.Unlock()
	if !whole {
		// It was asked to make room in its last moment: its run counts as set back.
		driver.release(route, task, grant, workbench.OutcomeServed, pattern.Acknowledgement{}, "displaced at its end")
		return
	}
	if displaced {
		driver.locker.Jointer.Bench.Tally(route.Name).Finished.Add(1)
	}
	grant.End(workbench.OutcomeServed, watch.Now())
	text, packed := pack(bytes.Join(task.Item.Pieces, []byte("\n")))
	driver.done(task, pattern.Acknowledgement{Kind: pattern.AckAccept, Text: text, Packed: packed})
}

// letGo takes a pipe out of reach before it may serve somebody else.
func (driver *driver) letGo(task *apprentice.Task) {
	driver.lock.Lock()
	defer driver.lock.Unlock()
	delete(driver.pipes, task)
}

// refused handles an answer that is no stream of events.
func (driver *driver) refused(route *jig.Route, task *apprentice.Task, grant *workbench.Grant, notRun bool, status int) {
	switch {
	case status == http.StatusMisdirectedRequest:
		driver.release(route, task, grant, workbench.OutcomeGoneAway, pattern.Acknowledgement{Unbegun: true}, "another worker answers")
	case notRun:
		driver.release(route, task, grant, workbench.OutcomeTurnedAway, pattern.Acknowledgement{Unbegun: true}, "worker is full")
	case status == http.StatusUnprocessableEntity:
		grant.End(workbench.OutcomeServed, watch.Now())
		driver.done(task, pattern.Acknowledgement{Kind: pattern.AckReject})
	case status == http.StatusInternalServerError:
		driver.release(route, task, grant, workbench.OutcomeErrored, pattern.Acknowledgement{Failed: true}, "worker failed")
	default:
		driver.release(route, task, grant, workbench.OutcomeFailed, pattern.Acknowledgement{}, "unexpected status "+strconv.Itoa(status))
	}
}

// yield breaks off a run that has to make room; the run itself sets the item back.
func (driver *driver) yield(task *apprentice.Task) {
	driver.lock.Lock()
	defer driver.lock.Unlock()
	if !task.Item.Yield(task.Run) {
		return
	}
	if pipe := driver.pipes[task]; pipe != nil {
		pipe.Close()
	}
}

// release gives an item back with what was gathered.
func (driver *driver) release(route *jig.Route, task *apprentice.Task, grant *workbench.Grant, outcome workbench.Outcome, entry pattern.Acknowledgement, why string) {
	entry.Kind = pattern.AckRelease
	driver.lock.Lock()
	entry.Displaced = task.Item.Yielding()
	if entry.Displaced || task.Stopped() {
		// Our own doing: it says nothing against the worker.
		outcome = workbench.OutcomeCalledOff
	}
	task.Item.SetBack(task.Run)
	driver.lock.Unlock()
	if entry.Displaced {
		driver.locker.Jointer.Bench.Tally(route.Name).Displaced.Add(1)
	}
	grant.End(outcome, watch.Now())
	driver.done(task, entry)
	driver.locker.Stand.Log.Debug("item released", "item", task.Item.ID, "worker", grant.Worker.ID, "displaced", entry.Displaced, "why", why)
}

// done ends a task here and has its acknowledgement carried.
func (driver *driver) done(task *apprentice.Task, entry pattern.Acknowledgement) {
	driver.lock.Lock()
	delete(driver.pipes, task)
	driver.core.Done(task, entry)
	driver.lock.Unlock()
	ring(driver.results)
	ring(driver.returns)
	ring(driver.bell)
}

// letter writes an item's request.
func (driver *driver) letter(route *jig.Route, task *apprentice.Task, worker string) *carriage.Letter {
	item, header := task.Item, http.Header{}
	for name, value := range item.Headers {
		header.Set(name, value)
	}
	own := map[string]string{"Lemonarch-Attempt-Id": item.ID, "Lemonarch-Target-Worker": worker}
	if item.LastID > 0 {
		own["Last-Event-Id"] = strconv.FormatInt(item.LastID, 10)
	}
	left := item.Lot.SentMs + route.Retain().Milliseconds() - watch.Wall()/1_000_000
	return &carriage.Letter{Method: http.MethodPost, Attempt: item.ID, Seal: true, Repeatable: true, Patience: 2 * almanac.SilentWorker,
		Text:  carriage.Head(http.MethodPost, item.Path, item.Lot.Host, carriage.Passed(header), own, item.Body),
		Until: watch.Now().Plus(max(watch.Milliseconds(float64(left)), almanac.RunLeast)),
		Halt: func(pipe *chisel.Pipe) {
			driver.lock.Lock()
			defer driver.lock.Unlock()
			driver.pipes[task] = pipe
			if !task.May(watch.Now()) || task.Item.Yielding() {
				// Stopped while its pipe was being opened: nothing is sent.
				driver.core.Stop(task)
				pipe.Close()
			}
		}}
}
