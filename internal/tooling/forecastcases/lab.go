package forecastcases

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/tooling/lab"
)

// Load is the traffic of one family of a case.
type Load struct {
	Family string
	// Rate is the present traffic, Surge what comes in addition, in requests a second.
	Rate, Surge float64
	// Own and Shared are tokens of the prompt, Out those that go out; all zero for plain requests.
	Own, Shared, Out int64
	// TargetMs and GapMs are what is in time; GapMs is zero for plain requests.
	TargetMs, GapMs float64
}

// Lab gives the case as a fleet of the lab and the traffic on it.
func (c *Case) Lab() (families []lab.Family, loads []Load) {
	for _, plan := range c.families {
		class, shape := &plan.class, &plan.shape
		family := lab.Family{Name: plan.name, Workers: plan.engines, Capacity: shape.Capacity, TargetMs: class.targetMs}
		load := Load{Family: plan.name, Rate: plan.rate, Surge: plan.surge, TargetMs: class.targetMs, GapMs: class.gapMs}
		if class.work > 0 {
			family.WorkMs = clock.ToMilliseconds(class.work)
		} else {
			family.Model, family.CacheTokens, family.ReadPerMs, family.Stride = plan.name, shape.CacheTokens, shape.ReadPerMs, shape.Stride
			family.StepMs, family.StepEachMs, family.GapMs = clock.ToMilliseconds(shape.Step), clock.ToMilliseconds(shape.StepEach), class.gapMs
			load.Own, load.Shared, load.Out = class.own, class.shared, class.out
		}
		families, loads = append(families, family), append(loads, load)
	}
	return families, loads
}
