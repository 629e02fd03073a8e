package forecastcases

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/tooling/lab"
)

// Load is the traffic of one family of a case.
type Load struct {
	Family string
	// Rate is the present traffic and SurgeRate the traffic that the surge adds, in requests per
	// second.
	Rate, SurgeRate float64
	// OwnTokens and SharedTokens are the unique and the shared tokens of the prompt, OutTokens the
	// tokens of the output; all are zero for plain requests.
	OwnTokens, SharedTokens, OutTokens int64
	// TargetMs and GapMs are the latency targets for the first event and between events; GapMs is
	// zero for plain requests.
	TargetMs, GapMs float64
}

// Lab returns the case as families of a lab fleet and the traffic on them.
func (c *Case) Lab() (families []lab.Family, loads []Load) {
	for _, plan := range c.families {
		class, shape := &plan.class, &plan.shape
		family := lab.Family{Name: plan.name, Workers: plan.engines, Capacity: shape.Capacity, TargetMs: class.targetMs}
		load := Load{Family: plan.name, Rate: plan.rate, SurgeRate: plan.surgeRate, TargetMs: class.targetMs, GapMs: class.gapMs}
		if class.work > 0 {
			family.WorkMs = clock.ToMilliseconds(class.work)
		} else {
			family.Model, family.CacheTokens, family.ReadPerMs, family.Stride = plan.name, shape.CacheTokens, shape.ReadPerMs, shape.Stride
			family.StepMs, family.StepEachMs, family.GapMs = clock.ToMilliseconds(shape.Step), clock.ToMilliseconds(shape.StepEach), class.gapMs
			load.OwnTokens, load.SharedTokens, load.OutTokens = class.ownTokens, class.sharedTokens, class.outTokens
		}
		families, loads = append(families, family), append(loads, load)
	}
	return families, loads
}
