package store

import (
	"fmt"
	"testing"

	"lemonarch/internal/batch/lots"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
	"lemonarch/internal/traffic/admission"
)

// simCluster is a fleet of stores with workers and benches: the holder's bench places
// items, three edge benches place live requests of rank 0, all on the same workers.
type simCluster struct {
	*simFleet
	benches    map[string]*admission.Scheduler
	workerList map[string]int
	cut        map[string]bool
	running    map[*lots.Item]func()
	// What the outside saw: events of an item as its result was made durable, and
	// how each live request ended.
	results  map[string][]string
	live     map[int]int
	promised int
	asked    int
	taken    map[string]int
}

const (
	clusterSlots  = 6
	clusterEvents = 8
)

func newCluster(test *testing.T, seed int64) *simCluster {
	cluster := &simCluster{simFleet: newSimFleet(test, seed, 3), benches: map[string]*admission.Scheduler{}, workerList: map[string]int{},
		cut: map[string]bool{}, running: map[*lots.Item]func(){}, results: map[string][]string{}, live: map[int]int{}, taken: map[string]int{}}
	for _, name := range []string{"e0", "e1", "e2"} {
		cluster.scheduler(name, "gateway")
	}
	cluster.pump()
	return cluster
}

// scheduler makes a node's admission, as a process that starts would.
func (cluster *simCluster) scheduler(name, role string) {
	one := admission.New(messages.Entry{Name: name, Role: role, Zone: "h"}, 1_200_000_000_000)
	var list []messages.Worker
	for _, worker := range []string{"w0", "w1"} {
		list = append(list, messages.Worker{ID: worker, Backend: "s", Zone: "h", Capacity: clusterSlots, Count: 1})
	}
	one.Merge(list, cluster.world.Now)
	one.OnPressure(func(words []messages.Pressure) {
		told := &messages.PressureTold{From: role + "/" + name, Words: words}
		for _, other := range simulation.Keys(cluster.benches) {
			if other == name {
				continue
			}
			cluster.world.Send(name, other, func() {
				if cluster.benches[other] != nil {
					cluster.benches[other].Pressed(told, 1, cluster.world.Now)
				}
			})
		}
	})
	cluster.benches[name] = one
}

func (cluster *simCluster) pump() {
	for _, name := range simulation.Keys(cluster.benches) {
		cluster.benches[name].PumpWaiting(cluster.world.Now)
	}
	cluster.world.After(clock.Milliseconds(15), cluster.pump)
	// Gossip runs every fourth time: the bursts are short too.
	if cluster.taken["pumps"]++; cluster.taken["pumps"]%4 == 0 {
		for _, name := range simulation.Keys(cluster.benches) {
			packet := cluster.benches[name].Gossip(cluster.world.Now)
			for _, other := range simulation.Keys(cluster.benches) {
				if other != name {
					cluster.benches[other].Heard(packet, cluster.world.Now)
				}
			}
		}
	}
}

// request is one live request of the high rank: served, or promised never to run.
func (cluster *simCluster) request() {
	cluster.asked++
	number := cluster.asked
	scheduler := cluster.benches[fmt.Sprint("e", number%3)]
	done := func(answer admission.Answer) {
		cluster.live[number]++
		if answer.Verdict != admission.VerdictGranted {
			cluster.promised++
			return
		}
		cluster.arrive(answer.Grant)
		cluster.world.After(clock.Milliseconds(40+40*cluster.world.Random.Float64()), func() { cluster.leave(answer.Grant, admission.ResultServed) })
	}
	answer, _ := scheduler.Admit(&admission.Ask{Service: "s", Priority: 0, Setpoint: 200_000_000,
		Patience: cluster.world.Now.Plus(clock.Milliseconds(150))}, done, cluster.world.Now)
	if answer.Verdict != admission.VerdictQueued {
		done(answer)
	}
}

