// Package forecastcases validates package forecast on generated cases. A case is a fleet of emulated
// engines and a surge. The forecast receives the traffic before the surge; the surge is then
// simulated, and the family that was predicted to run short is compared with the one that did. The
// engines are those of package workeremulator, whose model differs from the forecast's.
package forecastcases

import (
	"fmt"
	"math/rand/v2"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/tooling/workeremulator"
)

// What the surge of a case exhausts first: a resource of package forecast, or nothing.
const (
	ShortageSlots   = "slots"
	ShortageMemory  = "kv-memory"
	ShortagePrefill = "prefill"
	ShortageDecode  = "decode"
	ShortageNone    = "none"
)

// Shortages lists all kinds of shortage. Case numbers cycle through the list in this order.
var Shortages = []string{ShortageSlots, ShortageMemory, ShortagePrefill, ShortageDecode, ShortageNone}

// Case is a fleet of several families and a surge on it.
type Case struct {
	Number int
	// Shortage is the resource that the surge is generated to exhaust first, in Family. Family is
	// empty for ShortageNone.
	Shortage string
	Family   string
	families []*familyPlan
}

// familyPlan is one service with its engines and its only class of requests.
type familyPlan struct {
	name    string
	engines int
	shape   workeremulator.Shape
	class   classPlan
	// rate is the present traffic and surgeRate the traffic that the surge adds, in requests per
	// second.
	rate, surgeRate float64
}

// classPlan is the requests of a family.
type classPlan struct {
	// ownTokens and sharedTokens are the tokens of the prompt that are unique to a request and those
	// that all requests share; outTokens are the tokens of the output. If work is above 0, the
	// requests are plain and take this time.
	ownTokens, sharedTokens, outTokens int64
	work                               clock.Duration
	// targetMs is the latency target for the first event, or for the response to a plain request.
	// gapMs is the target for the time between two events, 0 if there is none.
	targetMs, gapMs float64
	// capacityPerEngine is in requests per second.
	capacityPerEngine float64
}

// Generate draws a case of three to five families. One of them is generated to run short of the
// resource that the number selects from Shortages.
func Generate(number int, seed uint64) *Case {
	random := rand.New(rand.NewPCG(seed, uint64(number)))
	generated := &Case{Number: number, Shortage: Shortages[number%len(Shortages)]}
	count := 3 + random.IntN(3)
	target := random.IntN(count)
	for i := range count {
		kind := []string{ShortageSlots, ShortageMemory, ShortagePrefill, ShortageDecode}[random.IntN(4)]
		if i == target && generated.Shortage != ShortageNone {
			kind = generated.Shortage
		}
		family := generateFamily(fmt.Sprintf("family-%d", i+1), kind, random)
		capacity := family.class.capacityPerEngine * float64(family.engines)
		family.rate = capacity * (0.25 + 0.2*random.Float64())
		// The other families stay well below their capacity.
		family.surgeRate = capacity * 0.15 * random.Float64()
		if i == target && generated.Shortage != ShortageNone {
			generated.Family = family.name
			family.surgeRate = capacity * (0.9 + random.Float64())
		}
		generated.families = append(generated.families, family)
	}
	return generated
}

// between draws a number between low and high.
func between(random *rand.Rand, low, high float64) float64 { return low + (high-low)*random.Float64() }

// generateFamily draws a family whose bottleneck is the given resource, and computes the capacity of
// one engine, in requests per second.
func generateFamily(name, kind string, random *rand.Rand) *familyPlan {
	family := &familyPlan{name: name, engines: 3 + random.IntN(4)}
	family.shape = workeremulator.Shape{Capacity: 8 + random.IntN(5), Queue: 4, CacheTokens: 200_000, ReadPerMs: 200,
		Step: clock.Milliseconds(between(random, 2, 4)), StepEach: clock.Milliseconds(between(random, 0.1, 0.3)), Stride: 8}
	shape, slots := &family.shape, float64(family.shape.Capacity)
	stepMs := func(running float64) float64 {
		return clock.ToMilliseconds(shape.Step) + running*clock.ToMilliseconds(shape.StepEach)
	}
	class := classPlan{ownTokens: 200, sharedTokens: 300, outTokens: 64, targetMs: 400, gapMs: 400}
	switch kind {
	case ShortageSlots:
		class = classPlan{work: clock.Milliseconds(between(random, 20, 60)), targetMs: 400}
		// Plain work takes up to twice as long on a full engine.
		class.capacityPerEngine = slots * 1000 / (2 * clock.ToMilliseconds(class.work))
	case ShortageMemory:
		class.ownTokens, class.sharedTokens = int64(between(random, 3000, 5000)), 0
		shape.ReadPerMs, shape.CacheTokens = 1000, 3*(class.ownTokens+class.outTokens)+class.ownTokens/2
		class.capacityPerEngine = 3 * 1000 / (float64(class.outTokens)*stepMs(3) + float64(class.ownTokens)/shape.ReadPerMs)
	case ShortagePrefill:
		class.ownTokens, class.outTokens = int64(between(random, 1000, 2000)), 24
		shape.ReadPerMs = between(random, 15, 30)
		class.capacityPerEngine = 1000 * shape.ReadPerMs / float64(class.ownTokens)
	default:
		class.outTokens = int64(between(random, 160, 400))
		class.capacityPerEngine = slots * 1000 / (float64(class.outTokens) * stepMs(slots))
	}
	family.class = class
	return family
}
