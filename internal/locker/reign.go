package locker

import (
	"sync"

	"lemonarch/internal/almanac"
	"lemonarch/internal/chisel"
	"lemonarch/internal/ledgerbox"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/vise"
	"lemonarch/internal/watch"
)

// reign is the time of one epoch in which this process holds the lots.
type reign struct {
	locker  *Locker
	duty    pattern.Duty
	lock    sync.Mutex
	press   *ledgerbox.Press
	book    *ledgerbox.Book
	recent  []pattern.Record
	applied int64
	taking  map[string]int64
	pending map[string]int64
	ending  map[string]bool
	filling map[string]int
	running map[*ledgerbox.Item]*chisel.Pipe
	retry   map[*ledgerbox.Item]watch.Moment
	feeders map[string]chan struct{}
	bell    chan struct{}
	stop    chan struct{}
	ended   sync.Once
	serving bool
	counts  runCounts
}

type runCounts struct {
	settled, dropped, resumed, again, setBack int64
}

func newReign(locker *Locker, duty pattern.Duty, stores []pattern.Member, first int64) *reign {
	return &reign{locker: locker, duty: duty, press: ledgerbox.NewPress(duty.Epoch, stores, locker.budget(), first),
		book: ledgerbox.NewBook(), applied: first - 1, taking: map[string]int64{}, pending: map[string]int64{}, ending: map[string]bool{},
		filling: map[string]int{}, running: map[*ledgerbox.Item]*chisel.Pipe{}, retry: map[*ledgerbox.Item]watch.Moment{},
		feeders: map[string]chan struct{}{}, bell: make(chan struct{}), stop: make(chan struct{})}
}

// end closes the reign: nothing is told, run or written under its epoch any more.
func (reign *reign) end(why string) {
	reign.ended.Do(func() {
		reign.locker.Stand.Log.Info("reign ends", "epoch", reign.duty.Epoch, "why", why)
		close(reign.stop)
		reign.lock.Lock()
		defer reign.lock.Unlock()
		reign.serving = false
		for _, pipe := range reign.running {
			if pipe != nil {
				pipe.Close()
			}
		}
		reign.ring()
	})
}

func (reign *reign) over() bool {
	select {
	case <-reign.stop:
		return true
	default:
		return false
	}
}

// ring wakes everybody who waits for a change. The lock is held.
func (reign *reign) ring() {
	close(reign.bell)
	reign.bell = make(chan struct{})
}

// submit makes a record and has it copied. The lock is held.
func (reign *reign) submit(record pattern.Record) int64 {
	record.Index, record.Epoch = reign.press.Take(), reign.duty.Epoch
	reign.recent = append(reign.recent, record)
	reign.ring()
	return record.Index
}

// durable waits until a record is durable; false when that can't be known.
func (reign *reign) durable(index int64, span watch.Span) bool {
	timer := watch.NewTimer(span)
	defer timer.Stop()
	for {
		reign.lock.Lock()
		done, bell := reign.press.Done() >= index, reign.bell
		reign.lock.Unlock()
		if done {
			return !reign.over()
		}
		select {
		case <-bell:
		case <-reign.stop:
			return false
		case <-timer.C:
			return false
		}
	}
}

// recentAt gives a record that is still in memory. The lock is held.
func (reign *reign) recentAt(index int64) *pattern.Record {
	if len(reign.recent) == 0 {
		return nil
	}
	place := index - reign.recent[0].Index
	if place < 0 || place >= int64(len(reign.recent)) {
		return nil
	}
	return &reign.recent[place]
}

// matched notes a store's progress and applies what became durable.
func (reign *reign) matched(identity string, index int64) {
	reign.lock.Lock()
	defer reign.lock.Unlock()
	if !reign.press.Matched(identity, index) {
		return
	}
	reign.applyDone()
	reign.trim()
	reign.ring()
}

func (reign *reign) applyDone() {
	for reign.applied < reign.press.Done() {
		record := reign.recentAt(reign.applied + 1)
		if record == nil {
			return
		}
		if failure := reign.book.Apply(record); failure != nil {
			reign.locker.Stand.Log.Error("record not applied", "why", failure.Error())
		}
		switch record.Kind {
		case pattern.RecordLot:
			delete(reign.taking, record.Lot)
			delete(reign.pending, record.Lot)
		case pattern.RecordOutput:
			reign.filling[record.Lot]--
		}
		reign.applied++
	}
}

