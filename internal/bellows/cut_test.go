package bellows_test

import (
	"fmt"
	"testing"

	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/model"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

// Views on a lossy network are cut in two halves and joined again: each half hears
// the other as silent, keeps it in its view, and finds it again; a process that was
// started anew meanwhile is known by its new life only.
func TestViewsUnderCuts(test *testing.T) {
	for seed := int64(1); seed <= 30; seed++ {
		world := model.NewWorld(seed)
		world.Loss = 0.1
		views, names := map[string]*bellows.View{}, []string{}
		entry := func(name string, life int64) pattern.Entry {
			return pattern.Entry{Name: name, Life: life, Role: bellows.RoleForge, Address: name}
		}
		for place := 0; place < 12; place++ {
			name := fmt.Sprint("n", place)
			names = append(names, name)
			views[name] = bellows.NewView(entry(name, 1), seed*100+int64(place))
			views[name].Heard([]pattern.Entry{entry("n0", 1)}, 0)
		}
		var shuffle func(name string)
		shuffle = func(name string) {
			world.After(almanac.ShufflePeriod, func() { shuffle(name) })
			partner := views[name].Partner(world.Now)
			if partner == "" || world.Random.Intn(8) == 0 {
				partner = "n0"
			}
			offer := views[name].Offer(world.Now)
			world.Send(name, partner, func() {
				views[partner].Heard(offer, world.Now)
				back := views[partner].Offer(world.Now)
				world.Send(partner, name, func() { views[name].Heard(back, world.Now) })
			})
		}
		for _, name := range names {
			world.After(watch.Span(world.Random.Int63n(int64(almanac.ShufflePeriod))), func() { shuffle(name) })
		}
		expect := func(when string, live bool) {
			for _, name := range names {
				if got := len(views[name].All("", world.Now)); got != len(names)-1 {
					test.Fatalf("seed %d, %s: %s knows %d", seed, when, name, got)
				}
				if live {
					continue
				}
				if got := len(views[name].Live("", world.Now)); got > 5 {
					test.Fatalf("seed %d, %s: %s takes %d for live", seed, when, name, got)
				}
			}
		}
		world.Run(world.Now.Plus(15 * almanac.ShufflePeriod))
		expect("met", true)
		cut := func(apart bool) {
			for _, left := range names[:6] {
				for _, right := range names[6:] {
					world.Cut(left, right, apart)
					world.Cut(right, left, apart)
				}
			}
		}
		cut(true)
		world.Run(world.Now.Plus(10 * almanac.ShufflePeriod))
		expect("apart", false)
		views["n7"] = bellows.NewView(entry("n7", 2), seed)
		views["n7"].Heard([]pattern.Entry{entry("n8", 1)}, world.Now)
		cut(false)
		world.Run(world.Now.Plus(20 * almanac.ShufflePeriod))
		expect("joined", true)
		for _, other := range views["n1"].All("", world.Now) {
			if other.Name == "n7" && other.Life != 2 {
				test.Fatalf("seed %d: an old life is still believed in", seed)
			}
		}
	}
}
