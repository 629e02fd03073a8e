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
	duty    messages.Leadership
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
	begun      clock.Instant
	dispatcher *lots.Dispatcher
	stop       chan struct{}
	ended      sync.Once
	serving    bool
	tells      atomic.Int64
	lag        lots.Lag
}

func newTerm(server *Server, leadership messages.Leadership, stores []messages.Member, first int64) *term {
	return &term{server: server, duty: leadership, press: lots.NewPress(leadership.Epoch, stores, server.budget(), first),
		book: lots.NewBook(), applied: first - 1, taking: map[string]int64{}, quota: newQuota(), lags: newLags(), copies: map[string]int64{}, ending: map[string]bool{},
		feeders: map[string]chan struct{}{}, bell: make(chan struct{}), fresh: make(chan struct{}), stop: make(chan struct{}), begun: clock.Now()}
}

// end closes the term: nothing is told, run or written under its epoch any more.
func (t *term) end(why string) {
	t.ended.Do(func() {
		t.server.Node.Log.Info("term ends", "epoch", t.duty.Epoch, "why", why)
		close(t.stop)
		t.lock.Lock()
		defer t.lock.Unlock()
		t.serving = false
		t.ring()
		t.freshen()
	})
}

func (t *term) over() bool {
	select {
	case <-t.stop:
		return true
	default:
		return false
	}
}

// ring wakes everybody who waits for a change. The lock is held.
func (t *term) ring() {
	close(t.bell)
	t.bell = make(chan struct{})
}

// submit makes a record and has it copied. The lock is held.
func (t *term) submit(record messages.Record) int64 {
	record.Index, record.Epoch = t.press.Take(), t.duty.Epoch
	t.recent = append(t.recent, record)
	t.ring()
	return record.Index
}

// durable waits until a record is durable; false when that can't be known.
func (t *term) durable(index int64, timeout clock.Duration) bool {
	timer := clock.NewTimer(timeout)
	defer timer.Stop()
	for {
		t.lock.Lock()
		done, bell := t.press.Done() >= index, t.bell
		t.lock.Unlock()
		if done {
			return !t.over()
		}
		select {
		case <-bell:
		case <-t.stop:
			return false
		case <-timer.C:
			return false
		}
	}
}

// recentAt gives a record that is still in memory. The lock is held.
func (t *term) recentAt(index int64) *messages.Record {
	if len(t.recent) == 0 {
		return nil
	}
	i := index - t.recent[0].Index
	if i < 0 || i >= int64(len(t.recent)) {
		return nil
	}
	return &t.recent[i]
}

// matched notes a store's progress and applies what became durable.
func (t *term) matched(identity string, index int64) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if !t.press.Matched(identity, index) {
		return
	}
	t.applyDone()
	t.trim()
	t.ring()
}

func (t *term) applyDone() {
	for t.applied < t.press.Done() {
		record := t.recentAt(t.applied + 1)
		if record == nil {
			return
		}
		if err := t.book.Apply(record); err != nil {
			t.server.Node.Log.Error("record not applied", "why", err.Error())
		}
		switch record.Kind {
		case messages.RecordJob:
			delete(t.taking, record.Job)
			delete(t.quota.coming, record.Job)
			if lot := t.book.Lot(record.Job); lot != nil {
				lot.Known = clock.Now()
			}
			t.freshen()
		}
		t.applied++
	}
}

// trim gives back the records that are durable and on our own disk; a store that
// lags further behind is fed from there.
func (t *term) trim() {
	own := t.press.MatchOf(register.Identity(t.server.member()))
	keep := min(own, t.applied)
	count := 0
	for count < len(t.recent) && t.recent[count].Index <= keep {
		count++
	}
	if count > 0 {
		t.recent = append([]messages.Record(nil), t.recent[count:]...)
	}
}