// trim gives back the records that are durable and on our own disk; a store that
// lags further behind is fed from there.
func (reign *reign) trim() {
	own := reign.press.MatchOf(vise.Identity(reign.locker.member()))
	keep := min(own, reign.applied)
	count := 0
	for count < len(reign.recent) && reign.recent[count].Index <= keep {
		count++
	}
	if count > 0 {
		reign.recent = append([]pattern.Record(nil), reign.recent[count:]...)
	}
}

// feed begins to copy records to a store, from a common index on. The lock is held.
func (reign *reign) feed(member pattern.Member, common int64) {
	identity := vise.Identity(member)
	if reign.feeders[identity] != nil {
		return
	}
	quit := make(chan struct{})
	reign.feeders[identity] = quit
	go reign.feedLoop(member, common+1, quit)
}

// unfeed stops that.
func (reign *reign) unfeed(member pattern.Member) {
	identity := vise.Identity(member)
	if quit := reign.feeders[identity]; quit != nil {
		close(quit)
		delete(reign.feeders, identity)
	}
}

func (reign *reign) feedLoop(member pattern.Member, next int64, quit chan struct{}) {
	own := member.Address == reign.locker.Stand.Own.Address
	for {
		batch, bell := reign.batch(member, next)
		if batch == nil {
			select {
			case <-bell:
				continue
			case <-quit:
				return
			case <-reign.stop:
				return
			}
		}
		answer := &pattern.Appended{}
		var failure error
		if own {
			*answer, failure = reign.locker.Store.Append(batch)
		} else {
			failure = tongs.Ask(reign.locker.Stand.Wire, member.Address, pattern.KindAppend, batch, answer, almanac.BulkCallTime)
		}
		switch {
		case failure != nil:
			// Out of reach, or its disk is full: the others go on without it.
			select {
			case <-quit:
				return
			case <-reign.stop:
				return
			case <-watch.After(almanac.TickPeriod * 2):
			}
		case answer.Granted:
			next = answer.Last + 1
			reign.matched(vise.Identity(member), answer.Last)
		case answer.Epoch > reign.duty.Epoch:
			reign.end("a later epoch was raised")
			return
		case answer.Stretches != nil || answer.Last < next-1:
			last, stretches := reign.locker.Store.State()
			next = min(ledgerbox.Common(stretches, last, answer.Stretches, answer.Last), next-1) + 1
		default:
			// Another disk answers at that address: the set will be mended.
			select {
			case <-quit:
				return
			case <-reign.stop:
				return
			case <-watch.After(almanac.HoldRenewal):
			}
		}
	}
}

// batch gathers the next records for a store; nil with a bell when there are none.
func (reign *reign) batch(member pattern.Member, next int64) (*pattern.Append, chan struct{}) {
	reign.lock.Lock()
	order := &pattern.Append{Epoch: reign.duty.Epoch, Disk: member.Disk, PreviousIndex: next - 1, Done: reign.press.Done()}
	if next > reign.press.Last() {
		bell := reign.bell
		reign.lock.Unlock()
		return nil, bell
	}
	fromMemory := false
	size := 0
	for index := next; index <= reign.press.Last() && size < almanac.AppendBytes; index++ {
		record := reign.recentAt(index)
		if record == nil {
			break
		}
		fromMemory = true
		size += len(record.Body) + 128
		order.Records = append(order.Records, *record)
	}
	previous := reign.recentAt(next - 1)
	if previous != nil {
		order.PreviousEpoch = previous.Epoch
	}
	reign.lock.Unlock()
	if previous == nil {
		// Asked without our lock: the store may be in the middle of a sync.
		order.PreviousEpoch = reign.locker.Store.EpochAt(next - 1)
	}
	if !fromMemory {
		fetched, failure := reign.locker.Store.Fetch(&pattern.Fetch{First: next})
		if failure != nil || len(fetched.Records) == 0 {
			return nil, watch.Bell(almanac.TickPeriod)
		}
		order.Records = fetched.Records
	}
	return order, nil
}
