package locker

import (
	"fmt"
	"testing"

	"lemonarch/internal/model"
	"lemonarch/internal/watch"
)

// share plays one seeded history: lots come and are ended while machines freeze, are
// cut off, start anew, lose power or their disk, stores are slow, replies are lost,
// and the duty changes hands in the middle of locks.
func share(test *testing.T, seed int64) *shareYard {
	yard := newShareYard(test, seed)
	yard.world.Loss, yard.world.Double = 0.06, 0.06
	yard.takeAny()
	yard.tend()
	random := yard.world.Random
	names := model.Keys(yard.drivers)
	for round := 0; round < 14; round++ {
		yard.lot(2 + random.Intn(5))
		if random.Intn(3) == 0 && yard.number > 0 {
			id := fmt.Sprint("job", 1+random.Intn(yard.number))
			yard.world.After(watch.Milliseconds(300*random.Float64()), func() { yard.endLot(id) })
		}
		victim := names[random.Intn(len(names))]
		span := watch.Milliseconds(200 + 4000*random.Float64())
		switch random.Intn(6) {
		case 0:
			if yard.holder.at != victim {
				yard.freeze(victim)
				yard.world.After(span, func() { yard.thaw(victim) })
			}
		case 1:
			yard.world.Isolate(victim, names, true)
			yard.world.After(span, func() { yard.world.Isolate(victim, names, false) })
			yard.world.Run(yard.world.Now.Plus(watch.Milliseconds(100)))
			if yard.holder.at == victim {
				yard.world.Isolate(victim, names, false)
				yard.move()
			}
		case 2:
			yard.drivers[victim].restart()
		case 3:
			yard.move()
		case 4:
			yard.powerOrDisk(random.Intn(2) == 0, round)
		case 5:
			yard.slow(names, victim, 12)
		}
		yard.world.Run(yard.world.Now.Plus(watch.Milliseconds(200 + 900*random.Float64())))
	}
	// A calm time: all that may end ends.
	for _, name := range names {
		yard.thaw(name)
		yard.world.Isolate(name, names, false)
	}
	yard.world.Loss, yard.world.Double = 0, 0
	yard.world.Run(yard.world.Now.Plus(watch.Milliseconds(6000)))
	yard.move()
	yard.world.Run(yard.world.Now.Plus(watch.Milliseconds(35_000)))
	return yard
}

// move lets the duty change hands in the middle of everything; all locks go on.
func (yard *shareYard) move() {
	if yard.holder != nil {
		yard.over[yard.holder] = true
	}
	yard.takeAny()
}

// slow makes a machine answer only now and then, as one with a bad disk does.
func (yard *shareYard) slow(names []string, victim string, times int) {
	if times == 0 || yard.holder.at == victim {
		yard.world.Isolate(victim, names, false)
		return
	}
	yard.world.Isolate(victim, names, times%4 != 0)
	yard.world.After(watch.Milliseconds(90), func() { yard.slow(names, victim, times-1) })
}

// powerOrDisk takes a store's power or its whole disk, while another holds the duty.
func (yard *shareYard) powerOrDisk(wipe bool, round int) {
	victim := yard.set[yard.world.Random.Intn(len(yard.set))]
	one := yard.stores[victim.Address]
	one.down = true
	yard.drivers[victim.Address].restart()
	one.disk.PowerLoss()
	if wipe {
		one.disk.Wipe()
	}
	yard.move()
	if wipe {
		one.member.Disk = fmt.Sprintf("%s-%d", one.member.Name, round+1)
	}
	yard.open(one)
	if wipe {
		yard.swap(victim, one.member)
	}
}

// Under any trouble an item has one live acquisition, one position and its whole
// text; what was acknowledged stays; nothing is given up but on the four grounds;
// nothing reaches a worker later than cancel-ms after the end of its lot; and all
// else is done in the end.
func TestShareGroupUnderTrouble(test *testing.T) {
	seeds := int64(60)
	if testing.Short() {
		seeds = 10
	}
	total := map[string]int64{}
	for seed := int64(1); seed <= seeds; seed++ {
		yard := share(test, seed)
		yard.judge(seed)
		for _, one := range yard.dispatchers {
			total["lapses"] += one.Counts.Lapses
			total["adopted"] += one.Counts.Adopted
			total["releases"] += one.Counts.Releases
			total["late"] += one.Counts.Late
			total["failures"] += one.Counts.Failures
			total["dropped"] += one.Counts.Dropped
		}
		total["accepted"] += int64(len(yard.accepted))
		total["early"] += yard.seen["early"]
		total["ended"] += int64(len(yard.endAcked))
	}
	for name, least := range map[string]int64{"lapses": 3, "adopted": 3, "releases": 10, "failures": 3, "dropped": 1, "accepted": 20, "ended": 1, "early": 1} {
		if total[name] < least*seeds/2 {
			test.Fatalf("too little trouble: %v", total)
		}
	}
	test.Log(total)
}

func TestShareGroupSameSeedSameHistory(test *testing.T) {
	if share(test, 7).world.Sum() != share(test, 7).world.Sum() {
		test.Fatal("one seed gave two histories")
	}
}
