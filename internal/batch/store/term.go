package store

import (
	"sync"
	"sync/atomic"

	"lemonarch/internal/batch/lots"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// term is the time of one epoch in which this process holds the lots.
type term struct {
	server  *Server
	duty    messages.Duty
	lock    sync.Mutex
	press   *lots.Press
	book    *lots.Book
	recent  []messages.Record
	applied int64
	taking  map[string]int64
	quota   quota
	lags    lags
	// copies says how far newcomers have copied.
	copies  map[string]int64
	ending  map[string]bool
	feeders map[string]chan struct{}
	bell    chan struct{}
	// fresh wakes drivers that wait for items; begun is when the duty was taken.
	fresh      chan struct{}
	begun      clock.Moment
	dispatcher *lots.Dispatcher
	stop       chan struct{}
	ended      sync.Once
	serving    bool
	tells      atomic.Int64
	lag        lots.Lag
}

func newTerm(server *Server, duty messages.Duty, stores []messages.Member, first int64) *term {
	return &term{server: server, duty: duty, press: lots.NewPress(duty.Epoch, stores, server.budget(), first),
		book: lots.NewBook(), applied: first - 1, taking: map[string]int64{}, quota: newQuota(), lags: newLags(), copies: map[string]int64{}, ending: map[string]bool{},
		feeders: map[string]chan struct{}{}, bell: make(chan struct{}), fresh: make(chan struct{}), stop: make(chan struct{}), begun: clock.Now()}
}

// end closes the term: nothing is told, run or written under its epoch any more.
func (term *term) end(why string) {
	term.ended.Do(func() {
		term.server.Node.Log.Info("term ends", "epoch", term.duty.Epoch, "why", why)
		close(term.stop)
		term.lock.Lock()
		defer term.lock.Unlock()
		term.serving = false
		term.ring()
		term.freshen()
	})
}

func (term *term) over() bool {
	select {
	case <-term.stop:
		return true
	default:
		return false
	}
}

// ring wakes everybody who waits for a change. The lock is held.
func (term *term) ring() {
	close(term.bell)
	term.bell = make(chan struct{})
}

// submit makes a record and has it copied. The lock is held.
func (term *term) submit(record messages.Record) int64 {
	record.Index, record.Epoch = term.press.Take(), term.duty.Epoch
	term.recent = append(term.recent, record)
	term.ring()
	return record.Index
}

// durable waits until a record is durable; false when that can't be known.
func (term *term) durable(index int64, span clock.Span) bool {
	timer := clock.NewTimer(span)
	defer timer.Stop()
	for {
		term.lock.Lock()
		done, bell := term.press.Done() >= index, term.bell
		term.lock.Unlock()
		if done {
			return !term.over()
		}
		select {
		case <-bell:
		case <-term.stop:
			return false
		case <-timer.C:
			return false
		}
	}
}

// recentAt gives a record that is still in memory. The lock is held.
func (term *term) recentAt(index int64) *messages.Record {
	if len(term.recent) == 0 {
		return nil
	}
	place := index - term.recent[0].Index
	if place < 0 || place >= int64(len(term.recent)) {
		return nil
	}
	return &term.recent[place]
}

// matched notes a store's progress and applies what became durable.
func (term *term) matched(identity string, index int64) {
	term.lock.Lock()
	defer term.lock.Unlock()
	if !term.press.Matched(identity, index) {
		return
	}
	term.applyDone()
	term.trim()
	term.ring()
}

func (term *term) applyDone() {
	for term.applied < term.press.Done() {
		record := term.recentAt(term.applied + 1)
		if record == nil {
			return
		}
		if err := term.book.Apply(record); err != nil {
			term.server.Node.Log.Error("record not applied", "why", err.Error())
		}
		switch record.Kind {
		case messages.RecordLot:
			delete(term.taking, record.Lot)
			delete(term.quota.coming, record.Lot)
			if lot := term.book.Lot(record.Lot); lot != nil {
				lot.Known = clock.Now()
			}
			term.freshen()
		}
		term.applied++
	}
}

// trim gives back the records that are durable and on our own disk; a store that
// lags further behind is fed from there.
func (term *term) trim() {
	own := term.press.MatchOf(register.Identity(term.server.member()))
	keep := min(own, term.applied)
	count := 0
	for count < len(term.recent) && term.recent[count].Index <= keep {
		count++
	}
	if count > 0 {
		term.recent = append([]messages.Record(nil), term.recent[count:]...)
	}
}
