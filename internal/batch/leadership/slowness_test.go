package leadership

import (
	"math/rand"
	"testing"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/control/agent"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/settings"
)

// Noise and garbage collection pauses must not make a machine count as slow. A run time that
// stays seven times longer must, until the run time is normal again.
func TestSlownessDetection(t *testing.T) {
	for seed := int64(1); seed <= 50; seed++ {
		random, s := rand.New(rand.NewSource(seed)), &slowness{}
		took := func(factor float64) clock.Duration {
			noise := 1 + 0.4*random.Float64()
			if random.Intn(6) == 0 {
				noise *= 20
			}
			return clock.Duration(factor * noise * 60_000)
		}
		for step := 0; step < 400; step++ {
			s.observe(took(1))
			// The probability of four long run times in a row by chance is below one in a thousand.
			if s.isSlow() && step%97 == 0 {
				t.Fatalf("seed %d: machine reported as slow at step %d, want not slow", seed, step)
			}
		}
		for step := 0; step < constants.SlownessWindow; step++ {
			s.observe(took(7))
		}
		if !s.isSlow() {
			t.Fatalf("seed %d: slow machine not detected", seed)
		}
		for step := 0; step < 3*constants.SlownessWindow; step++ {
			s.observe(clock.Duration(70_000))
		}
		if s.isSlow() {
			t.Fatalf("seed %d: machine still reported as slow after recovery", seed)
		}
	}
}

// newCampaign returns the campaign of a store that has no transport yet.
func newCampaign() *Campaign {
	nodeSettings := &settings.Settings{NodeName: "m", Address: "10.0.0.1", InternalPorts: []int{1, 9}, HeartbeatMs: 1200}
	return New(agent.New(nodeSettings, "store", 2, "disk", hclog.NewNullLogger()), nil)
}

// slowDown feeds the campaign run times of a slow machine.
func slowDown(c *Campaign) {
	c.yielding.slowness = slowness{}
	c.yielding.slowness.observe(10_000)
	for step := 0; step < constants.SlownessWindow; step++ {
		c.yielding.slowness.observe(90_000)
	}
}

// A slow leader must resign at most once per constants.ResignBackoff, yield for
// constants.YieldTime, and then campaign again although it is still slow.
func TestSlowMachineResignsOncePerBackoff(t *testing.T) {
	c := newCampaign()
	now := clock.Instant(1_000_000_000)
	if c.ShouldResign(false, now) || c.yieldsForSlowness(now) {
		t.Fatal("process that is not slow resigned or yielded")
	}
	slowDown(c)
	if !c.ShouldResign(false, now) || c.ShouldResign(false, now.Add(clock.Milliseconds(100))) {
		t.Fatal("want a resignation, and no second one within the backoff")
	}
	if !c.yieldsForSlowness(now.Add(constants.YieldTime/2)) || c.yieldsForSlowness(now.Add(constants.YieldTime)) {
		t.Fatal("want yielding until YieldTime has passed, and not after")
	}
	if !c.ShouldResign(false, now.Add(constants.ResignBackoff)) {
		t.Fatal("does not resign again after ResignBackoff")
	}
	// A slow disk also causes a resignation.
	c.yielding.slowness = slowness{}
	if !c.ShouldResign(true, now.Add(5*constants.ResignBackoff)) {
		t.Fatal("does not resign although its disk is slow")
	}
}

// A leader that resigned because its disk lagged must not campaign again at once.
func TestYieldingStoreIsNotEligible(t *testing.T) {
	c := newCampaign()
	c.register.value.Stores = []messages.Member{c.Member()}
	if !c.eligible() || register.Identity(c.Member()) == "" {
		t.Fatal("member of the store set is not eligible")
	}
	c.YieldUntil(clock.Now().Add(clock.Milliseconds(60_000)))
	if c.eligible() {
		t.Fatal("yielding store is eligible")
	}
	c.YieldUntil(clock.Now())
	if !c.eligible() {
		t.Fatal("store is not eligible after its yield time has passed")
	}
}
