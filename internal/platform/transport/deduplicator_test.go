package transport_test

import (
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/transport"
)

func TestEachNamedCallPassesOnce(t *testing.T) {
	deduplicator, now := &transport.Deduplicator{}, clock.Instant(1)
	if !deduplicator.First("a", now) || !deduplicator.First("b", now) || deduplicator.First("a", now) || deduplicator.First("b", now.Add(constants.FrameLifetime)) {
		t.Fatal("a call passed twice, or a new one not at all")
	}
	if first, second := deduplicator.First("", now), deduplicator.First("", now); !first || !second {
		t.Fatal("a call without a name was held up")
	}
	// What no frame can come from any more is forgotten, or memory would grow.
	if !deduplicator.First("a", now.Add(constants.FrameLifetime+2)) {
		t.Fatal("never forgotten")
	}
}
