package locker

import (
	"fmt"
	"testing"

	"lemonarch/internal/ledgerbox"
	"lemonarch/internal/model"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
	"lemonarch/internal/workbench"
)

// simYard is a fleet of stores with workers and benches: the holder's bench places
// items, three edge benches place live requests of rank 0, all on the same workers.
type simYard struct {
	*simFleet
	benches map[string]*workbench.Workbench
	workers map[string]int
	cut     map[string]bool
	running map[*ledgerbox.Item]func()
	// What the outside saw: events of an item as its result was made durable, and
	// how each live request ended.
	results  map[string][]string
	live     map[int]int
	promised int
	asked    int
	taken    map[string]int
}

const (
	yardSlots  = 6
	yardEvents = 8
)

func newYard(test *testing.T, seed int64) *simYard {
	yard := &simYard{simFleet: newSimFleet(test, seed, 3), benches: map[string]*workbench.Workbench{}, workers: map[string]int{},
		cut: map[string]bool{}, running: map[*ledgerbox.Item]func(){}, results: map[string][]string{}, live: map[int]int{}, taken: map[string]int{}}
	for _, name := range []string{"e0", "e1", "e2"} {
		yard.bench(name, "forge")
	}
	yard.pump()
	return yard
}

// bench makes a node's workbench, as a process that starts would.
func (yard *simYard) bench(name, role string) {
	one := workbench.New(pattern.Entry{Name: name, Role: role, Hall: "h"}, 1_200_000_000_000)
	var list []pattern.Worker
	for _, worker := range []string{"w0", "w1"} {
		list = append(list, pattern.Worker{ID: worker, Backend: "s", Hall: "h", Capacity: yardSlots, Count: 1})
	}
	one.Merge(list, yard.world.Now)
	one.OnPressure(func(words []pattern.Pressure) {
		told := &pattern.PressureTold{From: role + "/" + name, Words: words}
		for _, other := range model.Keys(yard.benches) {
			if other == name {
				continue
			}
			yard.world.Send(name, other, func() {
				if yard.benches[other] != nil {
					yard.benches[other].Pressed(told, 1, yard.world.Now)
				}
			})
		}
	})
	yard.benches[name] = one
}

func (yard *simYard) pump() {
	for _, name := range model.Keys(yard.benches) {
		yard.benches[name].PumpWaiting(yard.world.Now)
	}
	yard.world.After(watch.Milliseconds(15), yard.pump)
	// Gossip runs every fourth time: the bursts are short too.
	if yard.taken["pumps"]++; yard.taken["pumps"]%4 == 0 {
		for _, name := range model.Keys(yard.benches) {
			packet := yard.benches[name].Gossip(yard.world.Now)
			for _, other := range model.Keys(yard.benches) {
				if other != name {
					yard.benches[other].Heard(packet, yard.world.Now)
				}
			}
		}
	}
}

// request is one live request of the high rank: served, or promised never to run.
func (yard *simYard) request() {
	yard.asked++
	number := yard.asked
	bench := yard.benches[fmt.Sprint("e", number%3)]
	done := func(answer workbench.Answer) {
		yard.live[number]++
		if answer.Verdict != workbench.VerdictGranted {
			yard.promised++
			return
		}
		yard.arrive(answer.Grant)
		yard.world.After(watch.Milliseconds(40+40*yard.world.Random.Float64()), func() { yard.leave(answer.Grant, workbench.OutcomeServed) })
	}
	answer, _ := bench.Admit(&workbench.Ask{Service: "s", Priority: 0, Setpoint: 200_000_000,
		Patience: yard.world.Now.Plus(watch.Milliseconds(150))}, done, yard.world.Now)
	if answer.Verdict != workbench.VerdictQueued {
		done(answer)
	}
}

