package locker

import (
	"net/http"
	"strconv"

	"lemonarch/internal/almanac"
	"lemonarch/internal/carriage"
	"lemonarch/internal/chisel"
	"lemonarch/internal/jig"
	"lemonarch/internal/ledgerbox"
	"lemonarch/internal/plumbline"
	"lemonarch/internal/watch"
	"lemonarch/internal/workbench"
)

// dispatch starts items wherever live traffic leaves room.
func (reign *reign) dispatch() {
	for !reign.over() {
		if reign.locker.holds() {
			reign.startSome()
		}
		reign.lock.Lock()
		bell := reign.bell
		reign.lock.Unlock()
		select {
		case <-bell:
			// Many bells ring at once: look at the places a little later, together.
			watch.Sleep(almanac.PumpPeriod / 2)
		case <-watch.After(almanac.TickPeriod):
		case <-reign.stop:
		}
	}
}

// startSome starts waiting items, the lots due soonest first.
func (reign *reign) startSome() {
	config := reign.locker.Stand.Config()
	if config == nil {
		return
	}
	now, wall := watch.Now(), watch.Wall()/1_000_000
	full := map[string]bool{}
	for _, late := range []bool{false, true} {
		reign.lock.Lock()
		var ready []*ledgerbox.Item
		for _, lot := range reign.book.Lots() {
			if !lot.Open() || reign.ending[lot.ID] {
				continue
			}
			route := routeOf(config, lot.Host, lot.Path)
			// What can still be in time goes before what would be late however soon.
			if past := route != nil && float64(wall-lot.SentMs)+reign.took > route.ResultMs; past != late {
				continue
			}
			for _, item := range lot.Items {
				if item.State != ledgerbox.ItemWaiting {
					continue
				}
				if route == nil || wall-lot.SentMs > route.Retain().Milliseconds() {
					reign.finish(route, item, 0, nil, true)
				} else if len(reign.running) < almanac.RunningItems && now >= reign.retry[item] {
					ready = append(ready, item)
				}
			}
		}
		reign.lock.Unlock()
		for _, item := range ready {
			if !reign.start(config, item, full) && len(full) > 0 && len(full) >= len(config.Services) {
				break
			}
		}
	}
}

// start places one item; false when there is no room for it now.
func (reign *reign) start(config *jig.Config, item *ledgerbox.Item, full map[string]bool) bool {
	route := routeOf(config, item.Lot.Host, item.Lot.Path)
	if own := routeOf(config, item.Lot.Host, item.Path); own != nil {
		route = own
	}
	if route == nil {
		return false
	}
	service := route.Nominate(watch.Draw())
	if full[service] {
		return false
	}
	now := watch.Now()
	ask := &workbench.Ask{Service: service, Affine: route.Affine, Bulk: true, Priority: route.Priority, Setpoint: route.Setpoint(),
		Prompt: plumbline.ParsePrompt(item.Headers["Lemonarch-Model"], item.Headers["Lemonarch-Token-Count"], item.Headers["Lemonarch-Prompt-Prefix"])}
	answer, _ := reign.locker.Jointer.Bench.Admit(ask, nil, now)
	if answer.Verdict != workbench.VerdictGranted {
		full[service] = true
		return false
	}
	reign.lock.Lock()
	run := 0
	if !reign.over() && !reign.ending[item.Lot.ID] && len(reign.running) < almanac.RunningItems {
		run = item.Begin()
	}
	if run == 0 {
		reign.lock.Unlock()
		answer.Grant.End(workbench.OutcomeCalledOff, now)
		return false
	}
	reign.running[item] = nil
	if item.Owed {
		item.Owed = false
		reign.tally(route.Name).Resumed.Add(1)
	}
	displaceable := item.Displaced < almanac.DisplaceLimit
	reign.lock.Unlock()
	if displaceable {
		answer.Grant.MayYield(func() { reign.yield(item, run) })
	}
	go reign.run(route, item, run, answer.Grant)
	return true
}

// letter writes an item's request.
func (reign *reign) letter(route *jig.Route, item *ledgerbox.Item, worker string) *carriage.Letter {
	header := http.Header{}
	for name, value := range item.Headers {
		header.Set(name, value)
	}
	own := map[string]string{"Lemonarch-Attempt-Id": item.ID, "Lemonarch-Target-Worker": worker}
	if item.LastID > 0 {
		own["Last-Event-Id"] = strconv.FormatInt(item.LastID, 10)
	}
	left := item.Lot.SentMs + route.Retain().Milliseconds() - watch.Wall()/1_000_000
	return &carriage.Letter{Method: http.MethodPost, Attempt: item.ID, Seal: true, Patience: 2 * almanac.SilentWorker,
		Text:  carriage.Head(http.MethodPost, item.Path, item.Lot.Host, carriage.Passed(header), own, item.Body),
		Until: watch.Now().Plus(watch.Milliseconds(float64(max(left, 1000)))),
		Halt: func(pipe *chisel.Pipe) {
			reign.lock.Lock()
			defer reign.lock.Unlock()
			if _, still := reign.running[item]; still {
				reign.running[item] = pipe
			}
		}}
}
