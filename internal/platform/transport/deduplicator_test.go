package transport_test

import (
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/transport"
)

func TestEachNamedCallPassesOnce(t *testing.T) {
	once, now := &transport.Deduplicator{}, clock.Instant(1)
	if !once.First("a", now) || !once.First("b", now) || once.First("a", now) || once.First("b", now.Add(constants.FrameLifetime)) {
		t.Fatal("a call passed twice, or a new one not at all")
	}
	if found, other := once.First("", now), once.First("", now); !found || !other {
		t.Fatal("a call without a name was held up")
	}
	// What no frame can come from any more is forgotten, or memory would grow.
	if !once.First("a", now.Add(constants.FrameLifetime+2)) {
		t.Fatal("never forgotten")
	}
}
