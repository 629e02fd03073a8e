package membership_test

import (
	"fmt"
	"testing"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// Views on a lossy network are cut in two halves and joined again: each half hears
// the other as silent, keeps it in its view, and finds it again; a process that was
// started anew meanwhile is known by its new life only.
func TestViewsUnderPartitions(t *testing.T) {
	for seed := int64(1); seed <= 30; seed++ {
		world := simulation.NewWorld(seed)
		world.Loss = 0.1
		views, names := map[string]*membership.View{}, []string{}
		entry := func(name string, incarnation int64) messages.NodeInfo {
			return messages.NodeInfo{Name: name, Incarnation: incarnation, Role: membership.RoleGateway, Address: name}
		}
		for i := 0; i < 12; i++ {
			name := fmt.Sprint("n", i)
			names = append(names, name)
			views[name] = membership.NewView(entry(name, 1), seed*100+int64(i))
			views[name].Observe([]messages.NodeInfo{entry("n0", 1)}, 0)
		}
		var shuffle func(name string)
		shuffle = func(name string) {
			world.After(constants.ShufflePeriod, func() { shuffle(name) })
			partner := views[name].Partner(world.Now)
			if partner == "" || world.Random.Intn(8) == 0 {
				partner = "n0"
			}
			offer := views[name].Offer(world.Now)
			world.Send(name, partner, func() {
				views[partner].Observe(offer, world.Now)
				resp := views[partner].Offer(world.Now)
				world.Send(partner, name, func() { views[name].Observe(resp, world.Now) })
			})
		}
		for _, name := range names {
			world.After(clock.Duration(world.Random.Int63n(int64(constants.ShufflePeriod))), func() { shuffle(name) })
		}
		expect := func(when string, live bool) {
			for _, name := range names {
				if got := len(views[name].All("", world.Now)); got != len(names)-1 {
					t.Fatalf("seed %d, %s: %s knows %d", seed, when, name, got)
				}
				if live {
					continue
				}
				if got := len(views[name].Live("", world.Now)); got > 5 {
					t.Fatalf("seed %d, %s: %s takes %d for live", seed, when, name, got)
				}
			}
		}
		world.Run(world.Now.Add(15 * constants.ShufflePeriod))
		expect("met", true)
		truncated := func(apart bool) {
			for _, left := range names[:6] {
				for _, right := range names[6:] {
					world.Cut(left, right, apart)
					world.Cut(right, left, apart)
				}
			}
		}
		truncated(true)
		world.Run(world.Now.Add(10 * constants.ShufflePeriod))
		expect("apart", false)
		views["n7"] = membership.NewView(entry("n7", 2), seed)
		views["n7"].Observe([]messages.NodeInfo{entry("n8", 1)}, world.Now)
		truncated(false)
		world.Run(world.Now.Add(20 * constants.ShufflePeriod))
		expect("joined", true)
		for _, other := range views["n1"].All("", world.Now) {
			if other.Name == "n7" && other.Incarnation != 2 {
				t.Fatalf("seed %d: an old life is still believed in", seed)
			}
		}
	}
}
