package locker

import (
	"fmt"

	"lemonarch/internal/apprentice"
	"lemonarch/internal/ledgerbox"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

// simDriver is a driver node in a shareYard: the real core, simulated messages and
// workers.
type simDriver struct {
	yard    *shareYard
	name    string
	core    *apprentice.Apprentice
	life    int64
	asking  bool
	telling [2]bool
	renewed watch.Moment
	shown   uint64
	pause   watch.Moment
}

func (driver *simDriver) now() watch.Moment { return driver.yard.clock(driver.name) }

func (driver *simDriver) loop() {
	yard := driver.yard
	defer yard.world.After(watch.Milliseconds(20+5*yard.world.Random.Float64()), driver.loop)
	if yard.frozen[driver.name] {
		return
	}
	driver.halt(driver.core.Lapsed(driver.now()))
	if all, _ := driver.core.Count(); all < 4 && !driver.asking {
		driver.acquire()
	}
	due := driver.now().Since(driver.renewed) >= lockLength(shareCancel)/4
	if yard.holder != nil && (due || yard.holder.epoch > driver.shown) {
		driver.shown = yard.holder.epoch
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

func (driver *simDriver) who() ledgerbox.Driver {
	return ledgerbox.Driver{Name: driver.name, Life: driver.life, Address: driver.name}
}

func (driver *simDriver) acquire() {
	yard, holder, life := driver.yard, driver.yard.holder, driver.life
	if holder == nil {
		return
	}
	driver.asking = true
	asked, who := driver.now(), driver.who()
	answered := false
	yard.world.After(watch.Milliseconds(200), driver.at(life, func() {
		// The question timed out: an answer that comes later is dropped.
		if !answered {
			answered, driver.asking = true, false
		}
	}))
	yard.send(driver.name, holder.at, func() {
		one := yard.serving(holder)
		if one == nil {
			return
		}
		answer := &pattern.Acquired{LockMs: watch.ToMilliseconds(one.Lock)}
		ask := &ledgerbox.AcquireAsk{Driver: who, Room: map[string]int{"s": 2}, Terms: yard.terms,
			Service: func(*ledgerbox.Item) string { return "s" }}
		for _, given := range one.Acquire(ask, yard.clock(holder.at)) {
			item := given.Item
			answer.Items = append(answer.Items, pattern.AcquiredItem{Number: given.Number, Lot: item.Lot.ID, Item: item.LotItem, LastID: item.LastID,
				Pieces: item.Pieces[:len(item.Pieces):len(item.Pieces)], Displaced: item.Displaced})
		}
		yard.send(holder.at, driver.name, driver.at(life, func() {
			if answered {
				return
			}
			answered, driver.asking = true, false
			for _, task := range driver.core.Take(answer, asked, driver.now()) {
				driver.begin(task)
			}
			yard.single()
		}))
	})
}

func (driver *simDriver) acknowledge(entries []pattern.Acknowledgement, epoch uint64, heard func(verdicts []pattern.AckVerdict)) {
	yard, holder, life, who := driver.yard, driver.yard.holder, driver.life, driver.who()
	if holder == nil {
		return
	}
	yard.send(driver.name, holder.at, func() {
		one := yard.serving(holder)
		if one == nil {
			return
		}
		var verdicts []pattern.AckVerdict
		last := int64(0)
		one.Heard(who, yard.clock(holder.at))
		for place := range entries {
			step := one.Acknowledge(who, &entries[place], yard.clock(holder.at))
			verdicts = append(verdicts, step.Verdict)
			last = max(last, step.Index)
		}
		if epoch > 0 {
			one.Listed(who, epoch, yard.clock(holder.at))
		}
		yard.whenDurable(holder, last, 100, func() {
			yard.send(holder.at, driver.name, driver.at(life, func() { heard(verdicts) }))
		})
	})
}

func (driver *simDriver) renew() {
	asked := driver.now()
	driver.renewed = asked
	if driver.yard.holder == nil {
		return
	}
	epoch := driver.yard.holder.epoch
	driver.core.Fence(epoch)
	if entries := driver.core.Renewals(asked); true {
		driver.acknowledge(entries, epoch, func(verdicts []pattern.AckVerdict) {
			driver.halt(driver.core.Renewed(entries, verdicts, asked, lockLength(shareCancel)))
		})
	}
}

// tell repeats a batch until it is answered.
func (driver *simDriver) tell(lane int, batch []pattern.Acknowledgement) {
	if len(batch) == 0 || driver.telling[lane] {
		return
	}
	driver.telling[lane] = true
	life := driver.life
	driver.yard.world.After(watch.Milliseconds(120), driver.at(life, func() { driver.telling[lane] = false }))
	driver.acknowledge(batch, 0, func(verdicts []pattern.AckVerdict) {
		for place, entry := range batch {
			if verdicts[place] != pattern.AckTaken {
				continue
			}
			switch entry.Kind {
			case pattern.AckAccept:
				driver.yard.accepted[entry.Item] = string(entry.Text)
			case pattern.AckReject:
				driver.yard.accepted[entry.Item] = "rejected"
			}
		}
		driver.core.Answered(batch, verdicts)
	})
}

// halt closes the pipes of runs: each sets its item back.
func (driver *simDriver) halt(tasks []*apprentice.Task) {
	for _, task := range tasks {
		driver.release(task, pattern.Acknowledgement{})
	}
}

func (driver *simDriver) release(task *apprentice.Task, entry pattern.Acknowledgement) {
	entry.Kind = pattern.AckRelease
	entry.Displaced = task.Item.Yielding()
	task.Item.SetBack(task.Run)
	driver.core.Done(task, entry)
}

// begin brings a task to a worker, which streams from where it is asked to.
func (driver *simDriver) begin(task *apprentice.Task) {
	yard, life := driver.yard, driver.life
	yard.world.After(watch.Milliseconds(10*yard.world.Random.Float64()), driver.at(life, func() {
		if yard.frozen[driver.name] || !task.May(driver.now()) {
			return
		}
		if acked, ended := yard.endAcked[task.Item.Lot.ID]; ended && yard.world.Now.Since(acked) > watch.Milliseconds(shareCancel) {
			yard.test.Fatalf("%s reaches a worker %v after the end of its lot", task.Item.ID, yard.world.Now.Since(acked))
		}
		task.Begun = true
		chance := yard.world.Random.Float64()
		switch {
		case yard.rejected[task.Item.ID]:
			driver.core.Done(task, pattern.Acknowledgement{Kind: pattern.AckReject})
		case chance < 0.08:
			yard.failures[task.Item.ID]++
			driver.release(task, pattern.Acknowledgement{Failed: true})
		default:
			driver.stream(task, task.Item.LastID+1)
		}
	}))
}

func (driver *simDriver) stream(task *apprentice.Task, next int64) {
	yard, life := driver.yard, driver.life
	yard.world.After(watch.Milliseconds(20+200*yard.world.Random.Float64()), driver.at(life, func() {
		switch {
		case task.Stopped():
		case yard.frozen[driver.name]:
			// The events wait in the machine's buffers.
			yard.thawed[driver.name] = append(yard.thawed[driver.name], driver.at(life, func() { driver.stream(task, next) }))
		case yard.world.Random.Float64() < 0.03:
			driver.release(task, pattern.Acknowledgement{})
		case yard.world.Random.Float64() < 0.02 && task.Item.Yield(task.Run):
			driver.release(task, pattern.Acknowledgement{})
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
			driver.core.Done(task, pattern.Acknowledgement{Kind: pattern.AckAccept, Text: []byte(text)})
		}
	}))
}

// restart is a process that dies and starts anew: what it held is gone.
func (driver *simDriver) restart() {
	driver.life++
	driver.core = apprentice.New()
	driver.asking, driver.telling = false, [2]bool{}
}
