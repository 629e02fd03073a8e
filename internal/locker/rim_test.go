package locker

import (
	"fmt"
	"math/rand"
	"sync"
	"testing"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/boot"
	"lemonarch/internal/clamp"
	"lemonarch/internal/jointer"
	"lemonarch/internal/model"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/trestle"
	"lemonarch/internal/vise"
	"lemonarch/internal/watch"
)

// rimRegister stands for the foremen: one acceptor, whose agreement with others is
// tested elsewhere.
type rimRegister struct {
	lock   sync.Mutex
	value  pattern.Register
	grants *clamp.Grants
}

const rimRegisterAddress = "10.0.0.99:7000"

func (one *rimRegister) change(change vise.Change) {
	if next, verdict := change(one.value); verdict == vise.VerdictWrite {
		one.value = next
	}
}

func (one *rimRegister) answer(kind pattern.Kind, body []byte) ([]byte, error) {
	one.lock.Lock()
	defer one.lock.Unlock()
	switch kind {
	case pattern.KindRegisterRead:
		return tongs.Write(&pattern.DutyChanged{Done: true, Known: true, Value: one.value})
	case pattern.KindAsk:
		question := &pattern.HoldAsk{}
		if failure := tongs.Read(body, question); failure != nil {
			return nil, failure
		}
		back := one.grants.Ask(*question, one.value.Duty, watch.Now())
		return tongs.Write(&back)
	case pattern.KindDutyChange:
		question, done := &pattern.DutyChange{}, false
		if failure := tongs.Read(body, question); failure != nil {
			return nil, failure
		}
		change := vise.SetStores(question.Holder, question.Stores, &done)
		if question.Take {
			change = vise.TakeDuty(question.Holder, question.ExpectEpoch, question.Stores, &done)
		}
		one.change(change)
		return tongs.Write(&pattern.DutyChanged{Done: done, Known: true, Value: one.value})
	}
	return nil, nil
}

// rimFleet is five real lockers on fake disks: the first three stores are drawn
// from them, and they take the duty from each other.
type rimFleet struct {
	test     *testing.T
	random   *rand.Rand
	room     *tongs.Room
	register *rimRegister
	disks    map[string]*model.Disk
	lock     sync.Mutex
	lockers  map[string]*Locker
	client   *tongs.Twin
	taken    []string
	ended    map[string]bool
}

func newRimFleet(test *testing.T, seed int64) *rimFleet {
	fleet := &rimFleet{test: test, random: rand.New(rand.NewSource(seed)), room: tongs.NewRoom(), disks: map[string]*model.Disk{}, lockers: map[string]*Locker{}, ended: map[string]bool{}}
	fleet.register = &rimRegister{grants: clamp.NewGrants(watch.Now(), true),
		value: pattern.Register{Acceptors: []pattern.Member{{Address: rimRegisterAddress, Disk: "r"}}}}
	_ = fleet.room.Transport(rimRegisterAddress).Serve(fleet.register.answer)
	fleet.client = fleet.room.Transport("client")
	for number := 1; number <= 5; number++ {
		name := fmt.Sprint("s", number)
		fleet.disks[name] = model.NewDisk(seed*10 + int64(number))
		fleet.start(number, name+"-0")
	}
	stop := make(chan struct{})
	go watch.Every(almanac.TickPeriod*4, stop, fleet.meet)
	fleet.meet()
	for _, name := range model.Keys(fleet.lockers) {
		go fleet.lockers[name].campaign()
	}
	test.Cleanup(func() {
		close(stop)
		for _, one := range fleet.all() {
			fleet.stop(one)
		}
	})
	return fleet
}

