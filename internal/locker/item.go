package locker

import (
	"bytes"
	"net/http"
	"strconv"

	"lemonarch/internal/almanac"
	"lemonarch/internal/carriage"
	"lemonarch/internal/chisel"
	"lemonarch/internal/jig"
	"lemonarch/internal/ledgerbox"
	"lemonarch/internal/mishap"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
	"lemonarch/internal/workbench"
)

// run takes one item to one worker and gathers its events.
func (reign *reign) run(route *jig.Route, item *ledgerbox.Item, run int, grant *workbench.Grant) {
	courier, begun := &reign.locker.Jointer.Courier, watch.Now()
	letter := reign.letter(route, item, grant.Worker.ID)
	delivery, _, failure := courier.Carry(grant, letter)
	if failure != nil {
		outcome := workbench.OutcomeFailed
		if mishap.Of(failure, chisel.Spent) {
			outcome = workbench.OutcomeTurnedAway
		}
		reign.setBack(route, item, run, grant, outcome, failure.Error())
		return
	}
	grant.First(delivery.Load, watch.Now())
	status := delivery.Answer.StatusCode
	if delivery.NotRun || status >= 300 {
		_, whole, failure := courier.ReadBody(delivery, almanac.BufferedAnswer)
		reign.letGo(item)
		if failure == nil && whole {
			courier.Finish(delivery)
		} else {
			courier.Abandon(delivery)
		}
		reign.workerRefused(route, item, run, grant, delivery.NotRun, status)
		return
	}
	reign.lock.Lock()
	reign.ring()
	reign.lock.Unlock()
	splitter := &carriage.Splitter{}
	if item.LastID > 0 {
		splitter.Next = item.LastID + 1
	}
	failure = courier.Stream(delivery, splitter, letter.Until, letter.Patience, func(events []byte) error {
		reign.lock.Lock()
		defer reign.lock.Unlock()
		if reign.over() || !item.Gather(run, carriage.Data(events), splitter.Last) {
			return carriage.NotSent.New("called off")
		}
		return nil
	})
	if failure != nil {
		reign.letGo(item)
		courier.Abandon(delivery)
		reign.setBack(route, item, run, grant, workbench.OutcomeFailed, failure.Error())
		return
	}
	reign.letGo(item)
	courier.Finish(delivery)
	grant.End(workbench.OutcomeServed, watch.Now())
	reign.lock.Lock()
	defer reign.lock.Unlock()
	if run == 1 {
		const share = 0.05
		reign.took += share * (watch.ToMilliseconds(watch.Now().Since(begun)) - reign.took)
	}
	reign.finish(route, item, run, bytes.Join(item.Pieces, []byte("\n")), false)
}

// letGo takes a pipe out of reach before it may serve somebody else.
func (reign *reign) letGo(item *ledgerbox.Item) {
	reign.lock.Lock()
	defer reign.lock.Unlock()
	if _, still := reign.running[item]; still {
		reign.running[item] = nil
	}
}

// workerRefused handles an answer that is no stream of events.
func (reign *reign) workerRefused(route *jig.Route, item *ledgerbox.Item, run int, grant *workbench.Grant, notRun bool, status int) {
	switch {
	case status == http.StatusMisdirectedRequest:
		reign.setBack(route, item, run, grant, workbench.OutcomeGoneAway, "another worker answers")
	case notRun:
		reign.setBack(route, item, run, grant, workbench.OutcomeTurnedAway, "worker is full")
	case status == http.StatusUnprocessableEntity:
		grant.End(workbench.OutcomeServed, watch.Now())
		reign.lock.Lock()
		defer reign.lock.Unlock()
		reign.finish(route, item, run, nil, true)
	case status == http.StatusInternalServerError:
		reign.lock.Lock()
		item.Fails++
		over := item.Fails >= route.Tries
		if over {
			reign.finish(route, item, run, nil, true)
		}
		reign.lock.Unlock()
		if over {
			grant.End(workbench.OutcomeServed, watch.Now())
			return
		}
		reign.setBack(route, item, run, grant, workbench.OutcomeServed, "worker failed")
	default:
		reign.setBack(route, item, run, grant, workbench.OutcomeFailed, "unexpected status "+strconv.Itoa(status))
	}
}

// yield breaks off a run that has to make room; the run itself sets the item back.
func (reign *reign) yield(item *ledgerbox.Item, run int) {
	reign.lock.Lock()
	defer reign.lock.Unlock()
	if !item.Yield(run) {
		return
	}
	if pipe := reign.running[item]; pipe != nil {
		pipe.Close()
	}
}

// setBack gives an item its place in the queue again, with what was gathered.
func (reign *reign) setBack(route *jig.Route, item *ledgerbox.Item, run int, grant *workbench.Grant, outcome workbench.Outcome, why string) {
	now := watch.Now()
	reign.lock.Lock()
	displaced := item.Yielding()
	if item.SetBack(run) {
		delete(reign.running, item)
		reign.retry[item] = now.Plus(almanac.RetryItem)
	}
	if displaced {
		// Our own doing: it says nothing against the worker.
		outcome = workbench.OutcomeCalledOff
		reign.tally(route.Name).Displaced.Add(1)
	}
	reign.lock.Unlock()
	grant.End(outcome, now)
	reign.locker.Stand.Log.Debug("item set back", "item", item.ID, "worker", grant.Worker.ID, "displaced", displaced, "why", why)
}

// finish has an item's result made durable at the next position. The lock is held.
func (reign *reign) finish(route *jig.Route, item *ledgerbox.Item, run int, text []byte, dropped bool) {
	if reign.over() || reign.ending[item.Lot.ID] {
		delete(reign.running, item)
		return
	}
	if (dropped && !item.GiveUp(run)) || (!dropped && !item.Finish(run)) {
		// It was asked to make room in its last moment: its run counts as set back.
		if item.SetBack(run) {
			delete(reign.running, item)
		}
		return
	}
	delete(reign.running, item)
	delete(reign.retry, item)
	if route != nil && item.Displaced > 0 {
		reign.tally(route.Name).Finished.Add(1)
	}
	if dropped {
		reign.counts.dropped++
	} else {
		reign.counts.settled++
	}
	lot := item.Lot
	position := len(lot.Listings) + reign.filling[lot.ID]
	reign.filling[lot.ID]++
	reign.submit(pattern.Record{Kind: pattern.RecordOutput, Lot: lot.ID, Item: item.ID, Position: position, Dropped: dropped, Body: text})
}

// tally gives the counts of a route for the operator. The lock is held.
func (reign *reign) tally(route string) *workbench.Tally {
	return reign.locker.Jointer.Bench.Tally(route)
}
