package locker

import (
	"fmt"
	"strings"
	"testing"

	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

// lot hands in a lot of items that really run.
func (yard *simYard) lot(items int) bool {
	holder := yard.holder
	if holder == nil || !holder.ready || yard.stores[holder.at].down {
		return false
	}
	yard.number++
	id := fmt.Sprint("job", yard.number)
	body := &pattern.LotBody{Path: "/p/"}
	for place := 0; place < items; place++ {
		body.Items = append(body.Items, pattern.LotItem{ID: fmt.Sprintf("%s-%d", id, place), Tokens: 10})
	}
	packed, _ := body.MarshalMsg(nil)
	holder.submit(pattern.Record{Kind: pattern.RecordLot, Lot: id, Body: packed})
	return true
}

// overload plays a burst of the high tier over running lots, while the holder
// dies, its duty changes hands, a store is cut off and workers cut streams.
func overload(test *testing.T, seed int64) *simYard {
	yard := newYard(test, seed)
	yard.world.Loss, yard.world.Double = 0.03, 0.03
	yard.takeAny()
	yard.dispatch()
	for count := 0; count < 6; count++ {
		yard.lot(8)
	}
	for burst := 0; burst < 90; burst++ {
		at := watch.Milliseconds(100 + 15*float64(burst))
		yard.world.After(at, func() {
			for count := 0; count < 5; count++ {
				yard.request()
			}
		})
	}
	yard.world.Run(yard.world.Now.Plus(watch.Milliseconds(500)))
	victim := yard.stores[yard.holder.at]
	if seed%2 == 0 {
		// The holder's machine loses power in the middle of it.
		victim.down = true
		victim.disk.PowerLoss()
		yard.takeAny()
		yard.open(victim)
	} else {
		// The duty changes hands while its holder still runs.
		yard.takeAny()
	}
	other := yard.set[yard.world.Random.Intn(3)].Address
	if other != yard.holder.at {
		yard.world.Isolate(other, []string{"s0", "s1", "s2"}, true)
		yard.world.After(watch.Milliseconds(400), func() { yard.world.Isolate(other, []string{"s0", "s1", "s2"}, false) })
	}
	yard.lot(5)
	yard.world.Run(yard.world.Now.Plus(watch.Milliseconds(30_000)))
	return yard
}

// Every displaced item ends exactly once, with each of its events once; every live
// request is served or promised never to run, exactly once.
func TestOverloadDisplacesAndFinishesOnce(test *testing.T) {
	displaced, promised, asked := 0, 0, 0
	for seed := int64(1); seed <= 40; seed++ {
		yard := overload(test, seed)
		displaced += yard.taken["displaced"]
		promised += yard.promised
		asked += yard.asked
		for number := 1; number <= yard.asked; number++ {
			if yard.live[number] != 1 {
				test.Fatalf("seed %d: live request %d ended %d times", seed, number, yard.live[number])
			}
		}
		lots := yard.holder.book.Lots()
		if len(lots) == 0 {
			test.Fatalf("seed %d: no lots", seed)
		}
		for _, lot := range lots {
			if len(lot.Listings) != lot.Sum() {
				test.Fatalf("seed %d: lot %s lists %d of %d", seed, lot.ID, len(lot.Listings), lot.Sum())
			}
			listed := map[string]int{}
			for _, listing := range lot.Listings {
				listed[listing.Item]++
				record, failure := yard.stores[yard.holder.at].store.Read(listing.Index)
				if failure != nil {
					test.Fatal(failure)
				}
				want := ""
				for event := 1; event <= yardEvents; event++ {
					want += fmt.Sprintf("%s.%d\n", listing.Item, event)
				}
				if string(record.Body) != want {
					test.Fatalf("seed %d: %s has the text %q", seed, listing.Item, strings.ReplaceAll(string(record.Body), "\n", " "))
				}
			}
			for item, count := range listed {
				if count != 1 {
					test.Fatalf("seed %d: %s is listed %d times", seed, item, count)
				}
			}
		}
	}
	if displaced < 40 || promised == 0 || promised*3 > asked {
		test.Fatalf("too little or too much trouble: %d displaced, %d of %d live requests refused", displaced, promised, asked)
	}
}

func TestOverloadSameSeedSameHistory(test *testing.T) {
	if overload(test, 9).world.Sum() != overload(test, 9).world.Sum() {
		test.Fatal("one seed gave two histories")
	}
}