// start opens a process on the disk of its machine.
func (fleet *rimFleet) start(number int, identity string) *Locker {
	name := fmt.Sprint("s", number)
	store, failure := OpenStore(fleet.disks[name], identity)
	if failure != nil {
		fleet.test.Fatal(failure)
	}
	settings := &boot.Boot{NodeName: name, Address: fmt.Sprint("10.0.0.", number), Hall: fmt.Sprint("h", number%3), InternalPorts: []int{7000, 7010},
		Seeds: []string{"10.0.0.99:80"}, HeartbeatMs: 1200, FaultBudget: boot.FaultBudget{Machines: 1}, Tolerances: boot.Tolerances{StatusS: 120, CancelMs: 3000}}
	stand := trestle.New(settings, bellows.RoleLocker, almanac.PortLocker, store.Disk(), hclog.NewNullLogger())
	stand.Wire = fleet.room.Transport(stand.Own.Address)
	one := &Locker{Stand: stand, Jointer: jointer.New(stand), Store: store, begun: watch.Now(), done: make(chan struct{})}
	one.driver = newDriver(one)
	one.answerers()
	one.driverAnswerers()
	one.reports()
	stand.Take([]byte(quotaConfig))
	if failure = stand.Wire.Serve(stand.Handle); failure != nil {
		fleet.test.Fatal(failure)
	}
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	fleet.lockers[name] = one
	return one
}

func (fleet *rimFleet) stop(one *Locker) {
	if current := one.current(); current != nil {
		current.end("stopped")
	}
	one.Stand.End()
	one.Stand.Wire.Close()
}

func (fleet *rimFleet) all() []*Locker {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	var all []*Locker
	for _, name := range model.Keys(fleet.lockers) {
		all = append(all, fleet.lockers[name])
	}
	return all
}

// meet keeps the processes known to each other, as shuffles do.
func (fleet *rimFleet) meet() {
	all := fleet.all()
	for _, one := range all {
		for _, other := range all {
			if one != other {
				one.Stand.Hear([]pattern.Entry{other.Stand.Own})
			}
		}
	}
}

// until polls the world of real timers until something holds.
func (fleet *rimFleet) until(what string, holds func() bool) {
	for end := watch.Now().Plus(watch.Milliseconds(20_000)); !holds(); {
		if watch.Now() > end {
			fleet.test.Fatal("never: ", what)
		}
		<-watch.After(almanac.TickPeriod / 2)
	}
}

// call asks one locker after the other until one that holds the duty answers.
func (fleet *rimFleet) call(call *pattern.LotCall, want int) {
	fleet.until(fmt.Sprint(call.Method, " ", call.Lot, " answered by ", want), func() bool {
		for _, one := range fleet.all() {
			answer := &pattern.LotAnswer{}
			if tongs.Ask(fleet.client, one.Stand.Own.Address, pattern.KindLotCall, call, answer, watch.Milliseconds(700)) != nil || answer.Elsewhere || answer.Status >= 500 {
				continue
			}
			if answer.Status != want {
				fleet.test.Fatalf("%s %s: %d by %s, want %d", call.Method, call.Lot, answer.Status, one.Stand.Own.Name, want)
			}
			return true
		}
		return false
	})
}

func (fleet *rimFleet) holder() *Locker {
	var found *Locker
	fleet.until("a holder", func() bool {
		for _, one := range fleet.all() {
			if current := one.current(); current != nil && one.holds() && current.waitServing(0) {
				found = one
			}
		}
		return found != nil
	})
	return found
}

// work hands a lot in, ends an older one, and looks for all that was told.
func (fleet *rimFleet) work() {
	lot := fmt.Sprint("lot", len(fleet.taken))
	fleet.call(lotCallOf(lot, 1), 202)
	fleet.taken = append(fleet.taken, lot)
	// Few stay open, so that each new one fits.
	if len(fleet.taken) > 2 {
		old := fleet.taken[len(fleet.taken)-3]
		fleet.call(&pattern.LotCall{Method: "DELETE", Lot: old}, 200)
		fleet.ended[old] = true
	}
	for _, one := range fleet.taken {
		fleet.call(&pattern.LotCall{Method: "GET", Lot: one}, 200)
	}
	current := fleet.holder().current()
	if current == nil {
		return
	}
	current.lock.Lock()
	defer current.lock.Unlock()
	for lot := range fleet.ended {
		if found := current.book.Lot(lot); found != nil && !found.Ended {
			fleet.test.Fatal("an ended lot is open again: ", lot)
		}
	}
}

func (fleet *rimFleet) stores() map[string]string {
	fleet.register.lock.Lock()
	defer fleet.register.lock.Unlock()
	disks := map[string]string{}
	for _, member := range fleet.register.value.Stores {
		disks[member.Name] = member.Disk
	}
	return disks
}