// arrive takes a place at a worker, which tells its load to whoever asked; leave
// gives it back.
func (cluster *simCluster) arrive(grant *admission.Grant) {
	cluster.workerList[grant.Worker.ID]++
	grant.First(fmt.Sprintf("%d,0,%d", cluster.workerList[grant.Worker.ID], clusterSlots), cluster.world.Now)
}

func (cluster *simCluster) leave(grant *admission.Grant, result admission.Result) {
	cluster.workerList[grant.Worker.ID]--
	grant.End(result, cluster.world.Now)
}

// dispatch runs items of the present holder wherever its bench finds room.
func (cluster *simCluster) dispatch() {
	defer cluster.world.After(clock.Milliseconds(10), cluster.dispatch)
	holder := cluster.holder
	if holder == nil || !holder.ready || cluster.stores[holder.at].down {
		return
	}
	name := fmt.Sprint("holder", holder.epoch)
	if cluster.benches[name] == nil {
		// Another process: whatever the one before ran is broken off by the workers.
		for old := range cluster.benches {
			if old[0] == 'h' {
				delete(cluster.benches, old)
			}
		}
		cluster.running = map[*lots.Item]func(){}
		cluster.scheduler(name, "store")
	}
	for _, lot := range holder.book.Lots() {
		for _, item := range lot.Items {
			if item.State == lots.ItemAvailable {
				cluster.start(holder, name, item)
			}
		}
	}
}

func (cluster *simCluster) start(holder *simHolder, name string, item *lots.Item) {
	answer, _ := cluster.benches[name].Admit(&admission.Ask{Service: "s", Bulk: true, Priority: 2}, nil, cluster.world.Now)
	if answer.Verdict != admission.VerdictGranted {
		return
	}
	run := item.Begin()
	if run == 0 {
		answer.Grant.End(admission.ResultCalledOff, cluster.world.Now)
		return
	}
	cluster.arrive(answer.Grant)
	over := false
	setBack := func(result admission.Result) {
		if !over {
			over = true
			item.SetBack(run)
			cluster.leave(answer.Grant, result)
		}
	}
	if item.Displaced < 3 {
		answer.Grant.MayYield(func() {
			if item.Yield(run) {
				cluster.taken["displaced"]++
				cluster.world.After(clock.Milliseconds(1), func() { setBack(admission.ResultCalledOff) })
			}
		})
	}
	// The worker streams from where the run began, and sometimes cuts.
	next := item.LastID + 1
	var step func()
	step = func() {
		switch {
		case over:
		case cluster.holder != holder:
			// Its process is gone or fenced: the worker drops the run.
			setBack(admission.ResultCalledOff)
		case cluster.world.Random.Float64() < 0.01:
			setBack(admission.ResultFailed)
		case next <= clusterEvents:
			item.Gather(run, [][]byte{[]byte(fmt.Sprintf("%s.%d", item.ID, next))}, next)
			next++
			cluster.world.After(clock.Milliseconds(12), step)
		default:
			cluster.finish(holder, item, run)
			if !over {
				over = true
				cluster.leave(answer.Grant, admission.ResultServed)
			}
		}
	}
	cluster.world.After(clock.Milliseconds(12), step)
}

func (cluster *simCluster) finish(holder *simHolder, item *lots.Item, run int) {
	if !item.Finish(run) {
		item.SetBack(run)
		return
	}
	lot := item.Lot
	position := cluster.place(holder, lot)
	text := ""
	for _, piece := range item.Pieces {
		text += string(piece) + "\n"
	}
	holder.submit(messages.Record{Kind: messages.RecordOutput, Lot: lot.ID, Item: item.ID, Position: position, Body: []byte(text)})
}

// place counts the positions given so far, durable or on their way.
func (cluster *simCluster) place(holder *simHolder, lot *lots.Lot) int {
	count := len(lot.Listings)
	for _, record := range holder.records {
		if record.Index > holder.applied && record.Kind == messages.RecordOutput && record.Lot == lot.ID {
			count++
		}
	}
	return count
}
