package locker

import (
	"sync"
	"sync/atomic"

	"lemonarch/internal/ledgerbox"
	"lemonarch/internal/pattern"
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
	quota   quota
	lags    lags
	// copies says how far newcomers have copied, copying which do so now.
	copies  map[string]int64
	copying map[string]bool
	ending  map[string]bool
	feeders map[string]chan struct{}
	bell    chan struct{}
	// fresh wakes drivers that wait for items; begun is when the duty was taken.
	fresh      chan struct{}
	begun      watch.Moment
	dispatcher *ledgerbox.Dispatcher
	stop       chan struct{}
	ended      sync.Once
	serving    bool
	tells      atomic.Int64
	lag        ledgerbox.Lag
}

func newReign(locker *Locker, duty pattern.Duty, stores []pattern.Member, first int64) *reign {
	return &reign{locker: locker, duty: duty, press: ledgerbox.NewPress(duty.Epoch, stores, locker.budget(), first),
		book: ledgerbox.NewBook(), applied: first - 1, taking: map[string]int64{}, quota: newQuota(), lags: newLags(), copies: map[string]int64{}, copying: map[string]bool{}, ending: map[string]bool{},
		feeders: map[string]chan struct{}{}, bell: make(chan struct{}), fresh: make(chan struct{}), stop: make(chan struct{}), begun: watch.Now()}
}

// end closes the reign: nothing is told, run or written under its epoch any more.
func (reign *reign) end(why string) {
	reign.ended.Do(func() {
		reign.locker.Stand.Log.Info("reign ends", "epoch", reign.duty.Epoch, "why", why)
		close(reign.stop)
		reign.lock.Lock()
		defer reign.lock.Unlock()
		reign.serving = false
		reign.ring()
		reign.freshen()
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
			delete(reign.quota.coming, record.Lot)
			if lot := reign.book.Lot(record.Lot); lot != nil {
				lot.Known = watch.Now()
			}
			reign.freshen()
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
