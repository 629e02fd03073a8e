// Package locker is the process that keeps lots: durable copies, the duty of
// deciding on them, and the running of their items.
package locker

import (
	"crypto/rand"
	"encoding/hex"
	"os"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/boot"
	"lemonarch/internal/clamp"
	"lemonarch/internal/jointer"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/trestle"
	"lemonarch/internal/watch"
	"lemonarch/internal/whetstone"
)

// Locker is one storage process.
type Locker struct {
	Stand   *trestle.Trestle
	Jointer *jointer.Jointer
	Store   *Store

	lock    sync.Mutex
	hold    clamp.Hold
	reign   *reign
	value   pattern.Register
	read    watch.Moment
	told    pattern.Duty
	toldAt  watch.Moment
	begun   watch.Moment
	leaving atomic.Bool
	driver  *driver
	resting watch.Moment
	done    chan struct{}
	// once knows the hand-ins that have come, so that a second copy of one is seen.
	once tongs.Once
	// pace is this machine's, gaveUp when it last left the duty to others for it.
	pace   pace
	gaveUp watch.Moment
}

// New opens the disk and prepares the process.
func New(settings *boot.Boot, log hclog.Logger) (*Locker, error) {
	if failure := os.MkdirAll(settings.DataDir, 0o755); failure != nil {
		return nil, StoreDamaged.Wrap(failure, "data-dir")
	}
	var name [8]byte
	_, _ = rand.Read(name[:])
	store, failure := OpenStore(whetstone.Folder(settings.DataDir), hex.EncodeToString(name[:]))
	if failure != nil {
		return nil, failure
	}
	stand := trestle.New(settings, bellows.RoleLocker, almanac.PortLocker, store.Disk(), log)
	locker := &Locker{Stand: stand, Jointer: jointer.New(stand), Store: store, begun: watch.Now(), done: make(chan struct{})}
	locker.driver = newDriver(locker)
	locker.answerers()
	locker.driverAnswerers()
	locker.reports()
	return locker, nil
}

func (locker *Locker) budget() int { return locker.Stand.Boot.Budget() }

// member is this process as one of the store set.
func (locker *Locker) member() pattern.Member {
	own := locker.Stand.Own
	return pattern.Member{Name: own.Name, Disk: own.Disk, Address: own.Address, Hall: own.Hall}
}

func (locker *Locker) answerers() {
	stand := locker.Stand
	stand.Answer(pattern.KindRaise, func(body []byte) ([]byte, error) {
		question := &pattern.Raise{}
		if failure := tongs.Read(body, question); failure != nil {
			return nil, failure
		}
		answer, failure := locker.Store.Raise(question)
		if failure != nil {
			return nil, failure
		}
		locker.fenced(question.Epoch)
		return tongs.Write(&answer)
	})
	stand.Answer(pattern.KindAppend, func(body []byte) ([]byte, error) {
		question := &pattern.Append{}
		if failure := tongs.Read(body, question); failure != nil {
			return nil, failure
		}
		locker.fenced(question.Epoch)
		answer, failure := locker.Store.Append(question)
		if failure != nil {
			stand.Log.Error("append refused by disk", "why", failure.Error())
			return nil, failure
		}
		return tongs.Write(&answer)
	})
	stand.Answer(pattern.KindFetch, func(body []byte) ([]byte, error) {
		question := &pattern.Fetch{}
		if failure := tongs.Read(body, question); failure != nil {
			return nil, failure
		}
		answer, failure := locker.Store.Fetch(question)
		if failure != nil {
			return nil, failure
		}
		return tongs.Write(answer)
	})
	stand.Answer(pattern.KindHolderTold, func(body []byte) ([]byte, error) {
		told := &pattern.HolderTold{}
		if failure := tongs.Read(body, told); failure != nil {
			return nil, failure
		}
		locker.lock.Lock()
		if told.Duty.Epoch >= locker.told.Epoch {
			locker.told, locker.toldAt = told.Duty, watch.Now()
			if told.Over {
				locker.toldAt, locker.read = 0, 0
			}
		}
		locker.lock.Unlock()
		locker.fenced(told.Duty.Epoch)
		return tongs.Write(&pattern.Nothing{Taken: true})
	})
	stand.Answer(pattern.KindLotCall, locker.lotCall)
	stand.Answer(pattern.KindCopy, locker.copyFrom)
}

// fenced ends our own reign when a later epoch is seen at work.
func (locker *Locker) fenced(epoch uint64) {
	if current := locker.current(); current != nil && current.duty.Epoch < epoch {
		current.end("a later epoch is at work")
	}
}

// current gives the reign that has not ended, or nil.
func (locker *Locker) current() *reign {
	locker.lock.Lock()
	defer locker.lock.Unlock()
	if locker.reign != nil && locker.reign.over() {
		return nil
	}
	return locker.reign
}

// holds tells whether we may act as the holder at this moment.
func (locker *Locker) holds() bool {
	locker.lock.Lock()
	defer locker.lock.Unlock()
	return locker.hold.Stands(watch.Now())
}

// Run serves until told to stop.
func (locker *Locker) Run() error {
	if failure := locker.Stand.Start(); failure != nil {
		return failure
	}
	locker.Jointer.Start()
	locker.driver.run()
	go locker.pacing()
	go locker.Stand.PullFirst(func() {})
	go watch.Every(almanac.GossipPeriod*2, locker.Stand.Stop, func() {
		if failure := locker.Store.Tidy(); failure != nil {
			locker.Stand.Log.Error("file not rewritten", "why", failure.Error())
		}
	})
	locker.Stand.Log.Info("serving", "internal", locker.Stand.Own.Address, "disk", locker.Stand.Own.Disk)
	locker.campaign()
	return nil
}

// Leave gives the duty up first, so that another takes it at once.
func (locker *Locker) Leave() {
	locker.leaving.Store(true)
	locker.Stand.Leave()
	if current := locker.current(); current != nil {
		current.end("leaving")
		current.giveUp()
	}
	// What runs here goes back with its events, to whoever holds the duty next.
	locker.driver.leave()
	locker.Stand.End()
	watch.Sleep(almanac.TickPeriod)
}
