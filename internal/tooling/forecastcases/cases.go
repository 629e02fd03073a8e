// Package forecastcases tries the forecast: it draws fleets of emulated engines and surges on
// them, lets the forecast see the traffic before a surge, brings the surge about in simulated
// time, and compares the family that was named with the one that tightened. Engines are those
// of package workeremulator, whose model is another than the forecast's.
package forecastcases

import (
	"fmt"
	"math/rand/v2"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/tooling/workeremulator"
)

// What a surge of a case uses up first.
const (
	ShortSlots   = "slots"
	ShortMemory  = "kv-memory"
	ShortPrefill = "prefill"
	ShortDecode  = "decode"
	ShortNone    = "none"
)

// Shortages are all of them, in the order in which cases take turns.
var Shortages = []string{ShortSlots, ShortMemory, ShortPrefill, ShortDecode, ShortNone}

// Case is a fleet of several families and a surge on it.
type Case struct {
	Number int
	// Short is what the surge is meant to use up first, at Family.
	Short    string
	Family   string
	families []*familyPlan
}

// familyPlan is one service with its engines and its one class of requests.
type familyPlan struct {
	name    string
	engines int
	shape   workeremulator.Shape
	class   classPlan
	// rate is the present traffic, surge what comes in addition, in requests a second.
	rate, surge float64
}

// classPlan is the requests of a family.
type classPlan struct {
	// own and shared are tokens of the prompt, out those that go out; work, where above 0, makes
	// it a plain request.
	own, shared, out  int64
	work              clock.Duration
	targetMs, gapMs   float64
	capacityPerEngine float64
}

// Generate draws a case: three to five families, of which one is meant to run short of what the
// number says.
func Generate(number int, seed uint64) *Case {
	random := rand.New(rand.NewPCG(seed, uint64(number)))
	generated := &Case{Number: number, Short: Shortages[number%len(Shortages)]}
	count := 3 + random.IntN(3)
	target := random.IntN(count)
	for i := range count {
		kind := []string{ShortSlots, ShortMemory, ShortPrefill, ShortDecode}[random.IntN(4)]
		if i == target && generated.Short != ShortNone {
			kind = generated.Short
		}
		family := generateFamily(fmt.Sprintf("family-%d", i+1), kind, random)
		full := family.class.capacityPerEngine * float64(family.engines)
		family.rate = full * (0.25 + 0.2*random.Float64())
		// The others stay well below what they carry.
		family.surge = full * 0.15 * random.Float64()
		if i == target && generated.Short != ShortNone {
			generated.Family = family.name
			family.surge = full * (0.9 + random.Float64())
		}
		generated.families = append(generated.families, family)
	}
	return generated
}

// between draws a number between two.
func between(random *rand.Rand, low, high float64) float64 { return low + (high-low)*random.Float64() }

// generateFamily draws a family whose bottleneck is of a kind, with what one engine then carries.
func generateFamily(name, kind string, random *rand.Rand) *familyPlan {
	family := &familyPlan{name: name, engines: 3 + random.IntN(4)}
	family.shape = workeremulator.Shape{Capacity: 8 + random.IntN(5), Queue: 4, CacheTokens: 200_000, ReadPerMs: 200,
		Step: clock.Milliseconds(between(random, 2, 4)), StepEach: clock.Milliseconds(between(random, 0.1, 0.3)), Stride: 8}
	shape, slots := &family.shape, float64(family.shape.Capacity)
	stepMs := func(running float64) float64 {
		return clock.ToMilliseconds(shape.Step) + running*clock.ToMilliseconds(shape.StepEach)
	}
	class := classPlan{own: 200, shared: 300, out: 64, targetMs: 400, gapMs: 400}
	switch kind {
	case ShortSlots:
		class = classPlan{work: clock.Milliseconds(between(random, 20, 60)), targetMs: 400}
		// Plain work takes up to twice as long on a full engine.
		class.capacityPerEngine = slots * 1000 / (2 * clock.ToMilliseconds(class.work))
	case ShortMemory:
		class.own, class.shared = int64(between(random, 3000, 5000)), 0
		shape.ReadPerMs, shape.CacheTokens = 1000, 3*(class.own+class.out)+class.own/2
		class.capacityPerEngine = 3 * 1000 / (float64(class.out)*stepMs(3) + float64(class.own)/shape.ReadPerMs)
	case ShortPrefill:
		class.own, class.out = int64(between(random, 1000, 2000)), 24
		shape.ReadPerMs = between(random, 15, 30)
		class.capacityPerEngine = 1000 * shape.ReadPerMs / float64(class.own)
	default:
		class.out = int64(between(random, 160, 400))
		class.capacityPerEngine = slots * 1000 / (float64(class.out) * stepMs(slots))
	}
	family.class = class
	return family
}
