package locker

import (
	"bytes"
	"net/http"
	"strconv"

	"lemonarch/internal/almanac"
	"lemonarch/internal/carriage"
	"lemonarch/internal/jig"
	"lemonarch/internal/ledgerbox"
	"lemonarch/internal/mishap"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
	"lemonarch/internal/workbench"
)

// run takes one item to one worker and gathers its events.
func (reign *reign) run(route *jig.Route, item *ledgerbox.Item, grant *workbench.Grant) {
	courier := &reign.locker.Jointer.Courier
	letter := reign.letter(route, item, grant.Worker.ID)
	delivery, _, failure := courier.Carry(grant, letter)
	if failure != nil {
		outcome := workbench.OutcomeFailed
		if mishap.Of(failure, carriage.NotSent) {
			outcome = workbench.OutcomeTurnedAway
		}
		reign.setBack(item, grant, outcome, failure.Error())
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
		reign.workerRefused(route, item, grant, delivery.NotRun, status)
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
		if reign.over() || item.Lot.Ended {
			return carriage.NotSent.New("called off")
		}
		item.Pieces = append(item.Pieces, carriage.Data(events)...)
		if splitter.Started {
			item.LastID = splitter.Last
		}
		return nil
	})
	if failure != nil {
		reign.letGo(item)
		courier.Abandon(delivery)
		reign.setBack(item, grant, workbench.OutcomeFailed, failure.Error())
		return
	}
	reign.letGo(item)
	courier.Finish(delivery)
	grant.End(workbench.OutcomeServed, watch.Now())
	reign.lock.Lock()
	defer reign.lock.Unlock()
	reign.finish(item, bytes.Join(item.Pieces, []byte("\n")), false)
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
func (reign *reign) workerRefused(route *jig.Route, item *ledgerbox.Item, grant *workbench.Grant, notRun bool, status int) {
	switch {
	case status == http.StatusMisdirectedRequest:
		reign.setBack(item, grant, workbench.OutcomeGoneAway, "another worker answers")
	case notRun:
		reign.setBack(item, grant, workbench.OutcomeTurnedAway, "worker is full")
	case status == http.StatusUnprocessableEntity:
		grant.End(workbench.OutcomeServed, watch.Now())
		reign.lock.Lock()
		defer reign.lock.Unlock()
		reign.finish(item, nil, true)
	case status == http.StatusInternalServerError:
		reign.lock.Lock()
		item.Fails++
		over := item.Fails >= route.Tries
		if over {
			reign.finish(item, nil, true)
		}
		reign.lock.Unlock()
		if over {
			grant.End(workbench.OutcomeServed, watch.Now())
			return
		}
		reign.setBack(item, grant, workbench.OutcomeServed, "worker failed")
	default:
		reign.setBack(item, grant, workbench.OutcomeFailed, "unexpected status "+strconv.Itoa(status))
	}
}

// setBack gives an item its place in the queue again, with what was gathered.
func (reign *reign) setBack(item *ledgerbox.Item, grant *workbench.Grant, outcome workbench.Outcome, why string) {
	now := watch.Now()
	grant.End(outcome, now)
	reign.lock.Lock()
	defer reign.lock.Unlock()
	delete(reign.running, item)
	reign.counts.setBack++
	item.SetBack++
	if item.State == ledgerbox.ItemRunning {
		item.State = ledgerbox.ItemWaiting
		reign.retry[item] = now.Plus(almanac.RetryItem)
	}
	reign.locker.Stand.Log.Debug("item set back", "item", item.ID, "worker", grant.Worker.ID, "last", item.LastID, "why", why)
}

// finish has an item's result made durable at the next position. The lock is held.
func (reign *reign) finish(item *ledgerbox.Item, text []byte, dropped bool) {
	delete(reign.running, item)
	delete(reign.retry, item)
	if reign.over() || item.State == ledgerbox.ItemFinished || item.State == ledgerbox.ItemListed || item.Lot.Ended || reign.ending[item.Lot.ID] {
		return
	}
	item.State = ledgerbox.ItemFinished
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
