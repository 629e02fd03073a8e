package locker

import (
	"fmt"
	"sort"
	"strings"
	"testing"

	"lemonarch/internal/apprentice"
	"lemonarch/internal/ledgerbox"
	"lemonarch/internal/model"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

const (
	shareCancel = 3000
	shareEvents = 6
	shareTries  = 3
	shareRetain = 25_000
)

// shareYard is a fleet of stores whose holder dispatches items to drivers, on the
// same cores as the real one. Every clock has an offset and a rate of its own.
type shareYard struct {
	*simFleet
	drivers     map[string]*simDriver
	dispatchers map[*simHolder]*ledgerbox.Dispatcher
	ending      map[*simHolder]map[string]bool
	// over says that a holder's hold has ended; no other is taken before.
	over   map[*simHolder]bool
	frozen map[string]bool
	thawed map[string][]func()
	offset map[string]float64
	rate   map[string]float64
	// What the outside saw.
	accepted map[string]string
	failures map[string]int
	rejected map[string]bool
	sentAt   map[string]watch.Moment
	endAcked map[string]watch.Moment
	endAsked map[string]bool
	seen     map[string]int64
	calm     bool
}

func newShareYard(test *testing.T, seed int64) *shareYard {
	yard := &shareYard{simFleet: newSimFleet(test, seed, 4), drivers: map[string]*simDriver{}, dispatchers: map[*simHolder]*ledgerbox.Dispatcher{},
		ending: map[*simHolder]map[string]bool{}, over: map[*simHolder]bool{}, frozen: map[string]bool{}, thawed: map[string][]func(){},
		offset: map[string]float64{}, rate: map[string]float64{}, accepted: map[string]string{}, failures: map[string]int{},
		rejected: map[string]bool{}, sentAt: map[string]watch.Moment{}, endAcked: map[string]watch.Moment{}, endAsked: map[string]bool{}, seen: map[string]int64{}}
	for _, name := range []string{"s0", "s1", "s2", "s3", "d4", "d5"} {
		yard.offset[name] = 1e9 * (1 + 50*yard.world.Random.Float64())
		// Clocks run up to 2 % too fast or too slow.
		yard.rate[name] = 0.98 + 0.04*yard.world.Random.Float64()
		yard.drivers[name] = &simDriver{yard: yard, name: name, core: apprentice.New(), life: 1}
		yard.drivers[name].loop()
	}
	return yard
}

// clock is the steady clock of a machine.
func (yard *shareYard) clock(name string) watch.Moment {
	return watch.Moment(yard.offset[name] + yard.rate[name]*float64(yard.world.Now))
}

// send carries a message; a frozen machine reads it when it is thawed.
func (yard *shareYard) send(from, to string, function func()) {
	yard.world.Send(from, to, func() {
		if yard.frozen[to] {
			yard.thawed[to] = append(yard.thawed[to], function)
			return
		}
		function()
	})
}

func (yard *shareYard) freeze(name string) { yard.frozen[name] = true }

func (yard *shareYard) thaw(name string) {
	yard.frozen[name] = false
	waited := yard.thawed[name]
	yard.thawed[name] = nil
	for _, function := range waited {
		function()
	}
}

// serving gives the dispatcher of a holder that may act, or nil.
func (yard *shareYard) serving(holder *simHolder) *ledgerbox.Dispatcher {
	if holder == nil || holder != yard.holder || !holder.ready || yard.over[holder] || yard.stores[holder.at].down || yard.frozen[holder.at] {
		return nil
	}
	one := yard.dispatchers[holder]
	if one == nil {
		one = ledgerbox.NewDispatcher(holder.book, holder.epoch, holder.first, lockLength(shareCancel), yard.clock(holder.at))
		one.Submit = holder.submit
		ending := map[string]bool{}
		one.Closed = func(lot *ledgerbox.Lot) bool { return ending[lot.ID] }
		one.Tries = func(*ledgerbox.Item) int { return shareTries }
		yard.dispatchers[holder], yard.ending[holder] = one, ending
	}
	return one
}

// terms gives lots up once they are older than retain-s; the wall clock is shared.
func (yard *shareYard) terms(lot *ledgerbox.Lot) ledgerbox.Terms {
	age := watch.ToMilliseconds(yard.world.Now.Since(yard.sentAt[lot.ID]))
	return ledgerbox.Terms{Due: int64(yard.sentAt[lot.ID]), Late: age > 8000, Over: age > shareRetain}
}

// tend is the holder's upkeep.
func (yard *shareYard) tend() {
	defer yard.world.After(watch.Milliseconds(50), yard.tend)
	if one := yard.serving(yard.holder); one != nil {
		now := yard.clock(yard.holder.at)
		one.Lapse(now)
		one.Expire(yard.terms, now)
		one.Sure(now)
		if now < one.Taken().Plus(one.Lock) && !one.Unsure(now) && yard.seen[fmt.Sprint("sure", yard.holder.epoch)] == 0 {
			yard.seen[fmt.Sprint("sure", yard.holder.epoch)] = 1
			yard.seen["early"]++
		}
	}
	yard.single()
}

// single checks that no two drivers believe that they hold one item.
func (yard *shareYard) single() {
	held := map[string]string{}
	for _, name := range model.Keys(yard.drivers) {
		for _, task := range yard.drivers[name].core.All() {
			if !task.May(yard.clock(name)) {
				continue
			}
			if other, twice := held[task.Item.ID]; twice {
				yard.test.Fatalf("%s and %s both hold %s (%x) at %d", other, name, task.Item.ID, task.Number, yard.world.Now)
			}
			held[task.Item.ID] = name
		}
	}
}

// lot hands in a lot; some of its items no worker can do.
func (yard *shareYard) lot(items int) {
	holder := yard.holder
	if yard.serving(holder) == nil {
		return
	}
	yard.number++
	id := fmt.Sprint("job", yard.number)
	body := &pattern.LotBody{Path: "/p/"}
	for place := 0; place < items; place++ {
		name := fmt.Sprintf("%s-%d", id, place)
		if place == 0 && yard.number%4 == 0 {
			yard.rejected[name] = true
		}
		body.Items = append(body.Items, pattern.LotItem{ID: name, Tokens: 10, Headers: map[string]string{"Lemonarch-Prompt-Prefix": fmt.Sprintf("%d:9,%s:1", yard.number%3, name)}})
	}
	packed, _ := body.MarshalMsg(nil)
	yard.sentAt[id] = yard.world.Now
	holder.submit(pattern.Record{Kind: pattern.RecordLot, Lot: id, Body: packed})
}

// endLot ends a lot as the real holder does: nothing is acquired from the decision
// on, drivers are told, and the end is acknowledged once it is durable.
func (yard *shareYard) endLot(id string) {
	holder := yard.holder
	one := yard.serving(holder)
	if one == nil || holder.book.Lot(id) == nil || yard.endAsked[id] {
		return
	}
	yard.endAsked[id] = true
	yard.ending[holder][id] = true
	var names []string
	for _, driver := range one.Stop(holder.book.Lot(id)) {
		names = append(names, driver.Name)
	}
	for _, name := range names {
		yard.send(holder.at, name, func() { yard.drivers[name].halt(yard.drivers[name].core.StopLot(id)) })
	}
	index := holder.submit(pattern.Record{Kind: pattern.RecordEnd, Lot: id})
	yard.whenDurable(holder, index, 100, func() {
		if _, known := yard.endAcked[id]; !known {
			yard.endAcked[id] = yard.world.Now
		}
	})
}

// whenDurable goes on once a record is durable and the holder still serves.
func (yard *shareYard) whenDurable(holder *simHolder, index int64, tries int, function func()) {
	switch {
	case yard.serving(holder) == nil || tries == 0:
	case index == 0 || holder.press.Done() >= index:
		function()
	default:
		yard.world.After(watch.Milliseconds(5), func() { yard.whenDurable(holder, index, tries-1, function) })
	}
}

// judge compares the last holder's book with all that was seen outside.
func (yard *shareYard) judge(seed int64) {
	var ids []string
	for _, lot := range yard.holder.book.Lots() {
		ids = append(ids, lot.ID)
	}
	sort.Strings(ids)
	for _, id := range ids {
		lot := yard.holder.book.Lot(id)
		listed := map[string]int{}
		for _, listing := range lot.Listings {
			listed[listing.Item]++
			record, failure := yard.stores[yard.holder.at].store.Read(listing.Index)
			if failure != nil {
				yard.test.Fatal(failure)
			}
			want := ""
			for event := 1; event <= shareEvents; event++ {
				want += fmt.Sprintf("%s.%d\n", listing.Item, event)
			}
			switch {
			case listed[listing.Item] > 1:
				yard.test.Fatalf("seed %d: %s has two positions", seed, listing.Item)
			case listing.Dropped && !yard.rejected[listing.Item] && yard.failures[listing.Item] < shareTries &&
				yard.world.Now.Since(yard.sentAt[id]) < watch.Milliseconds(shareRetain):
				yard.test.Fatalf("seed %d: %s was given up after %d failures", seed, listing.Item, yard.failures[listing.Item])
			case !listing.Dropped && string(record.Body) != want:
				yard.test.Fatalf("seed %d: %s has the text %q", seed, listing.Item, strings.ReplaceAll(string(record.Body), "\n", " "))
			case listing.Dropped && yard.accepted[listing.Item] != "" && yard.accepted[listing.Item] != "rejected":
				yard.test.Fatalf("seed %d: %s was acknowledged and then given up", seed, listing.Item)
			}
		}
		for _, item := range lot.Items {
			if listed[item.ID] == 0 && (yard.accepted[item.ID] != "" || !lot.Ended) {
				yard.test.Fatalf("seed %d: %s is not listed; state %d, acknowledged %q, lapses %d", seed, item.ID, item.State, yard.accepted[item.ID], item.Lapses)
			}
		}
	}
	for id := range yard.endAcked {
		if lot := yard.holder.book.Lot(id); lot == nil || !lot.Ended {
			yard.test.Fatalf("seed %d: the end of %s is lost", seed, id)
		}
	}
}
