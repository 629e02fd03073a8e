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

// shufflers are processes that shuffle their views over a lossy network.
type shufflers struct {
	test  *testing.T
	seed  int64
	world *simulation.World
	names []string
	views map[string]*membership.View
}

func shufflerEntry(name string, incarnation int64) messages.NodeInfo {
	return messages.NodeInfo{Name: name, Incarnation: incarnation, Role: membership.RoleGateway, Address: name}
}

func newShufflers(t *testing.T, seed int64) *shufflers {
	t.Helper()

	s := &shufflers{test: t, seed: seed, world: simulation.NewWorld(seed), views: map[string]*membership.View{}}
	s.world.LossProbability = 0.1
	for i := 0; i < 12; i++ {
		name := fmt.Sprint("n", i)
		s.names = append(s.names, name)
		s.views[name] = membership.NewView(shufflerEntry(name, 1), seed*100+int64(i))
		s.views[name].Observe([]messages.NodeInfo{shufflerEntry("n0", 1)}, 0)
	}
	for _, name := range s.names {
		s.world.After(clock.Duration(s.world.Random.Int63n(int64(constants.ShufflePeriod))), func() { s.shuffle(name) })
	}
	return s
}

// shuffle exchanges views with a partner, and repeats that every constants.ShufflePeriod.
func (s *shufflers) shuffle(name string) {
	s.world.After(constants.ShufflePeriod, func() { s.shuffle(name) })
	partner := s.views[name].Partner(s.world.Now)
	if partner == "" || s.world.Random.Intn(8) == 0 {
		partner = "n0"
	}
	offer := s.views[name].Offer(s.world.Now)
	s.world.Send(name, partner, func() {
		s.views[partner].Observe(offer, s.world.Now)
		resp := s.views[partner].Offer(s.world.Now)
		s.world.Send(partner, name, func() { s.views[name].Observe(resp, s.world.Now) })
	})
}

// run advances the simulation by a number of shuffle periods.
func (s *shufflers) run(periods int) {
	s.world.Run(s.world.Now.Add(clock.Duration(periods) * constants.ShufflePeriod))
}

// setPartitioned partitions the first half of the processes from the second, or reconnects them.
func (s *shufflers) setPartitioned(partitioned bool) {
	for _, left := range s.names[:6] {
		for _, right := range s.names[6:] {
			s.world.SetPartitioned(left, right, partitioned)
			s.world.SetPartitioned(right, left, partitioned)
		}
	}
}

// check fails the test unless every process knows all others and, while partitioned, considers only
// its own half live.
func (s *shufflers) check(when string, partitioned bool) {
	for _, name := range s.names {
		if got := len(s.views[name].All("", s.world.Now)); got != len(s.names)-1 {
			s.test.Fatalf("seed %d, %s: %s knows %d processes, want 11, all others", s.seed, when, name, got)
		}
		if !partitioned {
			continue
		}
		if got := len(s.views[name].Live("", s.world.Now)); got > 5 {
			s.test.Fatalf("seed %d, %s: %s considers %d processes live, want at most 5", s.seed, when, name, got)
		}
	}
}

// TestViewsConvergeAfterAPartition partitions processes on a lossy network into two halves and
// reconnects them. Each half must consider the other silent but keep it in its view. Afterwards all
// processes must know all others, and a process of the first half must know one of the second half
// that was restarted meanwhile by its new incarnation only.
func TestViewsConvergeAfterAPartition(t *testing.T) {
	for seed := int64(1); seed <= 30; seed++ {
		s := newShufflers(t, seed)
		s.run(15)
		s.check("converged", false)
		s.setPartitioned(true)
		s.run(10)
		s.check("partitioned", true)
		s.views["n7"] = membership.NewView(shufflerEntry("n7", 2), seed)
		s.views["n7"].Observe([]messages.NodeInfo{shufflerEntry("n8", 1)}, s.world.Now)
		s.setPartitioned(false)
		s.run(20)
		s.check("reconnected", false)
		for _, other := range s.views["n1"].All("", s.world.Now) {
			if other.Name == "n7" && other.Incarnation != 2 {
				t.Fatalf("seed %d: the view still contains the old incarnation of n7", seed)
			}
		}
	}
}