// arrive takes a place at a worker, which tells its load to whoever asked; leave
// gives it back.
func (yard *simYard) arrive(grant *workbench.Grant) {
	yard.workers[grant.Worker.ID]++
	grant.First(fmt.Sprintf("%d,0,%d", yard.workers[grant.Worker.ID], yardSlots), yard.world.Now)
}

func (yard *simYard) leave(grant *workbench.Grant, outcome workbench.Outcome) {
	yard.workers[grant.Worker.ID]--
	grant.End(outcome, yard.world.Now)
}

// dispatch runs items of the present holder wherever its bench finds room.
func (yard *simYard) dispatch() {
	defer yard.world.After(watch.Milliseconds(10), yard.dispatch)
	holder := yard.holder
	if holder == nil || !holder.ready || yard.stores[holder.at].down {
		return
	}
	name := fmt.Sprint("holder", holder.epoch)
	if yard.benches[name] == nil {
		// Another process: whatever the one before ran is broken off by the workers.
		for old := range yard.benches {
			if old[0] == 'h' {
				delete(yard.benches, old)
			}
		}
		yard.running = map[*ledgerbox.Item]func(){}
		yard.bench(name, "locker")
	}
	for _, lot := range holder.book.Lots() {
		for _, item := range lot.Items {
			if item.State == ledgerbox.ItemAvailable {
				yard.start(holder, name, item)
			}
		}
	}
}

func (yard *simYard) start(holder *simHolder, name string, item *ledgerbox.Item) {
	answer, _ := yard.benches[name].Admit(&workbench.Ask{Service: "s", Bulk: true, Priority: 2}, nil, yard.world.Now)
	if answer.Verdict != workbench.VerdictGranted {
		return
	}
	run := item.Begin()
	if run == 0 {
		answer.Grant.End(workbench.OutcomeCalledOff, yard.world.Now)
		return
	}
	yard.arrive(answer.Grant)
	over := false
	setBack := func(outcome workbench.Outcome) {
		if !over {
			over = true
			item.SetBack(run)
			yard.leave(answer.Grant, outcome)
		}
	}
	if item.Displaced < 3 {
		answer.Grant.MayYield(func() {
			if item.Yield(run) {
				yard.taken["displaced"]++
				yard.world.After(watch.Milliseconds(1), func() { setBack(workbench.OutcomeCalledOff) })
			}
		})
	}
	// The worker streams from where the run began, and sometimes cuts.
	next := item.LastID + 1
	var step func()
	step = func() {
		switch {
		case over:
		case yard.holder != holder:
			// Its process is gone or fenced: the worker drops the run.
			setBack(workbench.OutcomeCalledOff)
		case yard.world.Random.Float64() < 0.01:
			setBack(workbench.OutcomeFailed)
		case next <= yardEvents:
			item.Gather(run, [][]byte{[]byte(fmt.Sprintf("%s.%d", item.ID, next))}, next)
			next++
			yard.world.After(watch.Milliseconds(12), step)
		default:
			yard.finish(holder, item, run)
			if !over {
				over = true
				yard.leave(answer.Grant, workbench.OutcomeServed)
			}
		}
	}
	yard.world.After(watch.Milliseconds(12), step)
}

func (yard *simYard) finish(holder *simHolder, item *ledgerbox.Item, run int) {
	if !item.Finish(run) {
		item.SetBack(run)
		return
	}
	lot := item.Lot
	position := yard.place(holder, lot)
	text := ""
	for _, piece := range item.Pieces {
		text += string(piece) + "\n"
	}
	holder.submit(pattern.Record{Kind: pattern.RecordOutput, Lot: lot.ID, Item: item.ID, Position: position, Body: []byte(text)})
}

// place counts the positions given so far, durable or on their way.
func (yard *simYard) place(holder *simHolder, lot *ledgerbox.Lot) int {
	count := len(lot.Listings)
	for _, record := range holder.records {
		if record.Index > holder.applied && record.Kind == pattern.RecordOutput && record.Lot == lot.ID {
			count++
		}
	}
	return count
}
