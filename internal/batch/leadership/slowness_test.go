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

// Noise, a collector's pause and a slow start make no slow machine; seven times
// longer at a stretch does, and it ends with the trouble.
func TestSlownessOfAMachine(t *testing.T) {
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
			s.note(took(1))
			// Four long times in a row by chance are rarer than one in a thousand.
			if s.slow() && step%97 == 0 {
				t.Fatalf("seed %d: slow without a cause at %d", seed, step)
			}
		}
		for step := 0; step < constants.SlownessWindow; step++ {
			s.note(took(7))
		}
		if !s.slow() {
			t.Fatalf("seed %d: not seen", seed)
		}
		for step := 0; step < 3*constants.SlownessWindow; step++ {
			s.note(clock.Duration(70_000))
		}
		if s.slow() {
			t.Fatalf("seed %d: still slow", seed)
		}
	}
}

// newCampaign makes the campaign of a store that asks nobody.
func newCampaign() *Campaign {
	nodeSettings := &settings.Settings{NodeName: "m", Address: "10.0.0.1", InternalPorts: []int{1, 9}, HeartbeatMs: 1200}
	return New(agent.New(nodeSettings, "store", 2, "disk", hclog.NewNullLogger()), nil)
}

// slowDown makes a machine look slow to itself.
func slowDown(c *Campaign) {
	c.yielding.slowness = slowness{}
	c.yielding.slowness.note(10_000)
	for step := 0; step < constants.SlownessWindow; step++ {
		c.yielding.slowness.note(90_000)
	}
}

// A slow leader resigns once, leaves the leadership to others for a while, and then takes
// part again although it is still slow.
func TestSlowMachineResignsOnce(t *testing.T) {
	c := newCampaign()
	now := clock.Instant(1_000_000_000)
	if c.ShouldResign(false, now) || c.yields(now) {
		t.Fatal("resigned without a cause")
	}
	slowDown(c)
	if !c.ShouldResign(false, now) || c.ShouldResign(false, now.Add(clock.Milliseconds(100))) {
		t.Fatal("resigns never, or again at once")
	}
	if !c.yields(now.Add(constants.YieldTime/2)) || c.yields(now.Add(constants.YieldTime)) {
		t.Fatal("does not hold back, or for too long")
	}
	if !c.ShouldResign(false, now.Add(constants.ResignBackoff)) {
		t.Fatal("never resigns again")
	}
	// A slow disk is a cause as well.
	c.yielding.slowness = slowness{}
	if !c.ShouldResign(true, now.Add(5*constants.ResignBackoff)) {
		t.Fatal("kept the leadership on a slow disk")
	}
}

// A leader that resigned for its slow disk does not campaign at once.
func TestYieldingStoreIsNotEligible(t *testing.T) {
	c := newCampaign()
	c.register.value.Stores = []messages.Member{c.Member()}
	if !c.eligible() || register.Identity(c.Member()) == "" {
		t.Fatal("a member of the set is not eligible")
	}
	c.YieldUntil(clock.Now().Add(clock.Milliseconds(60_000)))
	if c.eligible() {
		t.Fatal("it campaigns again")
	}
	c.YieldUntil(clock.Now())
	if !c.eligible() {
		t.Fatal("it yields for ever")
	}
}
