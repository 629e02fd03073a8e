package store

import (
	"fmt"

	"lemonarch/internal/batch/itemdriver"
	"lemonarch/internal/batch/lots"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// simDriver is a driver node in a shareCluster: the real core, simulated messages and
// workers.
type simDriver struct {
	cluster *shareCluster
	name    string
	core    *itemdriver.Runner
	life    int64
	asking  bool
	telling [2]bool
	renewed clock.Moment
	shown   uint64
}

func (driver *simDriver) now() clock.Moment { return driver.cluster.clockValue(driver.name) }

func (driver *simDriver) loop() {
	cluster := driver.cluster
	defer cluster.world.After(clock.Milliseconds(20+5*cluster.world.Random.Float64()), driver.loop)
	if cluster.frozen[driver.name] {
		return
	}
	driver.halt(driver.core.Lapsed(driver.now()))
	if all, _ := driver.core.Count(); all < 4 && !driver.asking {
		driver.acquire()
	}
	due := driver.now().Since(driver.renewed) >= lockLength(shareCancel)/4
	if cluster.holder != nil && (due || cluster.holder.epoch > driver.shown) {
		driver.shown = cluster.holder.epoch
		driver.renew()
	}
	driver.tell(0, driver.core.Results())
	driver.tell(1, driver.core.Returns())
}

// at runs a function at the machine unless it is frozen or started anew by then.
func (driver *simDriver) at(life int64, function func()) func() {
	return func() {
		if driver.life == life {
			function()
		}
	}
}

func (driver *simDriver) who() lots.Driver {
	return lots.Driver{Name: driver.name, Life: driver.life, Address: driver.name}
}

func (driver *simDriver) acquire() {
	cluster, holder, life := driver.cluster, driver.cluster.holder, driver.life
	if holder == nil {
		return
	}
	driver.asking = true
	asked, who := driver.now(), driver.who()
	answered := false
	cluster.world.After(clock.Milliseconds(200), driver.at(life, func() {
		// The question timed out: an answer that comes later is dropped.
		if !answered {
			answered, driver.asking = true, false
		}
	}))
	cluster.send(driver.name, holder.at, func() {
		one := cluster.serving(holder)
		if one == nil {
			return
		}
		answer := &messages.Acquired{LockMs: clock.ToMilliseconds(one.Lock)}
		ask := &lots.AcquireAsk{Driver: who, Room: map[string]int{"s": 2}, Terms: cluster.terms,
			Service: func(*lots.Item) string { return "s" }}
		for _, given := range one.Acquire(ask, cluster.clockValue(holder.at)) {
			item := given.Item
			answer.Items = append(answer.Items, messages.AcquiredItem{Number: given.Number, Lot: item.Lot.ID, Item: item.LotItem, LastID: item.LastID,
				Pieces: item.Pieces[:len(item.Pieces):len(item.Pieces)], Displaced: item.Displaced})
		}
		cluster.send(holder.at, driver.name, driver.at(life, func() {
			if answered {
				return
			}
			answered, driver.asking = true, false
			for _, task := range driver.core.Take(answer, asked, driver.now()) {
				driver.begin(task)
			}
			cluster.single()
		}))
	})
}

func (driver *simDriver) acknowledge(entries []messages.Acknowledgement, epoch uint64, heard func(verdicts []messages.AckVerdict)) {
	cluster, holder, life, who := driver.cluster, driver.cluster.holder, driver.life, driver.who()
	if holder == nil {
		return
	}
	cluster.send(driver.name, holder.at, func() {
		one := cluster.serving(holder)
		if one == nil {
			return
		}
		var verdicts []messages.AckVerdict
		last := int64(0)
		one.Heard(who, cluster.clockValue(holder.at))
		for place := range entries {
			step := one.Acknowledge(who, &entries[place], cluster.clockValue(holder.at))
			verdicts = append(verdicts, step.Verdict)
			last = max(last, step.Index)
		}
		if epoch > 0 {
			one.Listed(who, epoch, cluster.clockValue(holder.at))
		}
		cluster.whenDurable(holder, last, 100, func() {
			cluster.send(holder.at, driver.name, driver.at(life, func() { heard(verdicts) }))
		})
	})
}

func (driver *simDriver) renew() {
	asked := driver.now()
	driver.renewed = asked
	if driver.cluster.holder == nil {
		return
	}
	epoch := driver.cluster.holder.epoch
	driver.core.Fence(epoch)
	if entries := driver.core.Renewals(asked); true {
		driver.acknowledge(entries, epoch, func(verdicts []messages.AckVerdict) {
			driver.halt(driver.core.Renewed(entries, verdicts, asked, lockLength(shareCancel)))
		})
	}
}

// tell repeats a batch until it is answered.
func (driver *simDriver) tell(lane int, batch []messages.Acknowledgement) {
	if len(batch) == 0 || driver.telling[lane] {
		return
	}
	driver.telling[lane] = true
	life := driver.life
	driver.cluster.world.After(clock.Milliseconds(120), driver.at(life, func() { driver.telling[lane] = false }))
	driver.acknowledge(batch, 0, func(verdicts []messages.AckVerdict) {
		for place, entry := range batch {
			if verdicts[place] != messages.AckTaken {
				continue
			}
			switch entry.Kind {
			case messages.AckAccept:
				driver.cluster.accepted[entry.Item] = string(entry.Text)
			case messages.AckReject:
				driver.cluster.accepted[entry.Item] = "rejected"
			}
		}
		driver.core.Answered(batch, verdicts)
	})
}

// halt closes the connections of runs: each sets its item back.
func (driver *simDriver) halt(tasks []*itemdriver.Task) {
	for _, task := range tasks {
		driver.release(task, messages.Acknowledgement{})
	}
}

func (driver *simDriver) release(task *itemdriver.Task, entry messages.Acknowledgement) {
	entry.Kind = messages.AckRelease
	entry.Displaced = task.Item.Yielding()
	task.Item.SetBack(task.Run)
	driver.core.Done(task, entry)
}

// begin brings a task to a worker, which streams from where it is asked to.
func (driver *simDriver) begin(task *itemdriver.Task) {
	cluster, life := driver.cluster, driver.life
	cluster.world.After(clock.Milliseconds(10*cluster.world.Random.Float64()), driver.at(life, func() {
		if cluster.frozen[driver.name] || !task.May(driver.now()) {
			return
		}
		if acked, ended := cluster.endAcked[task.Item.Lot.ID]; ended && cluster.world.Now.Since(acked) > clock.Milliseconds(shareCancel) {
			cluster.test.Fatalf("%s reaches a worker %v after the end of its lot", task.Item.ID, cluster.world.Now.Since(acked))
		}
		task.Begun = true
		chance := cluster.world.Random.Float64()
		switch {
		case cluster.rejected[task.Item.ID]:
			driver.core.Done(task, messages.Acknowledgement{Kind: messages.AckReject})
		case chance < 0.08:
			cluster.failures[task.Item.ID]++
			driver.release(task, messages.Acknowledgement{Failed: true})
		default:
			driver.stream(task, task.Item.LastID+1)
		}
	}))
}

func (driver *simDriver) stream(task *itemdriver.Task, next int64) {
	cluster, life := driver.cluster, driver.life
	cluster.world.After(clock.Milliseconds(20+200*cluster.world.Random.Float64()), driver.at(life, func() {
		switch {
		case task.Stopped():
		case cluster.frozen[driver.name]:
			// The events wait in the machine's buffers.
			cluster.thawed[driver.name] = append(cluster.thawed[driver.name], driver.at(life, func() { driver.stream(task, next) }))
		case cluster.world.Random.Float64() < 0.03:
			driver.release(task, messages.Acknowledgement{})
		case cluster.world.Random.Float64() < 0.02 && task.Item.Yield(task.Run):
			driver.release(task, messages.Acknowledgement{})
		case next <= shareEvents:
			if task.Item.Gather(task.Run, [][]byte{[]byte(fmt.Sprintf("%s.%d", task.Item.ID, next))}, next) {
				task.Moved(driver.now())
				driver.stream(task, next+1)
			}
		case task.Item.Finish(task.Run):
			text := ""
			for _, piece := range task.Item.Pieces {
				text += string(piece) + "\n"
			}
			driver.core.Done(task, messages.Acknowledgement{Kind: messages.AckAccept, Text: []byte(text)})
		}
	}))
}

// restart is a process that dies and starts anew: what it held is gone.
func (driver *simDriver) restart() {
	driver.life++
	driver.core = itemdriver.New()
	driver.asking, driver.telling = false, [2]bool{}
}
